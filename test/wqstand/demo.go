package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	demoVMs      = 3
	demoToken    = "demo-operator-token"
	demoShape    = "verhaegen"
	readyLimit   = 15 * time.Second
	stopLimit    = 15 * time.Second
	demoZone     = "belgium-c"
	portsPerVM   = 3
	lookInterval = 50 * time.Millisecond
)

// demoCommand holds the options of `wqstand demo`.
type demoCommand struct {
	Program string `long:"program" default:"bin/wisteriaquay" description:"the program to show"`

	ctx context.Context //nolint:containedctx // go-flags calls Execute without a context.
	out io.Writer
}

// demo is one run.
type demo struct {
	program  string
	out      io.Writer
	folder   string
	ports    []string // ports are the addresses of store, VM list, control and then of each VM.
	note     string
	commands []*exec.Cmd
}

// Execute starts stand-ins and VMs, shows the path and stops them.
func (c *demoCommand) Execute([]string) error {
	folder, err := os.MkdirTemp("", "wisteriaquay-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &demo{program: c.Program, out: c.out, folder: folder, note: filepath.Join(folder, "note.json")}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(d.standIns(ctx).serve)
	group.Go(func() error {
		defer cancel()
		return errors.Join(d.show(ctx), d.stop())
	})
	return group.Wait()
}

// prepare chooses free ports and writes the release note.
func (d *demo) prepare(ctx context.Context) error {
	var err error
	if d.ports, err = freePorts(ctx, portsPerVM+portsPerVM*demoVMs); err != nil {
		return err
	}
	note, err := exec.CommandContext(ctx, d.program, "load", demoShape, "--note").Output()
	if err != nil {
		return fmt.Errorf("%s load: %w; run 'make build' first", d.program, err)
	}
	return os.WriteFile(d.note, note, 0o600)
}

func (d *demo) standIns(ctx context.Context) *serveCommand {
	s := &serveCommand{
		Note: d.note, Store: d.ports[0], VMList: d.ports[1], Control: d.ports[2],
		Seed: 1, ServiceMillis: 4, BatchShare: 0.2, StragglerShare: 0.05, Straggler: 10, ConnectMillis: 1, Snapshot: 1,
		ctx: ctx,
	}
	for i := range demoVMs {
		s.VMs = append(s.VMs, fmt.Sprintf("vm%d,%s,%s,belgium", i+1, d.address(i, 1), zone(i)))
	}
	return s
}

func zone(i int) string { return "belgium-" + string(rune('a'+i)) }

// address returns a VM's listener: 0 for callers, 1 for peers, 2 for admin.
func (d *demo) address(vm, listener int) string {
	return d.ports[portsPerVM+portsPerVM*vm+listener]
}

// show runs the story.
func (d *demo) show(ctx context.Context) error {
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	entry := "http://" + d.address(0, 0)
	caller := []string{"--entry", entry, "--tenant", "installers", "--class", "lookup", "--service", "catalogue"}
	for _, s := range []struct {
		say  string
		args []string
	}{
		{"An operator publishes the first release note.", []string{"publish", "--entry", entry, d.note}},
		{"", nil},
		{"A caller queries all shards of the catalogue.", append([]string{"query", "--limit", "2"}, append(caller, "cistern")...)},
		{"A caller runs a write-like request at most once.", append([]string{"write", "--shard", "catalogue-00"}, append(caller, "order")...)},
		{"An operator takes an availability zone out.", []string{"out", "--entry", entry, demoZone}},
		{"Queries go on, from the other zones.", append([]string{"query", "--limit", "1"}, append(caller, "pump")...)},
		{"The zone comes back.", []string{"back", "--entry", entry, demoZone}},
		{"This is the fleet now.", []string{"status", "--entry", entry}},
	} {
		if s.args == nil {
			if err := d.waitReady(ctx); err != nil {
				return err
			}
			continue
		}
		if err := d.run(ctx, s.say, s.args); err != nil {
			return err
		}
	}
	return nil
}

// run shows one command and its output.
func (d *demo) run(ctx context.Context, say string, args []string) error {
	_, _ = fmt.Fprintf(d.out, "\n# %s\n$ wisteriaquay %s\n", say, strings.Join(args, " "))
	c := exec.CommandContext(ctx, d.program, args...)
	c.Env = append(os.Environ(), "WISTERIAQUAY_OPERATOR_TOKEN="+demoToken)
	c.Stdout, c.Stderr = d.out, d.out
	return c.Run()
}

func (d *demo) startVMs(ctx context.Context) error {
	for i := range demoVMs {
		log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("vm%d.log", i+1)))
		if err != nil {
			return err
		}
		c := exec.CommandContext(ctx, d.program, "serve", "--plain-text", "--balancer-lag=200ms", "--ticket-life=5s", "--stop-limit=10s",
			"--id", fmt.Sprintf("vm%d", i+1), "--zone", zone(i), "--region", "belgium",
			"--caller-listen", d.address(i, 0), "--peer-listen", d.address(i, 1), "--admin-listen", d.address(i, 2),
			"--store", "http://"+d.ports[0], "--vm-list", "http://"+d.ports[1])
		c.Env = append(os.Environ(), "WISTERIAQUAY_OPERATOR_TOKEN="+demoToken)
		c.Stderr = log
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = stopLimit
		if err := c.Start(); err != nil {
			return err
		}
		d.commands = append(d.commands, c)
	}
	if err := d.waitFor(ctx, "/livez"); err != nil {
		return err
	}
	return d.waitMembers(ctx)
}

// waitMembers waits until the first VM knows all others.
func (d *demo) waitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	last := fmt.Sprintf("vm%d", demoVMs)
	for {
		c := exec.CommandContext(ctx, d.program, "status", "--entry", "http://"+d.address(0, 0), "--operator-token", demoToken)
		known, err := c.Output()
		if err == nil && strings.Contains(string(known), last) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("vm1 did not learn of %s within %s", last, readyLimit)
		}
		time.Sleep(lookInterval)
	}
}

func (d *demo) waitReady(ctx context.Context) error { return d.waitFor(ctx, "/readyz") }

// waitFor waits until every VM's admin listener answers a path with status 200.
func (d *demo) waitFor(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i := range demoVMs {
		url := "http://" + d.address(i, 2) + path
		for !answers(ctx, url) {
			if ctx.Err() != nil {
				return fmt.Errorf("vm%d did not answer %s within %s", i+1, path, readyLimit)
			}
			time.Sleep(lookInterval)
		}
	}
	return nil
}

func answers(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// stop ends the VMs gracefully.
func (d *demo) stop() error {
	_, _ = fmt.Fprintf(d.out, "\n# The VMs finish their work and stop.\n")
	var failed error
	for _, c := range d.commands {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range d.commands {
		failed = errors.Join(failed, c.Wait())
	}
	return failed
}

// freePorts returns loopback addresses that nobody listens on.
func freePorts(ctx context.Context, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

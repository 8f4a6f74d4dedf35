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
	demoVMCount    = 3
	demoToken      = "demo-operator-token"
	demoDeployment = "verhaegen"
	readyTimeout   = 15 * time.Second
	stopTimeout    = 15 * time.Second
	demoZone       = "belgium-c"
	listenersPerVM = 3
	pollInterval   = 50 * time.Millisecond
)

// demoCommand holds the options of `wqstand demo`.
type demoCommand struct {
	Program string `long:"program" default:"bin/wisteriaquay" description:"path of the wisteriaquay program"`

	ctx context.Context //nolint:containedctx // go-flags calls Execute without a context.
	out io.Writer
}

// demo is the state of one demo run.
type demo struct {
	program    string
	out        io.Writer
	tempDir    string
	addresses  []string // addresses of store, VM list and control, then the listeners of each VM
	notePath   string
	vmCommands []*exec.Cmd
}

// Execute starts the fake services and the VMs, runs the demo's commands, prints
// their output and stops the VMs.
func (c *demoCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "wisteriaquay-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{program: c.Program, out: c.out, tempDir: dir, notePath: filepath.Join(dir, "note.json")}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(d.fakePlatform(ctx).serve)
	group.Go(func() error {
		defer cancel()
		return errors.Join(d.runSteps(ctx), d.stopVMs())
	})
	return group.Wait()
}

// prepare chooses free addresses and writes the release note to notePath.
func (d *demo) prepare(ctx context.Context) error {
	var err error
	if d.addresses, err = freeAddresses(ctx, listenersPerVM+listenersPerVM*demoVMCount); err != nil {
		return err
	}
	note, err := exec.CommandContext(ctx, d.program, "load", demoDeployment, "--note").Output()
	if err != nil {
		return fmt.Errorf("%s load: %w; run 'make build' first", d.program, err)
	}
	return os.WriteFile(d.notePath, note, 0o600)
}

func (d *demo) fakePlatform(ctx context.Context) *serveCommand {
	s := &serveCommand{
		NotePath: d.notePath, StoreAddress: d.addresses[0], VMListAddress: d.addresses[1], ControlAddress: d.addresses[2],
		Seed: 1, ServiceMillis: 4, BatchShare: 0.2, StragglerShare: 0.05, StragglerFactor: 10, ConnectMillis: 1, NewestSnapshot: 1,
		ctx: ctx,
	}
	for i := range demoVMCount {
		s.VMs = append(s.VMs, fmt.Sprintf("vm%d,%s,%s,belgium", i+1, d.vmAddress(i, 1), zoneOf(i)))
	}
	return s
}

func zoneOf(i int) string { return "belgium-" + string(rune('a'+i)) }

// vmAddress returns the address of a VM's listener: 0 for callers, 1 for peers,
// 2 for admin. The fake services use the first listenersPerVM addresses.
func (d *demo) vmAddress(vm, listener int) string {
	return d.addresses[listenersPerVM+listenersPerVM*vm+listener]
}

// runSteps starts the VMs and runs the demo's commands in order.
func (d *demo) runSteps(ctx context.Context) error {
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	entry := "http://" + d.vmAddress(0, 0)
	caller := []string{"--entry", entry, "--tenant", "installers", "--class", "lookup", "--service", "catalogue"}
	for _, s := range []struct {
		caption string
		args    []string
	}{
		{"An operator publishes the first release note.", []string{"publish", "--entry", entry, d.notePath}},
		{"", nil},
		{"A caller queries all shards of the catalogue.", append([]string{"query", "--limit", "2"}, append(caller, "cistern")...)},
		{"A caller sends a write-like request, which runs at most once.", append([]string{"write", "--shard", "catalogue-00"}, append(caller, "order")...)},
		{"An operator takes an availability zone out.", []string{"out", "--entry", entry, demoZone}},
		{"Queries are answered by the other zones.", append([]string{"query", "--limit", "1"}, append(caller, "pump")...)},
		{"The zone comes back.", []string{"back", "--entry", entry, demoZone}},
		{"An operator reads the status of the fleet.", []string{"status", "--entry", entry}},
	} {
		if s.args == nil {
			if err := d.waitReady(ctx); err != nil {
				return err
			}
			continue
		}
		if err := d.runCommand(ctx, s.caption, s.args); err != nil {
			return err
		}
	}
	return nil
}

// runCommand prints the caption and the command, runs it and prints its output.
func (d *demo) runCommand(ctx context.Context, caption string, args []string) error {
	_, _ = fmt.Fprintf(d.out, "\n# %s\n$ wisteriaquay %s\n", caption, strings.Join(args, " "))
	c := exec.CommandContext(ctx, d.program, args...)
	c.Env = append(os.Environ(), "WISTERIAQUAY_OPERATOR_TOKEN="+demoToken)
	c.Stdout, c.Stderr = d.out, d.out
	return c.Run()
}

func (d *demo) startVMs(ctx context.Context) error {
	for i := range demoVMCount {
		log, err := os.Create(filepath.Join(d.tempDir, fmt.Sprintf("vm%d.log", i+1)))
		if err != nil {
			return err
		}
		c := exec.CommandContext(ctx, d.program, "serve", "--plain-text", "--balancer-lag=200ms", "--ticket-life=5s", "--stop-limit=10s",
			"--id", fmt.Sprintf("vm%d", i+1), "--zone", zoneOf(i), "--region", "belgium",
			"--caller-listen", d.vmAddress(i, 0), "--peer-listen", d.vmAddress(i, 1), "--admin-listen", d.vmAddress(i, 2),
			"--store", "http://"+d.addresses[0], "--vm-list", "http://"+d.addresses[1])
		c.Env = append(os.Environ(), "WISTERIAQUAY_OPERATOR_TOKEN="+demoToken)
		c.Stderr = log
		c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) }
		c.WaitDelay = stopTimeout
		if err := c.Start(); err != nil {
			return err
		}
		d.vmCommands = append(d.vmCommands, c)
	}
	if err := d.waitForOK(ctx, "/livez"); err != nil {
		return err
	}
	return d.waitMembers(ctx)
}

// waitMembers waits until the status of the first VM lists the last one.
func (d *demo) waitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	lastVM := fmt.Sprintf("vm%d", demoVMCount)
	for {
		c := exec.CommandContext(ctx, d.program, "status", "--entry", "http://"+d.vmAddress(0, 0), "--operator-token", demoToken)
		status, err := c.Output()
		if err == nil && strings.Contains(string(status), lastVM) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("vm1 did not list %s in its status within %s", lastVM, readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

func (d *demo) waitReady(ctx context.Context) error { return d.waitForOK(ctx, "/readyz") }

// waitForOK waits until every VM's admin listener answers a path with status 200.
func (d *demo) waitForOK(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range demoVMCount {
		url := "http://" + d.vmAddress(i, 2) + path
		for !isOK(ctx, url) {
			if ctx.Err() != nil {
				return fmt.Errorf("vm%d did not answer %s within %s", i+1, path, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func isOK(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopVMs sends SIGTERM to all VMs and waits until they exit. It returns the errors
// of those that failed.
func (d *demo) stopVMs() error {
	_, _ = fmt.Fprintf(d.out, "\n# The VMs finish their work and stop.\n")
	var errs error
	for _, c := range d.vmCommands {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range d.vmCommands {
		errs = errors.Join(errs, c.Wait())
	}
	return errs
}

// freeAddresses returns this many different loopback addresses with free ports.
func freeAddresses(ctx context.Context, count int) ([]string, error) {
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

package wqprocess

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
	"wisteriaquay/test/wqproxy"
)

const (
	logTail      = 4096                   // logTail is how much of a VM's log a failed test prints, in bytes.
	readyTimeout = 200 * time.Millisecond // readyTimeout bounds one readiness check.
	lowestPort   = 12000
	portCount    = 18000
	portTries    = 1000
)

var (
	portBase   = rand.IntN(portCount) // portBase differs among test processes that run at once.
	portsGiven atomic.Int64
)

// VM is one process of the program.
type VM struct {
	ID            string
	Zone          string
	CallerAddress string         // CallerAddress is host:port of the callers' listener.
	AdminAddress  string         // AdminAddress is host:port of the admin listener.
	PeerProxy     *wqproxy.Proxy // PeerProxy is the route to its peer listener.

	fleet *Fleet
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	err   error
}

var program = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "wisteriaquay-test")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "wisteriaquay")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", path, "wisteriaquay/cmd/wisteriaquay").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, out)
	}
	return path, nil
})

// BuildProgram builds the program once for all tests of the process and returns its path.
func BuildProgram(t *testing.T) string {
	t.Helper()
	path, err := program()
	must.NoError(t, err)
	return path
}

// StartVM starts one more VM and puts it on the VM list.
func (f *Fleet) StartVM() *VM {
	f.t.Helper()
	vm := &VM{fleet: f, ID: fmt.Sprintf("vm%d", f.started+1), Zone: ZoneName(f.started), ended: make(chan struct{})}
	f.started++
	peer := FreeAddress(f.t)
	vm.CallerAddress, vm.AdminAddress = FreeAddress(f.t), FreeAddress(f.t)
	wire, release := wqproxy.New(f.t, peer)
	f.t.Cleanup(release)
	vm.PeerProxy = wire
	vm.start(peer)
	f.mu.Lock()
	f.VMs = append(f.VMs, vm)
	f.mu.Unlock()
	f.listVMs()
	return vm
}

func (vm *VM) start(peer string) {
	f := vm.fleet
	vm.log = filepath.Join(f.t.TempDir(), vm.ID+".log")
	log, err := os.Create(vm.log)
	must.NoError(f.t, err)
	vm.cmd = exec.CommandContext(context.Background(), f.program, "serve", "--plain-text", "--operator-token="+OperatorToken,
		"--id="+vm.ID, "--zone="+vm.Zone, "--region=r1",
		"--caller-listen="+vm.CallerAddress, "--peer-listen="+peer, "--peer-address="+vm.PeerProxy.Address(), "--admin-listen="+vm.AdminAddress,
		"--store=http://"+f.StoreProxy.Address(), "--store-timeout=500ms", "--vm-list="+f.listURL, "--vm-list-period=200ms", "--vm-list-lag=10s",
		"--balancer-lag="+f.Options.BalancerLag.String(), "--ticket-life="+f.Options.TicketTTL.String(),
		"--stop-limit="+f.Options.StopTimeout.String())
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	must.NoError(f.t, vm.cmd.Start())
	go func() {
		vm.err = vm.cmd.Wait()
		_ = log.Close()
		close(vm.ended)
	}()
	f.t.Cleanup(func() {
		vm.Thaw()
		vm.Kill()
		if f.t.Failed() {
			vm.printLog()
		}
	})
}

// Kill ends the VM at once.
func (vm *VM) Kill() {
	vm.signal(syscall.SIGKILL)
	<-vm.ended
	vm.fleet.listVMs()
}

// Freeze pauses the VM.
func (vm *VM) Freeze() { vm.signal(syscall.SIGSTOP) }

// Thaw lets a frozen VM go on.
func (vm *VM) Thaw() { vm.signal(syscall.SIGCONT) }

// Terminate asks the VM to stop gracefully.
func (vm *VM) Terminate() { vm.signal(syscall.SIGTERM) }

// Exited is closed when the process has ended.
func (vm *VM) Exited() <-chan struct{} { return vm.ended }

// ExitError returns how the process ended; call it after Ended.
func (vm *VM) ExitError() error { return vm.err }

// Running reports whether the process runs.
func (vm *VM) Running() bool {
	select {
	case <-vm.ended:
		return false
	default:
		return true
	}
}

func (vm *VM) signal(s syscall.Signal) {
	if vm.Running() {
		_ = vm.cmd.Process.Signal(s)
	}
}

// CheckReady asks the VM's readiness check and returns why it is not ready.
func (vm *VM) CheckReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.AdminAddress+"/readyz", http.NoBody)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(reply.Body, logTail))
		return fmt.Errorf("%s: status %d: %s", vm.ID, reply.StatusCode, strings.TrimSpace(string(reason)))
	}
	return nil
}

// WaitReady waits until the VM is ready.
func (vm *VM) WaitReady() {
	vm.fleet.t.Helper()
	eventually(vm.fleet.t, readyLimit, vm.ID+" is ready", vm.CheckReady)
}

// WaitServing waits until the VM answers a query whole: shares rest before their
// first use when VMs may have been here before.
func (vm *VM) WaitServing() {
	vm.fleet.t.Helper()
	eventually(vm.fleet.t, readyLimit, vm.ID+" answers whole", vm.query)
}

func (vm *VM) query() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := vm.Client().Query(ctx, connect.NewRequest(&wqpb.QueryRequest{
		RequestId: "first", Tenant: Tenant, Class: Class, Service: Service, LeastCoverage: 1,
	}))
	if err != nil {
		return err
	}
	if reply.Msg.GetShardsAnswered() < reply.Msg.GetShardsTotal() {
		return fmt.Errorf("%s: %v are missing", vm.ID, reply.Msg.GetMissing())
	}
	return nil
}

// Client returns a caller's client of the VM.
func (vm *VM) Client() wqpbconnect.QueryServiceClient {
	return wqpbconnect.NewQueryServiceClient(http.DefaultClient, "http://"+vm.CallerAddress)
}

func (vm *VM) printLog() {
	text, err := os.ReadFile(vm.log)
	if err != nil {
		return
	}
	tail := string(text[max(0, len(text)-logTail):])
	vm.fleet.t.Logf("log of %s:\n%s", vm.ID, strings.TrimSpace(tail))
}

// FreeAddress returns an address of loopback that nothing listens on. Its port is
// below those that the kernel gives to outgoing connections.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+(portBase+int(portsGiven.Add(1)))%portCount)
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			must.NoError(t, l.Close())
			return address
		}
	}
	t.Fatal("no port is free on loopback")
	return ""
}

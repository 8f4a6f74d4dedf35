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
	logTailBytes      = 4096                   // printed from the end of each VM's log when a test fails
	readyCheckTimeout = 200 * time.Millisecond // timeout of one readiness check
	lowestPort        = 12000
	portCount         = 18000
	maxPortTries      = 1000
)

var (
	portOffset    = rand.IntN(portCount) // random, so that concurrent test processes use different ports
	portsAssigned atomic.Int64
)

// VM is one process of the program, which acts as one VM.
type VM struct {
	ID            string
	Zone          string
	CallerAddress string         // CallerAddress is the host:port of the listener for callers.
	AdminAddress  string         // AdminAddress is the host:port of the admin listener.
	PeerProxy     *wqproxy.Proxy // PeerProxy is the proxy in front of its peer listener.

	fleet     *Fleet
	cmd       *exec.Cmd
	logPath   string
	exited    chan struct{}
	exitError error
}

var buildOnce = sync.OnceValues(func() (string, error) {
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

// BuildProgram builds the program once per test process and returns its path. It
// fails the test if the build fails.
func BuildProgram(t *testing.T) string {
	t.Helper()
	path, err := buildOnce()
	must.NoError(t, err)
	return path
}

// StartVM starts another VM and adds it to the VM list.
func (f *Fleet) StartVM() *VM {
	f.t.Helper()
	vm := &VM{fleet: f, ID: fmt.Sprintf("vm%d", f.vmsStarted+1), Zone: ZoneName(f.vmsStarted), exited: make(chan struct{})}
	f.vmsStarted++
	peerAddress := FreeAddress(f.t)
	vm.CallerAddress, vm.AdminAddress = FreeAddress(f.t), FreeAddress(f.t)
	proxy, stopProxy := wqproxy.New(f.t, peerAddress)
	f.t.Cleanup(stopProxy)
	vm.PeerProxy = proxy
	vm.start(peerAddress)
	f.mu.Lock()
	f.VMs = append(f.VMs, vm)
	f.mu.Unlock()
	f.updateVMList()
	return vm
}

func (vm *VM) start(peerAddress string) {
	f := vm.fleet
	vm.logPath = filepath.Join(f.t.TempDir(), vm.ID+".log")
	logFile, err := os.Create(vm.logPath)
	must.NoError(f.t, err)
	vm.cmd = exec.CommandContext(context.Background(), f.programPath, "serve", "--plain-text", "--operator-token="+OperatorToken,
		"--id="+vm.ID, "--zone="+vm.Zone, "--region=r1",
		"--caller-listen="+vm.CallerAddress, "--peer-listen="+peerAddress, "--peer-address="+vm.PeerProxy.Address(), "--admin-listen="+vm.AdminAddress,
		"--store=http://"+f.StoreProxy.Address(), "--store-timeout=500ms", "--vm-list="+f.vmListURL, "--vm-list-period=200ms", "--vm-list-lag=10s",
		"--balancer-lag="+f.Options.BalancerLag.String(), "--ticket-life="+f.Options.TicketTTL.String(),
		"--stop-limit="+f.Options.StopLimit.String())
	vm.cmd.Stdout, vm.cmd.Stderr = logFile, logFile
	must.NoError(f.t, vm.cmd.Start())
	go func() {
		vm.exitError = vm.cmd.Wait()
		_ = logFile.Close()
		close(vm.exited)
	}()
	f.t.Cleanup(func() {
		vm.Thaw()
		vm.Kill()
		if f.t.Failed() {
			vm.printLog()
		}
	})
}

// Kill sends SIGKILL, waits for the exit and removes the VM from the VM list.
func (vm *VM) Kill() {
	vm.signal(syscall.SIGKILL)
	<-vm.exited
	vm.fleet.updateVMList()
}

// Freeze pauses the process with SIGSTOP.
func (vm *VM) Freeze() { vm.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (vm *VM) Thaw() { vm.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful stop, and does not wait.
func (vm *VM) Terminate() { vm.signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has exited.
func (vm *VM) Exited() <-chan struct{} { return vm.exited }

// ExitError returns nil if the process exited with status 0, and the error of
// exec.Cmd.Wait otherwise. Call it only once Exited is closed.
func (vm *VM) ExitError() error { return vm.exitError }

// Running reports whether the process has not exited; a frozen one counts as
// running.
func (vm *VM) Running() bool {
	select {
	case <-vm.exited:
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

// CheckReady calls /readyz and returns nil if the VM is ready, or else an error
// with the status and the reason.
func (vm *VM) CheckReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyCheckTimeout)
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
		reason, _ := io.ReadAll(io.LimitReader(reply.Body, logTailBytes))
		return fmt.Errorf("%s: status %d: %s", vm.ID, reply.StatusCode, strings.TrimSpace(string(reason)))
	}
	return nil
}

// WaitReady waits until the VM is ready and fails the test after 20 s.
func (vm *VM) WaitReady() {
	vm.fleet.t.Helper()
	eventually(vm.fleet.t, startTimeout, vm.ID+" is ready", vm.CheckReady)
}

// WaitServing waits until the VM answers a query of all shards, and fails the test
// after 20 s. A ready VM may not answer yet: a share of a searcher's limits is
// unused at first while a previous holder may still use it.
func (vm *VM) WaitServing() {
	vm.fleet.t.Helper()
	eventually(vm.fleet.t, startTimeout, vm.ID+" answers a query of all shards", vm.checkAnswer)
}

func (vm *VM) checkAnswer() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := vm.Client().Query(ctx, connect.NewRequest(&wqpb.QueryRequest{
		RequestId: "first", Tenant: Tenant, Class: Class, Service: Service, LeastCoverage: 1,
	}))
	if err != nil {
		return err
	}
	if reply.Msg.GetShardsAnswered() < reply.Msg.GetShardsTotal() {
		return fmt.Errorf("%s: shards missing from the answer: %v", vm.ID, reply.Msg.GetMissing())
	}
	return nil
}

// Client returns a client for the caller listener of the VM.
func (vm *VM) Client() wqpbconnect.QueryServiceClient {
	return wqpbconnect.NewQueryServiceClient(http.DefaultClient, "http://"+vm.CallerAddress)
}

func (vm *VM) printLog() {
	text, err := os.ReadFile(vm.logPath)
	if err != nil {
		return
	}
	tail := string(text[max(0, len(text)-logTailBytes):])
	vm.fleet.t.Logf("log of %s:\n%s", vm.ID, strings.TrimSpace(tail))
}

// FreeAddress returns a loopback host:port that nothing listens on. Its port is
// below the range that the kernel assigns to outgoing connections. It fails the
// test if it finds none.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range maxPortTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+(portOffset+int(portsAssigned.Add(1)))%portCount)
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			must.NoError(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port on loopback; check what listens on ports 12000 to 29999")
	return ""
}

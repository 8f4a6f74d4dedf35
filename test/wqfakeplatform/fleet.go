package wqfakeplatform

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/test/wqprocess"
	"wisteriaquay/test/wqproxy"
)

// Bounds of the stand-in, as the settings file states them.
const (
	MaxDrainTime      = 3 * time.Second // MaxDrainTime is how long after its notice a leaving searcher may get requests.
	MaxApplyTime      = 3 * time.Second // MaxApplyTime is how long a configuration may take to be in force.
	MaxEvacuationTime = 5 * time.Second // MaxEvacuationTime is how long a zone that is taken out may get requests.
	graceSeconds      = 6
)

// Options are the choices of a fleet.
type Options struct {
	VMs    int
	Shards int // Shards is how many shards the fan-out route has, each with a searcher in zones a and b.
}

// VM is one process of the program.
type VM struct {
	Name             string
	CallerAddress    string
	ReadinessAddress string
	StoreProxy       *wqproxy.Proxy // StoreProxy is its route to the store.
	fleet            *Fleet
	config           string
	cmd              *exec.Cmd
	ended            chan struct{}
}

// Fleet is a tier with its surroundings.
type Fleet struct {
	Store     *Store
	VMs       []*VM
	Searchers []*Searcher

	t       *testing.T
	program string
	numbers atomic.Int64
	mutex   sync.Mutex
	replies []Reply
	client  *http.Client
}

// Start runs a fleet with its searchers registered and no configuration.
func Start(t *testing.T, o Options) *Fleet {
	t.Helper()
	store, stop := NewStore()
	t.Cleanup(stop)
	f := &Fleet{t: t, Store: store, program: wqprocess.BuildProgram(t), client: &http.Client{Transport: &http.Transport{}}}
	for i := range o.Shards {
		f.AddSearcher(ShardName(1, i), "a")
		f.AddSearcher(ShardName(1, i), "b")
	}
	for _, zone := range []string{"a", "b"} {
		f.AddSearcher("orders", zone)
		f.AddSearcher("invoices", zone)
	}
	controls := make([]string, o.VMs)
	for i := range o.VMs {
		controls[i] = wqprocess.FreeAddress(t)
	}
	for i := range o.VMs {
		f.addVM(i, controls)
	}
	return f
}

// ShardName names one shard of a cut of the index.
func ShardName(cut, i int) string { return fmt.Sprintf("cut%d-%02d", cut, i) }

// AddSearcher starts and registers a searcher, behind a wire.
func (f *Fleet) AddSearcher(service, zone string) *Searcher {
	s := newSearcher(fmt.Sprintf("i-%s-%d", service, f.numbers.Add(1)), service, zone)
	f.t.Cleanup(s.server.Close)
	wire, release := wqproxy.New(f.t, s.Address)
	f.t.Cleanup(release)
	s.Proxy, s.Address = wire, wire.Address()
	f.mutex.Lock()
	f.Searchers = append(f.Searchers, s)
	f.mutex.Unlock()
	f.Register(s, "ready", 1)
	return s
}

// Register writes what a searcher says of itself.
func (f *Fleet) Register(s *Searcher, state string, sequence int) {
	f.Store.Put("servers/"+s.ID, struct {
		Service string  `json:"service"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Version string  `json:"version"`
		Slots   int     `json:"slots"`
		State   string  `json:"state"`
		Warmup  float64 `json:"warmupLeftMs"`
		Seq     int     `json:"seq"`
		Born    int64   `json:"born"`
	}{s.Service, s.Address, s.Zone, "v1", 8, state, 0, sequence, s.StartMillis})
}

// SearchersOf returns the searchers of a service.
func (f *Fleet) SearchersOf(service string) []*Searcher {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var out []*Searcher
	for _, s := range f.Searchers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// AllSearchers returns all searchers.
func (f *Fleet) AllSearchers() []*Searcher {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.Searchers)
}

// ReplyCount counts what callers got.
func (f *Fleet) ReplyCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.replies)
}

func (f *Fleet) addVM(i int, controls []string) {
	wire, release := wqproxy.New(f.t, strings.TrimPrefix(f.Store.URL, "http://"))
	f.t.Cleanup(release)
	vm := &VM{
		Name: fmt.Sprintf("front-%d", i), fleet: f, StoreProxy: wire,
		CallerAddress: wqprocess.FreeAddress(f.t), ReadinessAddress: wqprocess.FreeAddress(f.t),
	}
	vm.config = filepath.Join(f.t.TempDir(), "boot.toml")
	seeds := `"` + strings.Join(controls[:min(3, len(controls))], `","`) + `"`
	text := fmt.Sprintf(settings, vm.Name, string(rune('a'+i%3)), seeds, vm.CallerAddress, vm.ReadinessAddress, controls[i], graceSeconds, wire.Address())
	must.NoError(f.t, os.WriteFile(vm.config, []byte(text), 0o600))
	f.VMs = append(f.VMs, vm)
	vm.Start()
	f.t.Cleanup(func() {
		vm.Signal(syscall.SIGCONT)
		vm.Kill()
	})
}

const settings = `nodeName = %q
ip = "127.0.0.1"
zone = %q
region = "r"
seeds = [%s]
heartbeatMs = 1200
unknownField = { a = 1 }
[listenAddrs]
front = %q
ready = %q
control = %q
[bounds]
graceS = %d
configApplyMs = 3000
drainMs = 3000
evacuateMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 50
warmupOvershoot = 1.5
warmupSlack = 5
[platform]
address = %q
`

// Start runs the process.
func (vm *VM) Start() {
	log, err := os.OpenFile(vm.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(vm.fleet.t, err)
	vm.cmd = exec.CommandContext(context.Background(), vm.fleet.program, "host", "--settings", vm.config, "--log-per-second", "1000")
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	must.NoError(vm.fleet.t, vm.cmd.Start())
	vm.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // Tests end processes on purpose.
		_ = log.Close()
		close(ended)
	}(vm.cmd, vm.ended)
}

// Signal sends a signal to the process if it runs.
func (vm *VM) Signal(s syscall.Signal) {
	select {
	case <-vm.ended:
	default:
		_ = vm.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	<-vm.ended
}

// Exited is closed when the process has ended.
func (vm *VM) Exited() <-chan struct{} { return vm.ended }

// Running reports whether the process runs.
func (vm *VM) Running() bool {
	select {
	case <-vm.ended:
		return false
	default:
		return true
	}
}

// Log returns what the process has written.
func (vm *VM) Log() string {
	text, err := os.ReadFile(vm.config + ".log")
	must.NoError(vm.fleet.t, err)
	return string(text)
}

// IsReady asks the readiness check.
func (vm *VM) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.ReadinessAddress+"/readiness", http.NoBody)
	must.NoError(vm.fleet.t, err)
	reply, err := vm.fleet.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.StatusCode == http.StatusOK
}

// WaitReady waits until all VMs are ready.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	f.Eventually(15*time.Second, func() bool {
		return !slices.ContainsFunc(f.VMs, func(vm *VM) bool { return !vm.IsReady() })
	})
}

// Eventually waits until a condition holds.
func (f *Fleet) Eventually(limit time.Duration, condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.Timeout(limit), wait.Gap(20*time.Millisecond), wait.BoolFunc(condition)))
}

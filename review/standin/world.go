package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every VM, as on the platform; each VM has a loopback address of its own.
const (
	storePort   = 8102
	callerPort  = 8104
	peerPort    = 8106
	readyPort   = 8108
	metricsPort = 7390
)

// host is the host name of all routes.
const host = "shop.example"

// world is one small deployment on loopback: the store, the searchers and the VMs.
type world struct {
	trouble bool
	store   *store
	VMs     []*vm

	network   string // First three bytes of all addresses.
	folder    string // Temporary folder for settings and logs.
	startedAt time.Time
	mutex     sync.Mutex
	file      *bufio.Writer
	searchers []*searcher
	sequence  int
}

// vm is one process of the program under test.
type vm struct {
	Name       string
	Zone       string
	IP         string
	inRotation atomic.Bool // Whether clients are sent to it.

	world    *world
	settings string
	seeds    string // Addresses of the seeds, as TOML.
	cmd      *exec.Cmd
	exited   chan struct{}
	exitedAt time.Time
}

// newWorld starts the store. Its addresses are taken from the loopback network, so
// that all VMs can use the same ports.
func newWorld(trouble bool, recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, file: bufio.NewWriter(file), folder: folder, startedAt: time.Now()}
	w.network = fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), rand.Intn(250))
	w.record("start", "trouble", trouble)
	w.store, err = startStore(w.address(200, storePort))
	return w, err
}

func (w *world) address(node, port int) string { return fmt.Sprintf("%s.%d:%d", w.network, node, port) }

// record writes one line to the record of the case.
func (w *world) record(event string, fields ...any) {
	line := fmt.Sprintf("%9.3f %s", time.Since(w.startedAt).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		line += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = w.file.WriteString(line + "\n")
}

// Searchers are faulty for a while, again and again.
const (
	faultLength   = 5 * time.Second
	faultInterval = 7 * time.Second
)

// faulty reports whether the searchers are faulty now: with trouble only, for
// faultLength in each faultInterval.
func (w *world) faulty() bool {
	return w.trouble && time.Since(w.startedAt)%faultInterval < faultLength
}

func (w *world) addSearcher(s *searcher) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.searchers = append(w.searchers, s)
}

// nextID returns a new request id.
func (w *world) nextID() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	return fmt.Sprintf("q%07d", w.sequence)
}

// runsByID returns the runs of each request at all searchers.
func (w *world) runsByID() map[string][]run {
	w.mutex.Lock()
	searchers := append([]*searcher(nil), w.searchers...)
	w.mutex.Unlock()
	runs := make(map[string][]run)
	for _, s := range searchers {
		for _, r := range s.allRuns() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// settingsFormat follows the example of the settings page; the figures are those of a
// deployment of seven machines.
const settingsFormat = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "north"
internalPorts = [7380,7395]
seeds = [%s]
bootstrap = %v
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
north-1 = "north"
north-2 = "north"
north-3 = "north"
[listenAddrs]
front = "%[2]s:8104"
ready = "%[2]s:8108"
control = "%[2]s:8106"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
warmupOvershoot = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
address = %[6]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// startVMs starts n VMs in three zones.
func (w *world) startVMs(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", w.address(10+i, peerPort)))
	}
	for i := range n {
		v := &vm{Name: fmt.Sprintf("front-%d", i+1), Zone: fmt.Sprintf("north-%d", i%3+1), IP: fmt.Sprintf("%s.%d", w.network, 10+i), world: w}
		v.settings = filepath.Join(w.folder, v.Name+".toml")
		v.seeds = strings.Join(seeds, ",")
		w.VMs = append(w.VMs, v)
		if err := v.start(true); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file. First is true when the
// whole deployment starts for the first time.
func (v *vm) start(first bool) error {
	text := fmt.Sprintf(settingsFormat, v.Name, v.IP, v.Zone, v.seeds, first, v.world.address(200, storePort))
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command("target/wisteriaquay", "host", "--metrics-port", fmt.Sprint(metricsPort))
	v.cmd.Env = []string{"WISTERIAQUAY_CONFIG=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	output, err := os.OpenFile(filepath.Join(v.world.folder, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd.Stdout, v.cmd.Stderr = output, output
	if err := v.cmd.Start(); err != nil {
		return err
	}
	_ = output.Close() // The process has its own copy.
	v.exited = make(chan struct{})
	v.world.record("vm", "name", v.Name, "started", v.cmd.Process.Pid)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		v.exitedAt = time.Now()
		v.world.record("vm", "name", v.Name, "ended", err)
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// signal sends a signal to the process unless it has ended.
func (v *vm) signal(s syscall.Signal) {
	select {
	case <-v.exited:
	default:
		v.world.record("signal", "vm", v.Name, "signal", s)
		_ = v.cmd.Process.Signal(s)
	}
}

func (v *vm) callers() string { return fmt.Sprintf("%s:%d", v.IP, callerPort) }

// ready asks once as the platform does.
func (v *vm) ready() bool {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.IP, readyPort), time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	a := exchangeOn(c, "GET", "/readiness", "", "", "", time.Second)
	return a.Code == 200
}

// waitReady waits until all VMs are ready, for 15 s at most.
func (w *world) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, v := range w.VMs {
			all = all && v.ready()
		}
		if all {
			w.record("ready")
			return nil
		}
	}
	return fmt.Errorf("not all VMs are ready after 15 s; their logs are in %s", w.folder)
}

// end ends all processes that were started and writes the rest of the record.
func (w *world) end(keepLogs bool) {
	for _, v := range w.VMs {
		if v.exited == nil {
			continue
		}
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
	if !keepLogs {
		_ = os.RemoveAll(w.folder)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_ = w.file.Flush()
}

package main

import (
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
	"syscall"
	"time"
)

const (
	hostName    = "shop.example"
	metricsPort = 7390 // that of the deploy file
	heartbeat   = 1200 * time.Millisecond
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	w     io.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.w, format+"\n", args...)
}

// vm is one process of the system.
type vm struct {
	name, zone, ip string
	settings       string
	logPath        string
	cmd            *exec.Cmd
	done           chan struct{}
}

// fleet holds the processes of the system, the store and the searchers.
type fleet struct {
	root, dir           string
	net                 string // first three bytes of all addresses
	front, ready, inner int    // ports, the same on all VMs
	vms                 []*vm
	store               *store
	searchers           []*searcher
	rec                 *record
	quotas              bool             // the settings bound the quotas of client accounts
	tenants             []map[string]any // client accounts of the configuration
}

func newFleet(root, dir string, rec *record, vms int) (*fleet, error) {
	f := &fleet{root: root, dir: dir, rec: rec}
	for try := 0; ; try++ {
		f.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if f.choosePorts(vms) {
			break
		}
		if try == 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	port, err := freePort(f.net + "2")
	if err != nil {
		return nil, err
	}
	if f.store, err = newStore(fmt.Sprintf("%s2:%d", f.net, port)); err != nil {
		return nil, err
	}
	for i := range vms {
		v := &vm{name: fmt.Sprintf("front-%d", i), zone: fmt.Sprintf("zone-%d", 1+i%3), ip: fmt.Sprintf("%s%d", f.net, 10+i)}
		v.settings, v.logPath = filepath.Join(dir, v.name+".toml"), filepath.Join(dir, v.name+".log")
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (f *fleet) choosePorts(vms int) bool {
	ports := []*int{&f.front, &f.ready, &f.inner}
	for i, p := range ports {
		n, err := freePort(fmt.Sprintf("%s%d", f.net, 10))
		if err != nil || i > 0 && n == *ports[i-1] {
			return false
		}
		*p = n
	}
	for i := range vms {
		ip := fmt.Sprintf("%s%d", f.net, 10+i)
		for _, p := range []int{f.front, f.ready, f.inner, metricsPort} {
			if !isFree(ip, p) {
				return false
			}
		}
	}
	return f.front != f.inner
}

// writeSettings writes the settings file of a VM, in the layout of DEPLOY.md.
func (f *fleet) writeSettings(v *vm, bootstrap bool) error {
	var seeds []string
	for _, o := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", o.ip, f.inner)))
	}
	contracts, quotas := "", ""
	if f.quotas {
		contracts, quotas = `"tenants","quota",`, "quotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\nstrictRevoke = false\nrevokeMs = 5000\n"
	}
	return os.WriteFile(v.settings, fmt.Appendf(nil, `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region-1"
internalPorts = [7380,7395]
seeds = [%s]
bootstrap = %t
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = %d
contracts = ["base","drain","config","cost","retry","recover","scatter","places",%s"platform"]
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[listenAddrs]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
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
%s[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, v.name, v.ip, v.zone, strings.Join(seeds, ","), bootstrap, heartbeat.Milliseconds(), contracts,
		v.ip, f.front, v.ip, f.ready, v.ip, f.inner, quotas, f.store.addr), 0o600)
}

// start starts a VM with the command of the deploy file. Out is its standard output and
// error; nil is a file.
func (f *fleet) start(v *vm, bootstrap bool, out *os.File) error {
	if err := f.writeSettings(v, bootstrap); err != nil {
		return err
	}
	if out == nil {
		file, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	v.cmd = exec.Command("target/wisteriaquay", "host", "--metrics-port", fmt.Sprint(metricsPort))
	v.cmd.Dir, v.cmd.Stdout, v.cmd.Stderr = f.root, out, out
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "WISTERIAQUAY_CONFIG=" + v.settings}
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(v.cmd, v.done)
	return nil
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			<-v.done
		}
	}
}

func (f *fleet) isReady(v *vm) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", v.ip, f.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready and know the first searchers.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range f.vms {
		for !f.isReady(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // The VMs find each other.
	return nil
}

// addSearcher starts and registers a searcher, which is warm.
func (f *fleet) addSearcher(service string, slots int, work time.Duration) (*searcher, error) {
	n := len(f.searchers)
	ip := fmt.Sprintf("%s%d", f.net, 100+n)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	s := &searcher{
		id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: fmt.Sprintf("zone-%d", 1+n%3), addr: fmt.Sprintf("%s:%d", ip, port),
		slots: slots, work: work, log: f.rec,
	}
	if err := s.start(0); err != nil {
		return nil, err
	}
	f.searchers = append(f.searchers, s)
	s.register(f.store)
	return s, nil
}

// route is a route of the configuration.
type route map[string]any

func oneService(name, prefix, kind, service string, timeoutMs int) route {
	return route{
		"name": name, "hostname": hostName, "prefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500,
		"priority": 1, "service": service, "maxAttempts": 2,
	}
}

// configure writes the operator's configuration.
func (f *fleet) configure(version int, warmupPerS float64, services []string, routes ...route) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": warmupPerS,
		})
	}
	configuration := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if f.tenants != nil {
		configuration["tenants"] = f.tenants
	}
	f.store.put("op/config", configuration)
}

// runsByID returns the runs of all searchers.
func (f *fleet) runsByID() map[string][]run {
	byID := make(map[string][]run)
	for _, s := range f.searchers {
		for _, r := range s.takeRuns() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	return byID
}

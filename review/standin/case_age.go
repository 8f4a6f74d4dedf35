package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	ageVMs         = 20
	ageShards      = 4
	uploadPerS     = 80              // Queries per second whose body arrives slowly.
	uploadDuration = 5 * time.Second // From the head of such a query to the end of its body.
	ageDeadline    = 8 * time.Second
	rollGap        = 2 * time.Second // From one SIGTERM to the next.
	stability      = 4 * time.Second // stabilityMs
	steadyDuration = 15 * time.Second
)

// playAge restarts all VMs in turn while some queries arrive slowly, and compares how
// often each VM then serves a route that was added later and the first route.
func playAge(w *world) (string, error) {
	var services []service
	var shards []string
	for i := range ageShards {
		name := fmt.Sprintf("shard-%d", i)
		shards = append(shards, name)
		services = append(services, service{Name: name, HealthPath: "/health", MaxConnections: 66})
	}
	services = append(services, service{Name: "single", HealthPath: "/health", MaxConnections: 580})
	for _, s := range services {
		for i := range 3 {
			x := &searcher{ID: fmt.Sprintf("i-%s-%d", s.Name, i), Service: s.Name, Zone: fmt.Sprintf("north-%d", i+1), Slots: 12, Queue: 18, Work: 110 * time.Millisecond}
			if err := x.start(w); err != nil {
				return "", err
			}
		}
	}
	first := route{Name: "single", Prefix: "/single/", RouteType: "safe", TimeoutMs: int(ageDeadline.Milliseconds()), TargetLatencyMs: 800, Service: "single", MaxAttempts: 2}
	later := route{Name: "index", Prefix: "/index/", RouteType: "safe", TimeoutMs: int(ageDeadline.Milliseconds()), TargetLatencyMs: 800, FanoutServices: shards, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.75}
	w.putConfiguration(1, services, first)
	if err := w.startVMs(ageVMs); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	w.putConfiguration(2, services, first, later)
	time.Sleep(stability)

	stopUploads := w.startUploads()
	time.Sleep(uploadDuration)
	if w.trouble {
		var restarts sync.WaitGroup
		for _, v := range w.VMs {
			v.inRotation.Store(false)
			v.signal(syscall.SIGTERM)
			restarts.Go(func() {
				<-v.exited
				time.Sleep(500 * time.Millisecond)
				if err := v.start(false); err != nil {
					panic(err)
				}
				for !v.ready() {
					time.Sleep(100 * time.Millisecond)
				}
				v.inRotation.Store(true)
			})
			time.Sleep(rollGap)
		}
		restarts.Wait()
	} else {
		time.Sleep(ageVMs * rollGap)
	}
	time.Sleep(uploadDuration)
	stopUploads()
	w.record("steady", "after", stability+time.Second)
	time.Sleep(stability + time.Second)
	return w.compareRoutes(), nil
}

// startUploads sends queries whose body arrives slowly to the VMs in rotation, until the
// returned function is called, which waits for the last of them.
func (w *world) startUploads() func() {
	for _, v := range w.VMs {
		v.inRotation.Store(true)
	}
	var group sync.WaitGroup
	var stopped atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; !stopped.Load(); n++ {
			time.Sleep(time.Second / uploadPerS)
			v := w.VMs[n%ageVMs]
			if !v.inRotation.Load() {
				continue
			}
			group.Go(func() { w.upload(v) })
		}
	}()
	return func() {
		stopped.Store(true)
		<-done
		group.Wait()
	}
}

// upload sends one query with a body in ten parts.
func (w *world) upload(v *vm) {
	c, err := net.DialTimeout("tcp", v.callers(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	id := w.nextID()
	_ = c.SetDeadline(time.Now().Add(ageDeadline + time.Second))
	w.record("sent", "id", id, "vm", v.Name, "request", "POST /index/upload", "body", "slow")
	_, _ = fmt.Fprintf(c, "POST /index/upload HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 100\r\n\r\n", host, id, ageDeadline.Milliseconds())
	for range 10 {
		time.Sleep(uploadDuration / 10)
		_, _ = c.Write([]byte("0123456789"))
	}
	code := 0
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		code = response.StatusCode
	}
	w.record("answered", "id", id, "vm", v.Name, "code", code, "error", err)
}

// compareRoutes sends requests on both routes to every VM. It returns what breaks the
// rule, if all VMs together serve the later route less than a quarter as often as the first.
func (w *world) compareRoutes() string {
	var group sync.WaitGroup
	var mutex sync.Mutex
	served, sent, unanswered := make(map[string]int), make(map[string]int), make(map[string]int)
	end := time.Now().Add(steadyDuration)
	for _, v := range w.VMs {
		for _, target := range []string{"/single/1", "/index/1"} {
			group.Go(func() {
				for time.Now().Before(end) {
					c := &client{world: w, vm: v}
					a := c.send("GET", target, "", 2*time.Second)
					if c.conn != nil {
						_ = c.conn.Close()
					}
					mutex.Lock()
					sent[v.Name+target]++
					if a.Code == 200 {
						served[v.Name+target]++
					}
					if a.Code == 0 {
						unanswered[v.Name+target]++
					}
					mutex.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	share := func(names ...string) float64 {
		s, n := 0, 0
		for _, name := range names {
			s, n = s+served[name], n+sent[name]
		}
		return float64(s) / float64(max(n, 1))
	}
	var firsts, laters []string
	broken := 0
	for _, v := range w.VMs {
		first, later := v.Name+"/single/1", v.Name+"/index/1"
		firsts, laters = append(firsts, first), append(laters, later)
		if sent[later] >= 20 && share(later) < share(first)/4 {
			broken++
		}
		w.record("routes", "vm", v.Name, "first_served", share(first), "later_served", share(later), "later_sent", sent[later], "later_unanswered", unanswered[later])
	}
	w.record("summary", "vms_that_break_the_rule", broken, "first_served", share(firsts...), "later_served", share(laters...))
	if share(laters...) >= share(firsts...)/4 {
		return ""
	}
	return fmt.Sprintf("CONFIG: all VMs together serve %.2f of the requests on the later route and %.2f of those on the first; %d of %d VMs less than a quarter as often", share(laters...), share(firsts...), broken, ageVMs)
}

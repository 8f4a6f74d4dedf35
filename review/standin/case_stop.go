package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	stopDeadline = 8 * time.Second // Deadline of the clients and timeout of the route.
	stopGrace    = 6 * time.Second // From SIGTERM to SIGKILL.
	lossSlack    = 200 * time.Millisecond
	ratePerVM    = 8 // Requests per second at each VM.
)

// playStop moves a route to a service whose searchers have just started and bear few
// requests per second, so that requests wait at the VMs, and stops one VM as planned.
// Every request that it has read has to be answered.
func playStop(w *world) (string, error) {
	for i := range 2 {
		s := &searcher{ID: fmt.Sprintf("i-old-%d", i), Service: "old", Zone: fmt.Sprintf("north-%d", i+1), Slots: 8, Work: 20 * time.Millisecond}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	services := []service{
		{Name: "old", HealthPath: "/health", MaxConnections: 100, WarmupS: 30, WarmupPerS: 4},
		{Name: "new", HealthPath: "/health", MaxConnections: 100, WarmupS: 30, WarmupPerS: 4},
	}
	r := route{Name: "certificate", Prefix: "/certificate/", RouteType: "safe", TimeoutMs: int(stopDeadline.Milliseconds()), TargetLatencyMs: 800, Service: "old", MaxAttempts: 2}
	w.putConfiguration(1, services, r)
	if err := w.startVMs(3); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	var mutex sync.Mutex
	answers := make(map[*vm][]answer)
	var group sync.WaitGroup
	stopped := make(chan struct{})
	load := func(v *vm, until <-chan struct{}) {
		t := time.NewTicker(time.Second / ratePerVM)
		defer t.Stop()
		for {
			select {
			case <-until:
				return
			case <-t.C:
			}
			group.Go(func() {
				c := &client{world: w, vm: v}
				a := c.send("GET", "/certificate/7", "", stopDeadline)
				if c.conn != nil {
					_ = c.conn.Close()
				}
				mutex.Lock()
				answers[v] = append(answers[v], a)
				mutex.Unlock()
			})
		}
	}
	for _, v := range w.VMs {
		go load(v, stopped)
	}
	time.Sleep(5 * time.Second)
	for i := range 2 {
		s := &searcher{ID: fmt.Sprintf("i-new-%d", i), Service: "new", Zone: fmt.Sprintf("north-%d", i+1), Slots: 8, Work: 20 * time.Millisecond, Warmup: 30 * time.Second}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	r.Service = "new"
	w.putConfiguration(2, services, r)
	time.Sleep(5 * time.Second)
	v := w.VMs[0]
	signalled := time.Now()
	if w.trouble {
		v.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(stopGrace)
			v.signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(2 * time.Second) // The platform has taken the VM out of rotation by now.
	close(stopped)
	group.Wait()
	lost, waiting := 0, 0
	for _, a := range answers[v] {
		if a.Sent.After(signalled.Add(time.Second)) || a.Done.Before(signalled) {
			continue // Sent when the VM may be gone, or answered before.
		}
		waiting++
		inTime := a.Done.Sub(a.Sent) < stopDeadline-100*time.Millisecond
		if a.Code == 0 && inTime && a.Done.Sub(a.Sent) > lossSlack {
			lost++
			w.record("lost", "id", a.ID, "sent_before_sigterm_ms", signalled.Sub(a.Sent).Milliseconds(), "cut_after_sigterm_ms", a.Done.Sub(signalled).Milliseconds(), "runs", len(w.runsByID()[a.ID]))
		}
	}
	w.record("summary", "waiting_or_sent_at_the_signal", waiting, "lost", lost)
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d requests that the stopped VM had read ended without an answer", lost, waiting), nil
}

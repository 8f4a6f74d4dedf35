package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	spoiledShare = 0.02             // Share of a faulty searcher's answers that are spoiled.
	statusLoad   = 35 * time.Second // Duration of the traffic.
)

// playStatus sends orders to four searchers, two of which fail and spoil a few answers:
// the status line has no valid status. No client may get a success for these.
func playStatus(w *world) (string, error) {
	spoiled := make(map[string]bool)
	var mutex sync.Mutex
	spoil := func(x *exchange) ([]byte, bool) {
		if !w.faulty() || !x.Executed || rand.Float64() >= spoiledShare {
			return nil, false
		}
		mutex.Lock()
		defer mutex.Unlock()
		spoiled[x.ID] = true
		body := "the search failed"
		return fmt.Appendf(nil, "HTTP/1.1 000 \r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", x.ID, x.Stamp, len(body), body), false
	}
	for i := range 4 {
		s := &searcher{ID: fmt.Sprintf("i-orders-%d", i), Service: "orders", Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 8, Work: 5 * time.Millisecond}
		if i < 2 {
			s.Spoil = spoil
		}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	w.putConfiguration(1, []service{{Name: "orders", HealthPath: "/health", MaxConnections: 100}},
		route{Name: "order", Prefix: "/order/", RouteType: "unsafe", TimeoutMs: 2000, TargetLatencyMs: 200, Service: "orders", MaxAttempts: 1},
		route{Name: "status", Prefix: "/status/", RouteType: "safe", TimeoutMs: 2000, TargetLatencyMs: 200, Service: "orders", MaxAttempts: 1})
	if err := w.startVMs(3); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	falseSuccesses, answers := 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(statusLoad)
	for i := range 6 {
		group.Go(func() {
			c := &client{world: w, vm: w.VMs[i%3]}
			for n := 0; time.Now().Before(end); n++ {
				method, target, body := "POST", "/order/1", "one pump"
				if n%2 == 1 {
					method, target, body = "GET", "/status/1", ""
				}
				a := c.send(method, target, body, time.Second)
				mutex.Lock()
				answers++
				if spoiled[a.ID] && a.Code/100 == 2 {
					falseSuccesses++
					w.record("false_success", "id", a.ID, "code", a.Code, "body", fmt.Sprintf("%q", a.Body))
				}
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	w.record("summary", "answers", answers, "spoiled", len(spoiled), "false_successes", falseSuccesses)
	if falseSuccesses == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: %d of %d spoiled answers became a success", falseSuccesses, len(spoiled)), nil
}

package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	drainVMs      = 7
	drainDeadline = 8 * time.Second // Deadline of the clients and timeout of the route.
	drainBound    = 3 * time.Second // drainMs
	usualRate     = 79.0            // Requests per second; the searchers bear 82.
	burstFactor   = 1.7
	burstLength   = 3 * time.Second
	burstInterval = 5 * time.Second
	bursts        = 4
)

// playDrain sends bursts of orders to a busy service and then takes one of its six
// searchers away as planned. No order may reach it later than drainMs after the store
// acknowledged that it drains.
func playDrain(w *world) (string, error) {
	var searchers []*searcher
	for i := range 6 {
		s := &searcher{ID: fmt.Sprintf("i-orders-%d", i), Service: "orders", Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 3, Queue: 18, Work: 220 * time.Millisecond}
		if err := s.start(w); err != nil {
			return "", err
		}
		searchers = append(searchers, s)
	}
	w.putConfiguration(1, []service{{Name: "orders", HealthPath: "/health", MaxConnections: 31}},
		route{Name: "order", Prefix: "/order/", RouteType: "unsafe", TimeoutMs: int(drainDeadline.Milliseconds()), TargetLatencyMs: 800, Service: "orders", MaxAttempts: 1})
	if err := w.startVMs(drainVMs); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	codes := make(map[string]int)
	byCode := make(map[int]int)
	startedAt := time.Now()
	lastBurst := time.Duration(bursts-1)*burstInterval + 5*time.Second
	drainAt := lastBurst + burstLength
	end := drainAt + 10*time.Second
	var drainedAt time.Time
	for n := 0; time.Since(startedAt) < end; n++ {
		now := time.Since(startedAt)
		rate := usualRate
		if sinceFirst := now - 5*time.Second; sinceFirst > 0 && now < drainAt && sinceFirst%burstInterval < burstLength {
			rate *= burstFactor
		}
		if drainedAt.IsZero() && now > drainAt {
			if w.trouble {
				searchers[0].drain(drainBound + 2*time.Second)
			}
			drainedAt = time.Now()
			w.record("drain", "searcher", searchers[0].ID, "acknowledged", w.trouble)
		}
		group.Go(func() {
			c := &client{world: w, vm: w.VMs[n%drainVMs]}
			a := c.send("POST", "/order/1", "one pump", drainDeadline)
			if c.conn != nil {
				_ = c.conn.Close()
			}
			mutex.Lock()
			defer mutex.Unlock()
			codes[a.ID] = a.Code
			byCode[a.Code]++
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	late, lost := 0, 0
	last := time.Duration(0)
	for _, r := range searchers[0].allRuns() {
		if after := r.Read.Sub(drainedAt); w.trouble && after > drainBound {
			late++
			last = max(last, after)
			if codes[r.ID] != 200 {
				lost++
			}
			w.record("late", "id", r.ID, "reached_after_ms", after.Milliseconds(), "code", codes[r.ID])
		}
	}
	w.record("summary", "orders", len(codes), "by_code", byCode, "reached_late", late, "last_after_ms", last.Milliseconds(), "of_these_without_answer", lost)
	if late == 0 {
		return "", nil
	}
	return fmt.Sprintf("DRAIN: %d orders reached the draining searcher later than %v, the last one after %v; %d of them got no answer", late, drainBound, last, lost), nil
}

package main

import (
	"sync"
	"time"
)

// coldInOutage: while the store is down, the searchers of a service crash and start again
// under their ids. They are cold, and crash again at far more requests than they tolerate.
func coldInOutage(s *setup) (int, error) {
	const (
		outage     = 4500 * time.Millisecond
		downFor    = time.Second
		cold       = 3 * time.Second // warmupS
		perS       = 5.0             // warmupPerS
		overshoot  = 1.5
		slack      = 5.0
		crashAbove = 3 * (perS*overshoot + slack) // requests in a second
	)
	f, err := newFleet(s.root, s.dir, s.rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for range 2 {
		if _, err := f.addSearcher("orders", 8, 100*time.Millisecond); err != nil {
			return failed, err
		}
	}
	f.configure(1, perS, []string{"orders"}, oneService("orders", "/orders/", "unsafe", "orders", 4000))
	for _, v := range f.vms {
		if err := f.start(v, true, nil); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	c := &crowd{fleet: f, rec: s.rec}
	end := time.Now().Add(12 * time.Second)
	for _, v := range f.vms {
		for range 8 {
			c.add(v, 200*time.Millisecond, end, func() request {
				return request{method: "POST", target: "/orders/new", deadline: 4 * time.Second}
			})
		}
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	type arrival struct {
		id string
		at time.Time
	}
	arrivals := make(map[*searcher][]arrival)
	crashed := make(map[*searcher]bool)
	var coldFrom, coldTo time.Time
	if s.trouble {
		s.rec.add("disruption: the store is down")
		f.store.setDown(true)
		time.Sleep(300 * time.Millisecond)
		for _, a := range f.searchers {
			s.rec.add("disruption: %s crashes", a.id)
			a.crash()
		}
		time.Sleep(downFor)
		coldFrom = time.Now()
		coldTo = coldFrom.Add(cold)
		for _, a := range f.searchers {
			a.onArrival = func(id string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				arrivals[a] = append(arrivals[a], arrival{id, at})
				inSecond := 0
				for _, o := range arrivals[a] {
					if at.Sub(o.at) < time.Second {
						inSecond++
					}
				}
				if !crashed[a] && at.Before(coldTo) && float64(inSecond) > crashAbove {
					crashed[a] = true
					s.rec.add("%s is cold, has got %d requests in a second and crashes", a.id, inSecond)
					go a.crash()
				}
			}
			if err := a.start(cold); err != nil {
				return failed, err
			}
			s.rec.add("%s is back under its id, cold for %s", a.id, cold)
		}
		time.Sleep(outage - downFor - 300*time.Millisecond)
		f.store.setDown(false)
		s.rec.add("the store is back")
		mu.Lock()
		for _, a := range f.searchers {
			if !crashed[a] {
				a.register(f.store)
			}
		}
		mu.Unlock()
	}
	c.wait.Wait()
	sent := make(map[string]time.Time)
	answered := make(map[string]int)
	for _, r := range c.results {
		sent[r.id], answered[r.id] = r.sentAt, r.code
	}
	mu.Lock()
	defer mu.Unlock()
	most, lost := 0, 0
	for _, a := range f.searchers {
		for _, last := range arrivals[a] {
			// Requests that were sent by a client and arrived inside one second.
			from, n := last.at.Add(-time.Second), 0
			if last.at.After(coldTo) {
				continue
			}
			for _, o := range arrivals[a] {
				if o.at.After(from) && !o.at.After(last.at) && sent[o.id].After(from) {
					n++
				}
			}
			most = max(most, n)
		}
		for _, r := range a.takeRuns() {
			if !coldFrom.IsZero() && r.at.After(coldFrom) && r.at.Before(coldTo) && answered[r.id] != 200 {
				lost++
				s.rec.add("LOST id=%s ran at %s, which was cold, and was answered %d", r.id, a.id, answered[r.id])
			}
		}
	}
	return s.verdict(float64(most) > perS*overshoot+slack, "a cold searcher got up to %d requests in one second, 12.5 are allowed; %d orders that cold ones had begun got no success", most, lost)
}

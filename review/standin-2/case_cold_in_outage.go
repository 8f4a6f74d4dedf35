package main

import (
	"slices"
	"sync"
	"time"
)

// coldInOutage: while the store is down, a searcher crashes and starts again under its id.
// It is cold, and crashes again when it gets far more requests than it tolerates.
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
	for range 6 {
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
		for range 14 {
			c.add(v, 120*time.Millisecond, end, func() request {
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
	var arrivals []arrival
	var coldFrom, coldTo time.Time
	crashed := time.Time{}
	if s.trouble {
		a := f.searchers[0]
		s.rec.add("disruption: the store is down")
		f.store.setDown(true)
		time.Sleep(300 * time.Millisecond)
		s.rec.add("disruption: %s crashes", a.id)
		a.crash()
		time.Sleep(downFor)
		coldFrom = time.Now()
		coldTo = coldFrom.Add(cold)
		a.mu.Lock()
		a.onArrival = func(id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{id, at})
			inSecond := 0
			for _, o := range arrivals {
				if at.Sub(o.at) < time.Second {
					inSecond++
				}
			}
			if crashed.IsZero() && at.Before(coldTo) && float64(inSecond) > crashAbove {
				crashed = at
				s.rec.add("%s is cold, has got %d requests in a second and crashes", a.id, inSecond)
				go a.crash()
			}
		}
		a.mu.Unlock()
		if err := a.start(cold); err != nil {
			return failed, err
		}
		s.rec.add("%s is back under its id, cold for %s", a.id, cold)
		time.Sleep(outage - downFor - 300*time.Millisecond)
		f.store.setDown(false)
		s.rec.add("the store is back")
		for _, o := range f.searchers {
			if o != a || crashed.IsZero() {
				o.register(f.store)
			}
		}
	}
	c.wait.Wait()
	// Requests that were sent by a client and arrived inside one second.
	sent := make(map[string]time.Time)
	answered := make(map[string]int)
	for _, r := range c.results {
		sent[r.id], answered[r.id] = r.sentAt, r.code
	}
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(arrivals, func(x, y arrival) int { return x.at.Compare(y.at) })
	most := 0
	for _, last := range arrivals {
		from, n := last.at.Add(-time.Second), 0
		if last.at.After(coldTo) {
			break
		}
		for _, o := range arrivals {
			if o.at.After(from) && !o.at.After(last.at) && sent[o.id].After(from) {
				n++
			}
		}
		most = max(most, n)
	}
	lost := 0
	for _, r := range f.searchers[0].takeRuns() {
		if !coldFrom.IsZero() && r.at.After(coldFrom) && r.at.Before(coldTo) && answered[r.id] != 200 {
			lost++
			s.rec.add("LOST id=%s ran at the cold searcher and was answered %d", r.id, answered[r.id])
		}
	}
	return s.verdict(float64(most) > perS*overshoot+slack, "a cold searcher got up to %d requests in one second, 12.5 are allowed; %d orders that it had begun got no success", most, lost)
}

package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// answerLost: searchers lose the answers of some requests that they ran, and reset the
// connection. The requests may run once at most. Half of the clients send the field
// Idempotency-Key without a value.
func answerLost(s *setup) (int, error) {
	const (
		lostFor = 5 * time.Second
		share   = 0.08 // of the requests that a searcher ran
	)
	f, err := newFleet(s.root, s.dir, s.rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	var losing atomic.Bool
	for i := range 4 {
		a, err := f.addSearcher("orders", 4, 5*time.Millisecond)
		if err != nil {
			return failed, err
		}
		if i < 2 { // Half of them.
			a.loseAnswer = func() bool { return losing.Load() && rand.Float64() < share }
		}
	}
	f.configure(1, 0, []string{"orders"}, oneService("orders", "/orders/", "unsafe", "orders", 4000))
	for _, v := range f.vms {
		if err := f.start(v, true, nil); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	c := &crowd{fleet: f, rec: s.rec}
	end := time.Now().Add(10 * time.Second)
	for _, v := range f.vms {
		for n := range 8 {
			extra := ""
			if n%2 == 0 {
				extra = "Idempotency-Key: \r\n"
			}
			c.add(v, 200*time.Millisecond, end, func() request {
				return request{method: "POST", target: "/orders/new", extra: extra, deadline: 4 * time.Second}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.rec.add("disruption: answers are lost from now on")
		losing.Store(true)
		time.Sleep(lostFor)
		losing.Store(false)
		s.rec.add("disruption ends")
	}
	c.wait.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := f.runsByID()
	twice, twiceWithout, ran := 0, 0, 0
	for _, r := range c.results {
		n := len(runs[r.id])
		if n > 0 {
			ran++
		}
		if n > 1 {
			s.rec.add("TWICE id=%s ran %d times, at %s and %s, field sent: %t, answered %d", r.id, n, runs[r.id][0].searcher, runs[r.id][1].searcher, r.extra != "", r.code)
			twice++
			if r.extra == "" {
				twiceWithout++
			}
		}
	}
	return s.verdict(twice > 0, "%d of %d unsafe requests ran more than once, %d of them without the field", twice, ran, twiceWithout)
}

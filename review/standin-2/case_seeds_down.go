package main

import (
	"fmt"
	"slices"
	"time"
)

// seedsDown: the three VMs that the settings name as seeds lose power, and all others are
// killed at the same moment and start again. A client account then sends more than its
// quota.
func seedsDown(s *setup) (int, error) {
	const (
		vms, seeds = 9, 3
		ratePerS   = 20.0
		burst      = 20.0
		window     = 5 * time.Second // quotaWindowS
		overshoot  = 0.1
		slack      = 20.0
		hotFor     = 8 * time.Second
	)
	f, err := newFleet(s.root, s.dir, s.rec, vms)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	f.quotas = true
	for range 6 {
		if _, err := f.addSearcher("lookups", 8, 5*time.Millisecond); err != nil {
			return failed, err
		}
	}
	f.tenants = []map[string]any{{"name": "office", "apiKeys": []string{"key-office"}, "ratePerS": ratePerS, "burst": burst}}
	f.configure(1, 0, []string{"lookups"}, oneService("lookups", "/lookups/", "safe", "lookups", 2000))
	for _, v := range f.vms {
		if err := f.start(v, true, nil); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(8 * time.Second)
	rest := f.vms[seeds:]
	if s.trouble {
		s.rec.add("disruption: all processes are killed; %s do not come back", names(f.vms[:seeds]))
		for _, v := range f.vms {
			_ = v.cmd.Process.Kill()
		}
		for _, v := range f.vms {
			<-v.done
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range rest {
			if err := f.start(v, false, nil); err != nil {
				return failed, err
			}
		}
	}
	for _, v := range rest {
		for n := 0; !f.isReady(v); n++ {
			if n > 200 {
				return failed, fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.add("the others are ready")
	time.Sleep(20 * time.Second)
	c := &crowd{fleet: f, rec: s.rec}
	end := time.Now().Add(hotFor)
	for _, v := range rest {
		for range 4 {
			c.add(v, 200*time.Millisecond, end, func() request {
				return request{method: "GET", target: "/lookups/1", extra: "Authorization: Bearer key-office\r\n", deadline: 2 * time.Second}
			})
		}
	}
	c.wait.Wait()
	sent := make(map[string]time.Time)
	refused := 0
	for _, r := range c.results {
		sent[r.id] = r.sentAt
		if r.code == 429 {
			refused++
		}
	}
	var ran []run
	for _, a := range f.searchers {
		ran = append(ran, a.takeRuns()...)
	}
	slices.SortFunc(ran, func(x, y run) int { return x.at.Compare(y.at) })
	most, over := 0, 0
	ceiling := (ratePerS*window.Seconds()+burst)*(1+overshoot) + slack
	for i, last := range ran {
		from, n := last.at.Add(-window), 0
		for _, o := range ran[:i+1] {
			if o.at.After(from) && sent[o.id].After(from) {
				n++
			}
		}
		if float64(n) > ceiling {
			over++
		}
		most = max(most, n)
	}
	return s.verdict(float64(most) > ceiling, "up to %d requests of the account ran in 5 s, %.0f are allowed; over that at %d of %d runs; %d of %d requests were refused", most, ceiling, over, len(ran), refused, len(c.results))
}

func names(vms []*vm) string {
	text := ""
	for _, v := range vms {
		text += " " + v.name
	}
	return text[1:]
}

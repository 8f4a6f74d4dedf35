package main

import (
	"io"
	"os"
	"sync/atomic"
	"time"
)

// logStalled: what reads the standard output of one VM stops for a while.
func logStalled(s *setup) (int, error) {
	const (
		stalledFor = 20 * time.Second
		timeout    = 2 * time.Second // timeoutMs of the route
		late       = 500 * time.Millisecond
	)
	f, err := newFleet(s.root, s.dir, s.rec, 3)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for range 4 {
		if _, err := f.addSearcher("lookups", 4, 5*time.Millisecond); err != nil {
			return failed, err
		}
	}
	f.configure(1, 0, []string{"lookups"}, oneService("lookups", "/lookups/", "safe", "lookups", int(timeout.Milliseconds())))
	r, w, err := os.Pipe()
	if err != nil {
		return failed, err
	}
	var stalled atomic.Bool
	go func() {
		buffer := make([]byte, 4096)
		for {
			for stalled.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if _, err := r.Read(buffer); err == io.EOF {
				return
			}
		}
	}()
	for i, v := range f.vms {
		out := w
		if i > 0 {
			out = nil
		}
		if err := f.start(v, true, out); err != nil {
			return failed, err
		}
	}
	_ = w.Close()
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	c := &crowd{fleet: f, rec: s.rec}
	end := time.Now().Add(4*time.Second + stalledFor)
	for _, v := range f.vms {
		for range 10 {
			c.add(v, 250*time.Millisecond, end, func() request {
				return request{method: "GET", target: "/lookups/1", deadline: 6 * time.Second}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.rec.add("disruption: the reader of the log of %s stops", f.vms[0].name)
		stalled.Store(true)
	}
	time.Sleep(stalledFor - time.Second)
	s.rec.add("%s is ready: %t", f.vms[0].name, f.isReady(f.vms[0]))
	time.Sleep(time.Second)
	stalled.Store(false)
	s.rec.add("disruption ends")
	c.wait.Wait()
	runs := f.runsByID()
	open, unanswered, ran := 0, 0, 0
	for _, r := range c.results {
		took := r.endAt.Sub(r.sentAt)
		if took < timeout {
			continue
		}
		open++
		if r.code == 0 || took > timeout+late {
			unanswered++
			if len(runs[r.id]) > 0 {
				ran++
			}
			s.rec.add("LATE id=%s at %s: after %d ms answer %d, runs %d", r.id, r.vm, took.Milliseconds(), r.code, len(runs[r.id]))
		}
	}
	return s.verdict(open >= 8 && 2*unanswered > open, "of %d requests without an answer at the route's timeout of 2 s, %d had none 0.5 s later; %d of these had run", open, unanswered, ran)
}

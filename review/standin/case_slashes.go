package main

import (
	"fmt"
	"time"
)

// playSlashes sends requests whose path begins with two slashes, on a route with the
// shortest prefix. Every searcher has to get the path that the client sent.
func playSlashes(w *world) (string, error) {
	for i := range 4 {
		s := &searcher{ID: fmt.Sprintf("i-parts-%d", i), Service: "parts", Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 8, Work: 5 * time.Millisecond}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	w.putConfiguration(1, []service{{Name: "parts", HealthPath: "/health", MaxConnections: 100}},
		route{Name: "parts", Prefix: "/", RouteType: "safe", TimeoutMs: 1000, TargetLatencyMs: 200, Service: "parts", MaxAttempts: 2})
	if err := w.startVMs(3, false); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	targets := []string{"/stock.example/2f", "/stock//2f?x=1", "/2f/"}
	if w.trouble {
		targets = append(targets, "//stock.example/2f")
	}
	sent := make(map[string]string)
	for n := range 120 {
		c := &client{world: w, vm: w.VMs[n%3]}
		target := targets[n%len(targets)]
		a := c.send("GET", target, "", time.Second)
		sent[a.ID] = target
	}
	changed := 0
	for id, runs := range w.runsByID() {
		for _, r := range runs {
			if r.Target != sent[id] || r.Host != host {
				changed++
				w.record("changed", "id", id, "sent", sent[id], "run", r.Target, "host", r.Host)
			}
		}
	}
	w.record("summary", "requests", len(sent), "changed", changed)
	if changed == 0 {
		return "", nil
	}
	return fmt.Sprintf("UNASKED: %d requests ran with another path or host than was sent", changed), nil
}

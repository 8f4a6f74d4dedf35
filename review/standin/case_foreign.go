package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

const (
	bytesShare  = 0.04             // Share of a faulty searcher's answers that additional bytes follow.
	foreignLoad = 30 * time.Second // Duration of the traffic.
)

// playForeign sends lookups to four searchers. Two of them send additional bytes after a
// few answers: a copy of the answer in which the field Request-Id is garbled. Every client
// has to get the answer to its own request.
func playForeign(w *world) (string, error) {
	for i := range 4 {
		s := &searcher{ID: fmt.Sprintf("i-lookup-%d", i), Service: "lookup", Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 8, Work: 5 * time.Millisecond}
		if i < 2 {
			s.Extra = func(x *exchange) []byte {
				if !w.faulty() || rand.Float64() >= bytesShare {
					return nil
				}
				return bytes.Replace(x.bytes(), []byte("Request-Id"), []byte("Rfquest-Id"), 1)
			}
		}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	w.putConfiguration(1, []service{{Name: "lookup", HealthPath: "/health", MaxConnections: 100}},
		route{Name: "lookup", Prefix: "/lookup/", RouteType: "safe", TimeoutMs: 2000, TargetLatencyMs: 200, Service: "lookup", MaxAttempts: 2})
	if err := w.startVMs(3, false); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	var mutex sync.Mutex
	total, foreign := 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(foreignLoad)
	for i := range 6 {
		group.Go(func() {
			c := &client{world: w, vm: w.VMs[i%3]}
			for time.Now().Before(end) {
				a := c.send("GET", "/lookup/1", "", time.Second)
				mutex.Lock()
				total++
				if a.Code/100 == 2 && !strings.HasSuffix(a.Header.Get("Server-Stamp"), "."+a.ID) {
					foreign++
					w.record("foreign", "id", a.ID, "stamp", a.Header.Get("Server-Stamp"), "body", fmt.Sprintf("%q", a.Body))
				}
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	w.record("summary", "requests", total, "answers_of_other_requests", foreign)
	if foreign == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: %d of %d clients got the answer to another request", foreign, total), nil
}

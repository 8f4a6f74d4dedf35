package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	logTimeout  = time.Second            // Timeout of the route, and deadline of the clients.
	logLateness = 500 * time.Millisecond // After it, an unanswered request counts.
	logStall    = 20 * time.Second       // Time in which nobody reads the log of one VM.
)

// playLog stops to read the standard output of one VM for a while. The VM must go on
// answering.
func playLog(w *world) (string, error) {
	for i := range 4 {
		s := &searcher{ID: fmt.Sprintf("i-status-%d", i), Service: "status", Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 8, Work: 5 * time.Millisecond}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	w.putConfiguration(1, []service{{Name: "status", HealthPath: "/health", MaxConnections: 100}},
		route{Name: "status", Prefix: "/status/", RouteType: "safe", TimeoutMs: int(logTimeout.Milliseconds()), TargetLatencyMs: 200, Service: "status", MaxAttempts: 2})
	if err := w.startVMs(3, true); err != nil {
		return "", err
	}
	var gate sync.RWMutex // Held while nobody reads the log of the first VM.
	for i, v := range w.VMs {
		go func() {
			buffer := make([]byte, 4096)
			for {
				if i == 0 {
					gate.RLock()
				}
				_, err := v.LogPipe.Read(buffer)
				if i == 0 {
					gate.RUnlock()
				}
				if err == io.EOF || err != nil {
					return
				}
			}
		}()
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	var mutex sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	end := time.Now().Add(logStall + 15*time.Second)
	for range 6 {
		group.Go(func() {
			c := &client{world: w, vm: w.VMs[0]}
			for time.Now().Before(end) {
				a := c.send("GET", "/status/1", "", logTimeout)
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	stalledAt := time.Now()
	if w.trouble {
		gate.Lock()
		w.record("log", "vm", w.VMs[0].Name, "read", false)
	}
	time.Sleep(logStall)
	ready := w.VMs[0].ready()
	if w.trouble {
		gate.Unlock()
		w.record("log", "vm", w.VMs[0].Name, "read", true)
	}
	group.Wait()
	unanswered, late, total := 0, 0, 0
	for _, a := range answers {
		if a.Sent.Before(stalledAt) {
			continue
		}
		total++
		if took := a.Done.Sub(a.Sent); took >= logTimeout {
			unanswered++
			if a.Code == 0 && took >= logTimeout+logLateness {
				late++
			}
		}
	}
	w.record("summary", "requests", total, "unanswered_at_the_timeout", unanswered, "unanswered_later", late, "ready_meanwhile", ready)
	if late < 8 || 2*late <= unanswered {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: of %d requests without an answer at their timeout, %d had none half a second later", unanswered, late), nil
}

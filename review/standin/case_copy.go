package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	copyVMs      = 6
	copyServices = 8                // Each has two searchers, and one client at each VM.
	copiedShare  = 0.04             // Share of a faulty searcher's answers that are sent twice.
	copyLoad     = 85 * time.Second // Duration of the traffic.
)

// playCopy sends orders to services whose two searchers are busy at times and reject
// what they have no slot for. One of them sends a second copy of a few answers, late,
// at the point where the next answer is expected. No order may run more than once.
func playCopy(w *world) (string, error) {
	var services []service
	var routes []route
	for n := range copyServices {
		name := fmt.Sprintf("orders-%d", n)
		services = append(services, service{Name: name, HealthPath: "/health", MaxConnections: 31})
		routes = append(routes, route{Name: name, Prefix: "/" + name + "/", RouteType: "unsafe", TimeoutMs: 2000, TargetLatencyMs: 200, Service: name, MaxAttempts: 1})
	}
	for i := range 2 * copyServices {
		s := &searcher{ID: fmt.Sprintf("i-orders-%d", i), Service: services[i/2].Name, Zone: fmt.Sprintf("north-%d", i%3+1), Slots: 1, Work: 25 * time.Millisecond}
		if i%2 == 0 {
			s.Extra = func(x *exchange) []byte {
				if !w.faulty() || rand.Float64() >= copiedShare {
					return nil
				}
				return x.bytes()
			}
		}
		if err := s.start(w); err != nil {
			return "", err
		}
	}
	w.putConfiguration(1, services, routes...)
	if err := w.startVMs(copyVMs); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	var mutex sync.Mutex
	codes := make(map[string]int)
	var group sync.WaitGroup
	end := time.Now().Add(copyLoad)
	for i := range copyVMs * copyServices {
		group.Go(func() {
			c := &client{world: w, vm: w.VMs[i%copyVMs]}
			for time.Now().Before(end) {
				a := c.send("POST", "/"+services[i/copyVMs].Name+"/1", "one pump", time.Second)
				mutex.Lock()
				codes[a.ID] = a.Code
				mutex.Unlock()
				time.Sleep(time.Duration(80+rand.Intn(120)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second) // For runs that are still in progress.
	twice, refused, byCode := 0, 0, make(map[int]int)
	runs := w.runsByID()
	for id, code := range codes {
		byCode[code]++
		if n := len(runs[id]); n > 1 {
			twice++
			w.record("ran_twice", "id", id, "runs", n, "code", code)
		}
		if len(runs[id]) > 0 && code == 503 {
			refused++
			w.record("refused_and_ran", "id", id)
		}
	}
	w.record("summary", "orders", len(codes), "by_code", byCode, "ran_twice", twice, "refused_and_ran", refused)
	if twice == 0 {
		return "", nil
	}
	return fmt.Sprintf("TWICE: %d of %d orders ran more than once; besides, %d were refused with 503 and ran", twice, len(codes), refused), nil
}

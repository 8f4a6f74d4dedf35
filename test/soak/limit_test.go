package soak_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	limitWindow    = 4 * time.Second
	limitNewsDelay = 500 * time.Millisecond // From a VM's reply with the limit until its requests count.
)

// limitSearcher lets a searcher of single requests limit their rate for the whole run.
func (s *soak) limitSearcher(rate int) {
	s.limited, s.limitRate = s.SearchersOf("orders")[0], rate
	s.limited.SetBehaviour(wqfakeplatform.Behaviour{Limit: strconv.Itoa(rate)})
	s.record("%s takes %d requests a second", s.limited.ID, rate)
}

// limitViolations counts the requests that reached the limited searcher from VMs without a
// fault, once they had passed on its limit.
func (s *soak) limitViolations() []string {
	replies := s.Replies()
	told := make(map[string]time.Time)
	for _, r := range replies {
		at := r.SentAt.Add(r.Latency)
		if first, ok := told[r.VM]; r.PassedOn(s.limited) && (!ok || at.Before(first)) {
			told[r.VM] = at
		}
	}
	for _, vm := range s.VMs {
		if _, faulty := s.healthyFrom[vm]; faulty {
			delete(told, vm.Name)
		}
	}
	var counted []time.Time
	for _, a := range s.limited.Arrivals() {
		if at, ok := told[replies[a.RequestID].VM]; ok && a.At.Sub(at) >= limitNewsDelay {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	first, bound := 0, 1.5*limitWindow.Seconds()*float64(s.limitRate)+5
	for i, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > bound {
			return []string{fmt.Sprintf("%s got %d requests in %s, %v are allowed", s.limited.ID, n, limitWindow, bound)}
		}
	}
	return nil
}

package soak_test

import "time"

// restoreStore brings the store back from a copy after an outage. What the operators and
// the searchers wrote since is written again after the delay.
func (s *soak) restoreStore(outage, delay time.Duration) {
	s.setFaulty(s.Store, true)
	s.Store.SetHanging(false)
	s.Store.SetDown(true)
	time.Sleep(outage)
	s.Store.Restore(s.copy)
	s.Store.SetDown(false)
	time.Sleep(delay)
	s.Store.WriteAgain()
	s.setFaulty(s.Store, false)
	s.record("the store is back from a copy, after an outage of %s; written again %s later", outage, delay)
}

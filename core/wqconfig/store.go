package wqconfig

import "time"

// maxBackoffDoublings bounds how often the delay between two attempts doubles.
const maxBackoffDoublings = 8

// storeState is the state of this VM's calls to the store, of which at most one
// is in flight.
type storeState struct {
	keyRevision      uint64 // keyRevision is the highest revision of the store's key observed so far.
	inFlight         bool
	linearizable     bool // linearizable is true while a linearizable read is in flight.
	fullRead         bool // fullRead is true while a read, not a watch, is in flight.
	reachable        bool
	firstCallDelayed bool // firstCallDelayed is true once the random delay of the first call has been set.
	failures         int
	nextCallAt       time.Time // nextCallAt is the earliest start of the next call.
	nextReadAt       time.Time // nextReadAt is when a watcher next reads the value.
}

// onStoreCallSucceeded applies the result of a read or a watch. A lower revision
// than the one in force is ignored.
func (s *Syncer[P]) onStoreCallSucceeded(v StoreCallSucceeded) {
	st := &s.store
	provenLatest := st.linearizable && v.History != nil
	nothingFound := s.history == nil && v.History == nil
	if st.fullRead {
		st.nextReadAt = s.now.Add(s.withJitter(s.readInterval(v.Bytes)))
	}
	st.inFlight, st.linearizable, st.fullRead = false, false, false
	st.reachable = true
	st.nextCallAt = s.now.Add(s.withJitter(s.Timing.MinCallInterval))
	st.keyRevision = max(st.keyRevision, v.Revision)
	if nothingFound {
		st.nextCallAt = s.now.Add(s.backoff())
		return
	}
	st.failures = 0
	s.considerHistory(v.History)
	if provenLatest && s.candidate.Revision() == v.History.Revision() {
		s.candidateIsLatest = true
	}
}

func (s *Syncer[P]) onStoreCallFailed() {
	st := &s.store
	st.inFlight, st.linearizable, st.fullRead = false, false, false
	st.reachable = false
	st.nextCallAt = s.now.Add(s.backoff())
}

// backoff counts a failed or empty call and returns the delay before the next
// one.
func (s *Syncer[P]) backoff() time.Duration {
	s.store.failures++
	delay := s.Timing.RetryDelay << min(s.store.failures-1, maxBackoffDoublings)
	return s.withJitter(min(delay, s.Timing.MaxBackoff)) + s.startupDelay()
}

// startupDelay returns a random delay that grows with the fleet, 0 once there is a
// configuration. It spreads the store calls of a fleet that starts at once; the
// VMs that call later usually get the configuration from the first one.
func (s *Syncer[P]) startupDelay() time.Duration {
	if s.history != nil {
		return 0
	}
	return time.Duration(s.Random.Int64N(int64(len(s.peers)+1) * int64(s.Timing.FleetCallInterval)))
}

// delayFirstCall delays the first call to the store by startupDelay. It reports
// whether the call must wait.
func (s *Syncer[P]) delayFirstCall() bool {
	if s.store.firstCallDelayed {
		return false
	}
	s.store.firstCallDelayed = true
	s.store.nextCallAt = s.now.Add(s.startupDelay())
	return s.store.nextCallAt.After(s.now)
}

// readInterval returns the time from one read of a value of this size to the next.
func (s *Syncer[P]) readInterval(bytes int) time.Duration {
	rateInterval := time.Duration(float64(bytes) / s.Timing.MaxReadRate * float64(time.Second))
	return max(s.Timing.MinReadInterval, rateInterval)
}

// callStore starts the next call to the store if one is due.
func (s *Syncer[P]) callStore() {
	st := &s.store
	if st.inFlight || s.now.Before(st.nextCallAt) {
		return
	}
	switch {
	case s.history == nil && s.delayFirstCall():
		return
	case s.history == nil:
		st.linearizable, st.fullRead = true, true
		s.pendingActions = append(s.pendingActions, ReadStore{Linearizable: true})
	case s.noPeerAvailable() || s.watchesStore && !s.now.Before(st.nextReadAt):
		st.fullRead = true
		s.pendingActions = append(s.pendingActions, ReadStore{})
	case s.watchesStore:
		s.pendingActions = append(s.pendingActions, WatchStore{AfterRevision: st.keyRevision, MaxWait: s.Timing.WatchTimeout})
	default:
		return
	}
	st.inFlight = true
}

// noPeerAvailable reports whether this VM is behind, no fetch is in flight and
// none can start now.
func (s *Syncer[P]) noPeerAvailable() bool {
	if !s.mayBeBehind() {
		return false
	}
	for _, p := range s.peers {
		if p.fetching || s.worthFetching(p) && !p.nextFetchAt.After(s.now) {
			return false
		}
	}
	return true
}

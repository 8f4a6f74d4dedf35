package wqconfig

import "time"

// maxDoublings bounds how often the time between two tries is doubled.
const maxDoublings = 8

// storeState is this VM's side of the store. At most one call is on its way.
type storeState struct {
	revision  uint64 // revision is the highest of the key that was seen.
	busy      bool
	proving   bool // proving is true while the call on its way proves its answer.
	reading   bool // reading is true while the call on its way is no watch.
	reachable bool
	spread    bool // spread is true once the first call was put off by chance.
	failures  int
	nextAt    time.Time // nextAt is the earliest time of the next call.
	readAt    time.Time // readAt is when a watcher reads the whole value again.
}

// storeAnswered takes in the store's answer. Answers from the past change
// nothing.
func (m *Syncer[P]) storeAnswered(v StoreCallSucceeded) {
	s := &m.store
	proved := s.proving && v.History != nil
	first := m.history == nil && v.History == nil
	if s.reading {
		s.readAt = m.now.Add(m.jitter(m.readPeriod(v.Bytes)))
	}
	s.busy, s.proving, s.reading = false, false, false
	s.reachable = true
	s.nextAt = m.now.Add(m.jitter(m.Timing.MinCallInterval))
	s.revision = max(s.revision, v.Revision)
	if first {
		s.nextAt = m.now.Add(m.backoff())
		return
	}
	s.failures = 0
	m.offer(v.History)
	if proved && m.offered.Revision() == v.History.Revision() {
		m.proved = true
	}
}

func (m *Syncer[P]) storeFailed() {
	s := &m.store
	s.busy, s.proving, s.reading = false, false, false
	s.reachable = false
	s.nextAt = m.now.Add(m.backoff())
}

// backoff returns the time until the store is asked again after one more call
// that brought nothing.
func (m *Syncer[P]) backoff() time.Duration {
	m.store.failures++
	doubled := m.Timing.RetryDelay << min(m.store.failures-1, maxDoublings)
	return m.jitter(min(doubled, m.Timing.MaxBackoff)) + m.turn()
}

// turn returns a time by chance, so that VMs that have no configuration do not
// all call the store at once; the first one to get it tells the others.
func (m *Syncer[P]) turn() time.Duration {
	if m.history != nil {
		return 0
	}
	return time.Duration(m.Random.Int64N(int64(len(m.peers)+1) * int64(m.Timing.FleetCallInterval)))
}

// putOff delays the first call to the store by its turn, and reports whether
// the call has to wait.
func (m *Syncer[P]) putOff() bool {
	if m.store.spread {
		return false
	}
	m.store.spread = true
	m.store.nextAt = m.now.Add(m.turn())
	return m.store.nextAt.After(m.now)
}

// readPeriod returns the time between two reads of a value of this size.
func (m *Syncer[P]) readPeriod(bytes int) time.Duration {
	atRate := time.Duration(float64(bytes) / m.Timing.MaxReadRate * float64(time.Second))
	return max(m.Timing.MinReadInterval, atRate)
}

// callStore starts the next call to the store when one is due.
func (m *Syncer[P]) callStore() {
	s := &m.store
	if s.busy || m.now.Before(s.nextAt) {
		return
	}
	switch {
	case m.history == nil && m.putOff():
		return
	case m.history == nil:
		s.proving, s.reading = true, true
		m.outbox = append(m.outbox, ReadStore{Linearizable: true})
	case m.stuck() || m.watching && !m.now.Before(s.readAt):
		s.reading = true
		m.outbox = append(m.outbox, ReadStore{})
	case m.watching:
		m.outbox = append(m.outbox, WatchStore{AfterRevision: s.revision, MaxWait: m.Timing.WatchTimeout})
	default:
		return
	}
	s.busy = true
}

// stuck reports whether a higher revision is known but no peer can be asked
// for it now.
func (m *Syncer[P]) stuck() bool {
	if !m.behind() {
		return false
	}
	for _, p := range m.peers {
		if p.fetching || m.useful(p) && !p.retryAt.After(m.now) {
			return false
		}
	}
	return true
}

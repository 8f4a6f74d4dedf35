package wqholder

import (
	"sync"
	"time"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqsendqueue"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

// cancelLag is how long a searcher may take to notice that a request was given
// up.
const cancelLag = 100 * time.Millisecond

// reportEvery spaces the reports of a searcher that bring no news.
const reportEvery = 250 * time.Millisecond

// lane shares one searcher's wqsendqueue.Queue among goroutines.
type lane[P wqlimit.Policy] struct {
	mu       sync.Mutex
	state    *wqsendqueue.Queue[*task, P]
	searcher *wqtopology.Searcher
	share    wqview.Holder
	batch    int
	timer    *time.Timer // timer wakes the lane to refuse queued tasks in time.
	expire   func()
	reported wqobservation.Observation
	stale    bool // stale makes the next share count as changed.
}

func newLane[P wqlimit.Policy](policy P, queueLength int) *lane[P] {
	return &lane[P]{state: wqsendqueue.New[*task](policy, queueLength)}
}

// toWarm returns how many connections to keep open: those of the share's slots
// and spares, since a cancelled request closes its connection, and a holder
// without any would not notice a restart of the searcher.
func (l *lane[P]) toWarm() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.share.Slots+spareConnections, l.share.Connections)
}

// unset makes the next setShare count as a change.
func (l *lane[P]) unset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = true
}

func (l *lane[P]) hint(now time.Time, incarnation string, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.HealthReported(now, incarnation, cold)
}

// setShare adopts this VM's present rights and reports whether they changed.
func (l *lane[P]) setShare(s *wqtopology.Searcher, share wqview.Holder, batch int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stale && l.searcher == s && l.share == share && l.batch == batch {
		return false
	}
	l.searcher, l.share, l.batch = s, share, batch
	l.stale = false
	slots := min(share.Slots, share.Connections)
	l.state.SetShare(slots, share.ColdSlots, time.Duration(s.WarmMillis)*time.Millisecond, batch)
	return true
}

// doubt suspects a restart after a probe that ended with a lost connection.
func (l *lane[P]) doubt(status wqobservation.Status) {
	if status == wqobservation.Unreachable || status == wqobservation.Broken {
		l.suspect()
	}
}

func (l *lane[P]) suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.ConnectionLost()
}

// offer queues a task and returns what to send and refuse now.
func (l *lane[P]) offer(now time.Time, t *task) (accepted bool, send, refuse []*task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Offer(now, wqsendqueue.Job[*task]{Item: t, Deadline: t.deadline, Unbatched: t.write != nil}) {
		return false, nil, nil
	}
	send, refuse = l.next(now)
	return true, send, refuse
}

// done gives a slot back and returns what to send and refuse now.
func (l *lane[P]) done(now time.Time, o wqsendqueue.Outcome) (send, refuse []*task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Done(now, o)
	return l.next(now)
}

// linger keeps the slot of a request that was given up until the searcher has
// noticed, since one in cold start falls over under another request meanwhile.
func (l *lane[P]) linger(e ending) {
	if e.status == wqobservation.Expired && e.sent && l.cold() {
		time.Sleep(cancelLag)
	}
}

func (l *lane[P]) cold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Cold()
}

// cancel gives an unused slot back and returns what to send and refuse now.
func (l *lane[P]) cancel(now time.Time) (send, refuse []*task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Cancel()
	return l.next(now)
}

// wake returns what to send and refuse now.
func (l *lane[P]) wake(now time.Time) (send, refuse []*task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next(now)
}

func (l *lane[P]) next(now time.Time) (send, refuse []*task) {
	send, refuse = l.state.NextBatch(now)
	at, queued := l.state.NextRefusalTime()
	if queued {
		l.wakeAt(now, at)
	}
	return send, refuse
}

func (l *lane[P]) wakeAt(now, at time.Time) {
	if l.timer == nil {
		l.timer = time.AfterFunc(at.Sub(now), l.expire)
		return
	}
	l.timer.Reset(at.Sub(now))
}

func (l *lane[P]) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
}

// idle reports whether nothing is queued or in flight.
func (l *lane[P]) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Queued() == 0 && l.state.InFlight() == 0
}

// isNews reports whether r differs from the last report in more than its
// latency, or comes long after it; then r becomes the last.
func (l *lane[P]) isNews(r wqobservation.Observation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.reported
	recent := r.ObservedAt.Sub(last.ObservedAt) < reportEvery
	last.ObservedAt, last.Latency = r.ObservedAt, r.Latency
	if recent && last == r {
		return false
	}
	l.reported = r
	return true
}

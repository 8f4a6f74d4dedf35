// Package wqcatchup decides when a VM asks a peer for what it lacks, and which one.
//
// News travel as numbers with the heartbeats of neighbours. A peer of the own
// availability zone is asked at once, one of another zone only when none of the
// own has the news soon after: bytes between zones cost money. One question is
// out at a time, since a second one would bring the same items again.
//
// # Usage
//
// One goroutine owns a Lag. It passes on what peers say and asks when that is due:
//
//	l := &wqcatchup.Scheduler{Zone: "a"}
//	l.Heard(now, peer, asOf)
//	if peer, ok := l.Ask(now, asOf, readsStore); ok { ... fetch from the peer ... }
//	next := l.Due(now, asOf, readsStore)
package wqcatchup

import (
	"maps"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtime"
)

const (
	// storePatience is how long the store is given to tell a VM itself what a peer
	// knows already: a watch and the rest after it.
	storePatience = 500 * time.Millisecond
	// startPatience is the same for a VM that knows nothing yet and serves nobody:
	// the store's answers take 4 ms, the first one 50 ms on a busy VM.
	startPatience = 100 * time.Millisecond
	// farPatience is how long peers of the own zone are given: news pass from VM to
	// VM in a few messages, and floods are 250 ms apart at least.
	farPatience = 300 * time.Millisecond
	// farStart is the same for a VM that knows nothing yet: a call within the zone
	// takes milliseconds.
	farStart = 30 * time.Millisecond
	// answerTime is how long a question may stay unanswered before another is sent.
	answerTime = 400 * time.Millisecond
	// askRest is the least time between two questions, so that changes that come
	// one by one are fetched together; they are due within seconds.
	askRest = 150 * time.Millisecond
)

// Scheduler is what is known of the peers that are ahead. Set Zone before the first call.
type Scheduler struct {
	Zone string // Zone is this VM's own.

	near     side
	far      side
	asOf     uint64    // asOf is the revision that this VM knew at the last call.
	movedAt  time.Time // movedAt is when that last grew.
	askedAt  time.Time // askedAt is when a peer was asked last; zero is never.
	askedFor uint64    // askedFor is the revision that this VM knew then.
}

// side holds the peers that are ahead in the own zone, or in all others.
type side struct {
	ahead map[string]*lead // ahead are by id.
	since time.Time        // since is when some peer was first heard to be ahead.
}

// lead is one peer that is ahead.
type lead struct {
	member  wqmember.Member
	askedAt time.Time // askedAt is when it was asked and has not answered since; zero is not.
}

// ObservePeer notes what a peer knows. AsOf is the revision that this VM knows.
func (l *Scheduler) ObservePeer(now time.Time, from wqmember.Member, asOf uint64) {
	l.move(now, asOf)
	if from.Revision <= asOf {
		return
	}
	s := &l.far
	if from.Zone == l.Zone {
		s = &l.near
	}
	if len(s.ahead) == 0 {
		s.ahead, s.since = make(map[string]*lead), now
	}
	if known := s.ahead[from.ID]; known == nil {
		s.ahead[from.ID] = &lead{member: from}
	} else if from.Revision >= known.member.Revision {
		known.member = from
	}
}

// move notes what this VM knows now, and forgets the peers that know no more.
func (l *Scheduler) move(now time.Time, asOf uint64) {
	if asOf == l.asOf {
		return
	}
	l.asOf, l.movedAt = asOf, now
	for _, s := range []*side{&l.near, &l.far} {
		maps.DeleteFunc(s.ahead, func(_ string, p *lead) bool { return p.member.Revision <= asOf })
	}
}

// StartFetch returns the peer to ask now, if one is due, and notes that it is asked.
// Reads is true when this VM reads the store itself.
func (l *Scheduler) StartFetch(now time.Time, asOf uint64, reads bool) (wqmember.Member, bool) {
	due := l.NextFetchAt(now, asOf, reads)
	if due.IsZero() || now.Before(due) {
		return wqmember.Member{}, false
	}
	chosen := l.choose(now, reads)
	chosen.askedAt = now
	l.askedAt, l.askedFor = now, asOf
	return chosen.member, true
}

// choose prefers the own zone, unless its peers have failed to answer.
func (l *Scheduler) choose(now time.Time, reads bool) *lead {
	near, far := l.near.best(), l.far.best()
	switch {
	case near == nil || now.Before(l.wait(&l.near, reads)):
		return far
	case far == nil || !far.before(near):
		return near
	}
	return far
}

// best returns the peer to ask first, nil when none is ahead.
func (s *side) best() *lead {
	var best *lead
	for _, p := range s.ahead {
		if best == nil || p.before(best) || !best.before(p) && p.member.Revision > best.member.Revision {
			best = p
		}
	}
	return best
}

// before reports whether one peer was not asked for longer than another one.
func (p *lead) before(o *lead) bool { return p.askedAt.Before(o.askedAt) }

// NextFetchAt returns when a peer is to be asked; zero when none is ahead.
func (l *Scheduler) NextFetchAt(now time.Time, asOf uint64, reads bool) time.Time {
	l.move(now, asOf)
	due := l.wait(&l.near, reads)
	if far := l.wait(&l.far, reads); due.IsZero() || !far.IsZero() && far.Before(due) {
		due = far
	}
	if due.IsZero() || l.askedAt.IsZero() {
		return due
	}
	if l.unanswered() {
		return wqtime.Later(due, l.askedAt.Add(answerTime))
	}
	return wqtime.Later(due, l.askedAt.Add(askRest))
}

// unanswered reports whether nothing was learned since the last question.
func (l *Scheduler) unanswered() bool { return !l.askedAt.IsZero() && l.askedFor == l.asOf }

// wait returns from when on the peers of one side may be asked; zero when none is
// ahead.
func (l *Scheduler) wait(s *side, reads bool) time.Time {
	if len(s.ahead) == 0 {
		return time.Time{}
	}
	patience := time.Duration(0)
	switch {
	case reads && l.asOf == 0:
		patience = startPatience
	case reads:
		patience = storePatience
	case s == &l.far && l.asOf == 0:
		patience = farStart
	case s == &l.far:
		patience = farPatience
	}
	return wqtime.Later(s.since, l.movedAt).Add(patience)
}

// Package wqlag decides when a VM asks a peer for what it lacks, and which one.
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
//	l := &wqlag.Lag{Zone: "a"}
//	l.Heard(now, peer, asOf)
//	if peer, ok := l.Ask(now, asOf, readsStore); ok { ... fetch from the peer ... }
//	next := l.Due(now, asOf, readsStore)
package wqlag

import (
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmoment"
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

// Lag is what is known of the peers that are ahead. Set Zone before the first call.
type Lag struct {
	Zone string // Zone is this VM's own.

	near     lead
	far      lead
	asOf     uint64    // asOf is the revision that this VM knew at the last call.
	movedAt  time.Time // movedAt is when that last grew.
	askedAt  time.Time // askedAt is when a peer was asked last; zero is never.
	askedFor uint64    // askedFor is the revision that this VM knew then.
	askedID  string
}

// lead is the peer that is furthest ahead.
type lead struct {
	member wqmember.Member
	since  time.Time // since is when some peer was first heard to be ahead.
}

// Heard notes what a peer knows. AsOf is the revision that this VM knows.
func (l *Lag) Heard(now time.Time, from wqmember.Member, asOf uint64) {
	l.move(now, asOf)
	if from.Revision <= asOf {
		return
	}
	side := &l.far
	if from.Zone == l.Zone {
		side = &l.near
	}
	if side.member.Revision <= asOf {
		side.since = now
	}
	if from.Revision >= side.member.Revision {
		side.member = from
	}
}

func (l *Lag) move(now time.Time, asOf uint64) {
	if asOf != l.asOf {
		l.asOf, l.movedAt = asOf, now
	}
}

// Ask returns the peer to ask now, if one is due, and notes that it is asked.
// Reads is true when this VM reads the store itself.
func (l *Lag) Ask(now time.Time, asOf uint64, reads bool) (wqmember.Member, bool) {
	due := l.Due(now, asOf, reads)
	if due.IsZero() || now.Before(due) {
		return wqmember.Member{}, false
	}
	chosen := l.choose(now, reads)
	l.askedAt, l.askedFor, l.askedID = now, asOf, chosen.ID
	return chosen, true
}

// choose prefers the own zone, unless its peer has just failed to answer.
func (l *Lag) choose(now time.Time, reads bool) wqmember.Member {
	near, far := l.wait(&l.near, reads), l.wait(&l.far, reads)
	failed := l.unanswered() && l.askedID == l.near.member.ID
	if !near.IsZero() && !now.Before(near) && (far.IsZero() || !failed) {
		return l.near.member
	}
	if !far.IsZero() {
		return l.far.member
	}
	return l.near.member
}

// Due returns when a peer is to be asked; zero when none is ahead.
func (l *Lag) Due(now time.Time, asOf uint64, reads bool) time.Time {
	l.move(now, asOf)
	due := l.wait(&l.near, reads)
	if far := l.wait(&l.far, reads); due.IsZero() || !far.IsZero() && far.Before(due) {
		due = far
	}
	if due.IsZero() || l.askedAt.IsZero() {
		return due
	}
	if l.unanswered() {
		return wqmoment.Later(due, l.askedAt.Add(answerTime))
	}
	return wqmoment.Later(due, l.askedAt.Add(askRest))
}

// unanswered reports whether nothing was learned since the last question.
func (l *Lag) unanswered() bool { return !l.askedAt.IsZero() && l.askedFor == l.asOf }

// wait returns from when on the peer of one side may be asked; zero when it is not
// ahead.
func (l *Lag) wait(side *lead, reads bool) time.Time {
	if side.member.Revision <= l.asOf {
		return time.Time{}
	}
	patience := time.Duration(0)
	switch {
	case reads && l.asOf == 0:
		patience = startPatience
	case reads:
		patience = storePatience
	case side == &l.far && l.asOf == 0:
		patience = farStart
	case side == &l.far:
		patience = farPatience
	}
	return wqmoment.Later(side.since, l.movedAt).Add(patience)
}

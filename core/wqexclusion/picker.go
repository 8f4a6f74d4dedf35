// Package wqexclusion leaves out of the choice of a searcher those that want no
// requests: what they have reported about themselves binds each send.
//
// # Usage
//
// A Picker wraps the policy that chooses:
//
//	picker := wqexclusion.Picker[wqselector.LeastLatency]{Inner: leastLatency, Statements: tracker}
//	target := picker.Pick(now, targets, tried, meanLatency, random)
package wqexclusion

import (
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqstatement"
)

// Picker is a wqgather.Picker that lets Inner choose among the searchers that may be
// sent requests. A searcher that is leaving is chosen only if Inner chooses no other.
type Picker[P wqgather.Picker] struct {
	Inner      P
	Statements *wqstatement.Tracker
}

// Pick returns a target that may be sent requests and whose searcher id is not in
// tried, nil if there is none.
func (p Picker[P]) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, meanLatency time.Duration, random uint64) *wqdirectory.Target {
	serving, leaving := p.Statements.Split(now, targets)
	t := p.Inner.Pick(now, serving, tried, meanLatency, random)
	if t == nil && len(leaving) > 0 {
		t = p.Inner.Pick(now, leaving, tried, meanLatency, random)
	}
	return t
}

// Unresponsive reports whether no answer of the searcher can be expected.
func (p Picker[P]) Unresponsive(now time.Time, searcherID string) bool {
	return p.Inner.Unresponsive(now, searcherID)
}

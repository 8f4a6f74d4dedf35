package wqcatchup_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcatchup"
	"wisteriaquay/core/wqmember"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func peer(id, zone string, revision uint64) wqmember.Member {
	return wqmember.Member{ID: id, Zone: zone, Revision: revision}
}

// asks returns whom a VM that knows asOf asks at some moment, empty for nobody.
func asks(l *wqcatchup.Scheduler, ms int, asOf uint64) string {
	m, _ := l.StartFetch(at(ms), asOf, false)
	return m.ID
}

func TestPeerOfTheOwnZoneIsAskedAtOnce(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("far", "b", 7), 5)
	must.Eq(t, "", asks(l, 0, 5))
	l.ObservePeer(at(20), peer("near", "a", 7), 5)
	must.Eq(t, "near", asks(l, 20, 5))
	must.Eq(t, "", asks(l, 40, 7), must.Sprint("nothing is missing any more"))
	must.True(t, l.NextFetchAt(at(40), 7, false).IsZero())
}

func TestPeerOfAnotherZoneIsAskedWhenNoneOfTheOwnHasTheNews(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("far", "b", 7), 5)
	must.Eq(t, at(300), l.NextFetchAt(at(0), 5, false))
	must.Eq(t, "", asks(l, 299, 5))
	must.Eq(t, "far", asks(l, 300, 5))
}

func TestOneQuestionIsOutAtATime(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("x", "a", 7), 5)
	must.Eq(t, "x", asks(l, 0, 5))
	l.ObservePeer(at(10), peer("y", "a", 8), 5)
	must.Eq(t, "", asks(l, 10, 5), must.Sprint("the answer may still come"))
	must.Eq(t, "", asks(l, 20, 7), must.Sprint("it came; what is new since is fetched after a rest"))
	must.Eq(t, at(150), l.NextFetchAt(at(20), 7, false))
	must.Eq(t, "y", asks(l, 150, 7))
}

func TestPeerThatDoesNotAnswerIsFollowedByAnother(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("near", "a", 7), 5)
	l.ObservePeer(at(0), peer("far", "b", 7), 5)
	must.Eq(t, "near", asks(l, 0, 5))
	must.Eq(t, at(400), l.NextFetchAt(at(10), 5, false))
	must.Eq(t, "far", asks(l, 400, 5))
	must.Eq(t, "near", asks(l, 800, 5))
}

func TestOnlyPeerThatDoesNotAnswerIsAskedAgain(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("near", "a", 7), 5)
	must.Eq(t, "near", asks(l, 0, 5))
	must.Eq(t, "", asks(l, 399, 5))
	must.Eq(t, "near", asks(l, 400, 5))
}

func TestVMThatReadsTheStoreGivesItTime(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("near", "a", 7), 5)
	_, ok := l.StartFetch(at(0), 5, true)
	must.False(t, ok)
	l.ObservePeer(at(400), peer("near", "a", 9), 7) // The store told it up to 7.
	_, ok = l.StartFetch(at(500), 7, true)
	must.False(t, ok)
	m, ok := l.StartFetch(at(900), 7, true)
	must.True(t, ok)
	must.Eq(t, "near", m.ID)
}

func TestVMThatKnowsNothingSoonAsksAnyPeer(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("far", "b", 7), 0)
	must.Eq(t, at(100), l.NextFetchAt(at(0), 0, true))
	must.Eq(t, at(30), l.NextFetchAt(at(0), 0, false))
	must.Eq(t, "far", asks(l, 30, 0))
}

func TestPeerThatIsLessAheadIsAskedWhenTheFurthestDoesNotAnswer(t *testing.T) {
	l := &wqcatchup.Scheduler{Zone: "a"}
	l.ObservePeer(at(0), peer("dead", "a", 9), 5)
	l.ObservePeer(at(10), peer("live", "a", 8), 5)
	must.Eq(t, "dead", asks(l, 10, 5))
	must.Eq(t, "live", asks(l, 410, 5))
	must.Eq(t, "dead", asks(l, 810, 8), must.Sprint("only this one has more"))
	l.ObservePeer(at(820), peer("other", "b", 9), 8)
	must.Eq(t, "other", asks(l, 1210, 8))
}

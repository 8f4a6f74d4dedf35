package wqcatchup_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcatchup"
	"wisteriaquay/core/wqmember"
)

var start = time.Unix(1000, 0)

func atMillis(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func peer(id, zone string, revision uint64) wqmember.Member {
	return wqmember.Member{ID: id, Zone: zone, Revision: revision}
}

// fetchPeer returns the id of the peer that a VM at ownRevision fetches from ms
// milliseconds after start, empty for none. The VM does not read the store.
func fetchPeer(s *wqcatchup.Scheduler, ms int, ownRevision uint64) string {
	m, _ := s.StartFetch(atMillis(ms), ownRevision, false)
	return m.ID
}

func TestSameZonePeerIsFetchedFromAtOnce(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("far", "b", 7), 5)
	must.Eq(t, "", fetchPeer(s, 0, 5))
	s.ObservePeer(atMillis(20), peer("near", "a", 7), 5)
	must.Eq(t, "near", fetchPeer(s, 20, 5))
	must.Eq(t, "", fetchPeer(s, 40, 7), must.Sprint("the VM has caught up"))
	must.True(t, s.NextFetchAt(atMillis(40), 7, false).IsZero())
}

func TestOtherZonePeerIsUsedWhenNoSameZonePeerIsAhead(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("far", "b", 7), 5)
	must.Eq(t, atMillis(300), s.NextFetchAt(atMillis(0), 5, false))
	must.Eq(t, "", fetchPeer(s, 299, 5))
	must.Eq(t, "far", fetchPeer(s, 300, 5))
}

func TestOneFetchIsInFlightAtATime(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("x", "a", 7), 5)
	must.Eq(t, "x", fetchPeer(s, 0, 5))
	s.ObservePeer(atMillis(10), peer("y", "a", 8), 5)
	must.Eq(t, "", fetchPeer(s, 10, 5), must.Sprint("the first fetch is still in flight"))
	must.Eq(t, "", fetchPeer(s, 20, 7), must.Sprint("the fetch ended; the next one waits for minFetchInterval"))
	must.Eq(t, atMillis(150), s.NextFetchAt(atMillis(20), 7, false))
	must.Eq(t, "y", fetchPeer(s, 150, 7))
}

func TestTimedOutFetchFailsOverToAnotherPeer(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("near", "a", 7), 5)
	s.ObservePeer(atMillis(0), peer("far", "b", 7), 5)
	must.Eq(t, "near", fetchPeer(s, 0, 5))
	must.Eq(t, atMillis(400), s.NextFetchAt(atMillis(10), 5, false))
	must.Eq(t, "far", fetchPeer(s, 400, 5))
	must.Eq(t, "near", fetchPeer(s, 800, 5))
}

func TestTimedOutFetchIsRetriedOnTheOnlyPeer(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("near", "a", 7), 5)
	must.Eq(t, "near", fetchPeer(s, 0, 5))
	must.Eq(t, "", fetchPeer(s, 399, 5))
	must.Eq(t, "near", fetchPeer(s, 400, 5))
}

func TestStoreReaderPrefersTheStoreForAGracePeriod(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("near", "a", 7), 5)
	_, ok := s.StartFetch(atMillis(0), 5, true)
	must.False(t, ok)
	s.ObservePeer(atMillis(400), peer("near", "a", 9), 7) // The store delivered revision 7.
	_, ok = s.StartFetch(atMillis(500), 7, true)
	must.False(t, ok)
	m, ok := s.StartFetch(atMillis(900), 7, true)
	must.True(t, ok)
	must.Eq(t, "near", m.ID)
}

func TestEmptyVMFetchesAfterShorterDelays(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("far", "b", 7), 0)
	must.Eq(t, atMillis(100), s.NextFetchAt(atMillis(0), 0, true))
	must.Eq(t, atMillis(30), s.NextFetchAt(atMillis(0), 0, false))
	must.Eq(t, "far", fetchPeer(s, 30, 0))
}

func TestPeerWithLowerRevisionIsUsedWhenTheHighestTimesOut(t *testing.T) {
	s := &wqcatchup.Scheduler{Zone: "a"}
	s.ObservePeer(atMillis(0), peer("dead", "a", 9), 5)
	s.ObservePeer(atMillis(10), peer("live", "a", 8), 5)
	must.Eq(t, "dead", fetchPeer(s, 10, 5))
	must.Eq(t, "live", fetchPeer(s, 410, 5))
	must.Eq(t, "dead", fetchPeer(s, 810, 8), must.Sprint("only this peer has a higher revision"))
	s.ObservePeer(atMillis(820), peer("other", "b", 9), 8)
	must.Eq(t, "other", fetchPeer(s, 1210, 8))
}

package wqconfig_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // A seed on the command line overrides this one.
	os.Exit(m.Run())
}

type syncer = wqconfig.Syncer[wqconfig.WatchersPerZone]

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// histories returns the histories of revisions 0 to lastRevision, by revision.
func histories(lastRevision int) []*wqhistory.History {
	all := []*wqhistory.History{nil}
	note := &wqnote.Note{ID: "first", Added: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "a", Region: "r"}}}}
	for i := 1; i <= lastRevision; i++ {
		h, err := all[i-1].ApplyNote(note)
		if err != nil {
			panic(err)
		}
		all = append(all, h)
		note = wqnote.ZoneOut(fmt.Sprintf("n%d", i), "a")
	}
	return all
}

func member(id string, revision uint64) wqmember.Member {
	return wqmember.Member{ID: id, Zone: "a", Revision: revision}
}

func newSyncer(id string, members ...wqmember.Member) *syncer {
	s := &syncer{
		Self: member(id, 0), Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(),
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	s.Start(start)
	s.SetMembers(start, members)
	return s
}

func TestStartDuringStoreOutageWaitsForQuorum(t *testing.T) {
	all := histories(9)
	s := newSyncer("new", member("one", 8), member("two", 9), member("three", 9))
	actions := s.Tick(start)
	must.Eq(t, []wqconfig.Action{
		wqconfig.Fetch{Peer: member("two", 9)}, wqconfig.Fetch{Peer: member("three", 9)},
	}, sortFetches(actions))
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "three", Update: all[9].UpdateSince(0)})
	must.SliceEmpty(t, withoutFetches(s.Tick(start)))
	must.Nil(t, s.History(), must.Sprint("one answer is no quorum"))
	s.Handle(start, wqconfig.FetchFailed{Peer: "two"})
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "one", Update: all[8].UpdateSince(0)})
	must.SliceContains(t, s.Tick(start), wqconfig.Action(wqconfig.Announce{Revision: 9}))
	must.Eq(t, 9, s.History().Revision())
}

func TestStartNeverAdoptsLowerRevisionThanALivePeerReports(t *testing.T) {
	all := histories(9)
	s := newSyncer("new", member("one", 7), member("two", 7), member("ahead", 9))
	s.Tick(start)
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "one", Update: all[7].UpdateSince(0)})
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "two", Update: all[7].UpdateSince(0)})
	s.Handle(start, wqconfig.FetchFailed{Peer: "ahead"})
	s.Tick(start)
	must.Nil(t, s.History())
	ahead := member("ahead", 9)
	ahead.State = wqmember.Dead
	s.SetMembers(start, []wqmember.Member{member("one", 7), member("two", 7), ahead})
	s.Tick(start)
	must.Eq(t, 7, s.History().Revision(), must.Sprint("the only peer at revision 9 is dead"))
}

func TestStartWithoutPeersNeedsLinearizableRead(t *testing.T) {
	all := histories(5)
	s := newSyncer("new")
	must.SliceEmpty(t, s.Tick(start))
	s.Tick(start.Add(time.Second))
	now := start.Add(2 * time.Second)
	must.Eq(t, []wqconfig.Action{wqconfig.ReadStore{Linearizable: true}}, s.Tick(now))
	s.Handle(now, wqconfig.StoreCallFailed{})
	must.False(t, s.StoreReachable())
	now = now.Add(time.Second)
	must.Eq(t, []wqconfig.Action{wqconfig.ReadStore{Linearizable: true}}, s.Tick(now))
	s.Handle(now, wqconfig.StoreCallSucceeded{History: all[5], Revision: 20})
	must.Eq(t, []wqconfig.Action{wqconfig.Announce{Revision: 5}}, s.Tick(now))
}

func TestStaleStoreReadsAreIgnored(t *testing.T) {
	all := histories(5)
	s := newSyncer("vm")
	s.Handle(start, wqconfig.NoteAccepted{History: all[5], StoreRevision: 50})
	now := start.Add(time.Second)
	must.Eq(t, []wqconfig.Action{wqconfig.Announce{Revision: 5}, wqconfig.ReadStore{}}, s.Tick(now))
	s.Handle(now, wqconfig.StoreCallSucceeded{History: all[3], Revision: 30})
	must.SliceEmpty(t, s.Tick(now))
	must.Eq(t, 5, s.History().Revision())
	now = now.Add(time.Second)
	must.Eq(t, []wqconfig.Action{wqconfig.WatchStore{AfterRevision: 50, MaxWait: s.Timing.WatchTimeout}}, s.Tick(now))
}

func TestWatcherAlsoReadsPeriodically(t *testing.T) {
	all := histories(5)
	s := newSyncer("vm")
	s.Handle(start, wqconfig.NoteAccepted{History: all[4], StoreRevision: 50})
	now := start
	reads, watches := 0, 0
	for now.Before(start.Add(30 * time.Second)) {
		for _, a := range s.Tick(now) {
			switch a.(type) {
			case wqconfig.ReadStore:
				reads++
				s.Handle(now, wqconfig.StoreCallSucceeded{History: all[4], Revision: 50, Bytes: 2048})
			case wqconfig.WatchStore:
				watches++
				now = now.Add(s.Timing.WatchTimeout)
				s.Handle(now, wqconfig.StoreCallSucceeded{})
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	must.Between(t, 4, reads, 12)
	must.Between(t, 6, watches, 12)
}

func TestFailedFetchFallsBackToAnotherPeerThenToTheStore(t *testing.T) {
	all := histories(6)
	s := newSyncer("zz", member("one", 5), member("two", 5), member("three", 5))
	s.Handle(start, wqconfig.NoteAccepted{History: all[5], StoreRevision: 1})
	s.Tick(start)
	s.Handle(start, wqconfig.RevisionReported{Peer: "one", Revision: 6})
	must.Eq(t, []wqconfig.Action{wqconfig.Fetch{Peer: member("one", 6), AfterRevision: 5}}, s.Tick(start))
	s.Handle(start, wqconfig.FetchFailed{Peer: "one"})
	s.Handle(start, wqconfig.RevisionReported{Peer: "two", Revision: 6})
	must.Eq(t, []wqconfig.Action{wqconfig.Fetch{Peer: member("two", 6), AfterRevision: 5}}, s.Tick(start))
	s.Handle(start, wqconfig.FetchFailed{Peer: "two"})
	now := start.Add(s.Timing.StartupStoreDelay * 3 / 2)
	s.Handle(now, wqconfig.FetchFailed{Peer: "one"})
	s.Handle(now, wqconfig.FetchFailed{Peer: "two"})
	must.Eq(t, []wqconfig.Action{wqconfig.ReadStore{}}, s.Tick(now))
	s.Handle(now, wqconfig.StoreCallSucceeded{History: all[6], Revision: 2})
	must.Eq(t, []wqconfig.Action{wqconfig.Announce{Revision: 6}}, s.Tick(now))
}

func TestNotesThatDoNotApplyCauseAFullFetch(t *testing.T) {
	all := histories(6)
	s := newSyncer("zz", member("one", 6))
	s.Handle(start, wqconfig.NoteAccepted{History: all[5], StoreRevision: 1})
	s.Tick(start)
	s.Handle(start, wqconfig.FetchSucceeded{Peer: "one", Update: wqhistory.Update{Revision: 6, Notes: []*wqnote.Note{wqnote.ZoneOut("odd", "nowhere")}}})
	must.Eq(t, 5, s.History().Revision())
	now := start.Add(time.Second)
	must.SliceContains(t, s.Tick(now), wqconfig.Action(wqconfig.Fetch{Peer: member("one", 6), AfterRevision: 0}))
	s.Handle(now, wqconfig.FetchSucceeded{Peer: "one", Update: all[6].UpdateSince(0)})
	must.Eq(t, 6, s.History().Revision())
}

// Guards against a burst of calls when 300 VMs start at once with an empty store:
// the store calls have to be spread out, and peers that answered without a
// configuration are not fetched from again.
func TestFleetWithoutConfigurationSpreadsStoreCalls(t *testing.T) {
	const size = 300
	var all []wqmember.Member
	for i := range size {
		all = append(all, member(fmt.Sprintf("vm%d", i), 0))
	}
	calls := map[int]int{}
	fetches := 0
	random := rand.New(rand.NewPCG(9, 9))
	for i := range size {
		s := newSyncer(all[i].ID, all...)
		s.Random = random
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
			for _, a := range s.Tick(now) {
				if fetch, ok := a.(wqconfig.Fetch); ok {
					fetches++
					s.Handle(now, wqconfig.FetchSucceeded{Peer: fetch.Peer.ID})
					continue
				}
				must.Eq(t, wqconfig.Action(wqconfig.ReadStore{Linearizable: true}), a)
				calls[int(now.Sub(start)/time.Second)]++
				s.Handle(now, wqconfig.StoreCallSucceeded{})
			}
		}
	}
	t.Logf("calls of %d VMs by second: %v", size, calls)
	must.Eq(t, 2*size, fetches)
	for second, count := range calls {
		must.LessEq(t, 200, count, must.Sprintf("calls in second %d", second))
	}
}

func TestFixedNumberOfVMsWatchesPerZone(t *testing.T) {
	for _, size := range []int{1, 8, 50, 200, 920} {
		var all []wqmember.Member
		zones := min(size, 9)
		for i := range size {
			all = append(all, wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%zones)})
		}
		watchers := 0
		for _, m := range all {
			if (wqconfig.WatchersPerZone{Count: 2}).Watches(m, all) {
				watchers++
			}
		}
		must.Eq(t, min(size, 2*zones), watchers)
	}
}

// BenchmarkMembersAtTargetSize measures a change of the member list and a tick in
// a fleet of 920 VMs.
func BenchmarkMembersAtTargetSize(b *testing.B) {
	var all []wqmember.Member
	for i := range 920 {
		all = append(all, wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%9), Revision: 5})
	}
	s := newSyncer("vm0", all...)
	s.Handle(start, wqconfig.NoteAccepted{History: histories(5)[5], StoreRevision: 1})
	b.Run("members", func(b *testing.B) {
		for b.Loop() {
			s.SetMembers(start, all)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			s.Tick(start)
			s.NextTick()
		}
	})
}

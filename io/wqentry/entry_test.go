package wqentry

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqhedge"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqreplica"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
)

// fakeHolder answers sub-queries, several results per message.
type fakeHolder struct {
	hangs          func(s *wqpb.SubQuery) bool // hangs reports whether a sub-query gets no answer.
	resultsPerPart int                         // results per message; 0 is one

	newestSnapshot uint64 // 0 means snapshot 7
}

func (f *fakeHolder) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	hung := false
	p := &wqpb.FanPart{RequestId: r.GetRequestId()}
	for _, s := range r.GetSubQueries() {
		if f.hangs != nil && f.hangs(s) {
			hung = true
			continue
		}
		p.Results = append(p.Results, f.result(r, s))
		p.Rows = append(p.Rows, &wqpb.Row{Shard: s.GetShard(), Key: s.GetShard()})
		if len(p.Results) < f.resultsPerPart {
			continue
		}
		if err := send(p); err != nil {
			return err
		}
		p = &wqpb.FanPart{RequestId: r.GetRequestId()}
	}
	if err := send(p); err != nil {
		return err
	}
	if hung {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (f *fakeHolder) result(r *wqpb.FanRequest, s *wqpb.SubQuery) *wqpb.SubResult {
	answer := &wqpb.SubResult{
		Shard: s.GetShard(), Searcher: s.GetSearcher(), Status: wqpb.SubStatus_SUB_STATUS_ANSWERED,
		Snapshot: r.GetSnapshot(), Oldest: 1, Newest: cmp.Or(f.newestSnapshot, 7), Matched: 1, Sent: 1,
	}
	if r.GetSnapshot() > answer.Newest {
		answer.Status = wqpb.SubStatus_SUB_STATUS_SNAPSHOT_GONE
	}
	return answer
}

func newTestView(shards int) *wqview.View {
	t := &wqtopology.Topology{
		Revision: 1,
		Zones:    []wqtopology.Zone{{ID: "z0"}, {ID: "z1"}},
		Rules:    []wqtopology.Rule{{Tenant: "t", Class: "c", Service: "bench", TimeoutMillis: 200, Weight: 1}},
		Layouts:  []wqtopology.Layout{{Service: "bench", FirstSnapshot: 1}},
	}
	v := &wqview.View{
		Self:      wqmember.Member{ID: "m0", Zone: "z0"},
		Members:   map[string]wqmember.Member{"m0": {ID: "m0"}, "m1": {ID: "m1"}, "m2": {ID: "m2"}},
		Holders:   map[string][]wqview.Holder{},
		Snapshots: map[string]uint64{"bench": 7},
	}
	for i := range shards {
		shard := fmt.Sprintf("b%04d", i)
		t.Layouts[0].Shards = append(t.Layouts[0].Shards, shard)
		for j := range 2 {
			id := fmt.Sprintf("%s-%d", shard, j)
			t.Searchers = append(t.Searchers, wqtopology.Searcher{ID: id, Zone: t.Zones[j].ID, Service: "bench", Shard: shard, Slots: 3})
			v.Holders[id] = []wqview.Holder{{MemberID: "m0", Slots: 1}, {MemberID: "m1", Slots: 1}, {MemberID: "m2", Slots: 1}}
		}
	}
	v.Index = wqtopology.NewIndex(t)
	return v
}

type testCoordinator = Coordinator[wqreplica.TwoChoices, *wqhedge.Quantile]

func newTestCoordinator(v *wqview.View, f HolderClient) *testCoordinator {
	return &testCoordinator{
		View:           func() *wqview.View { return v },
		LocalHolder:    f,
		RemoteHolder:   func(string) HolderClient { return f },
		ReplicaPolicy:  wqreplica.TwoChoices{Stats: wqreplica.NewStats()},
		NewHedgePolicy: QuantileHedging,
	}
}

func newTestRequest() *Request {
	return &Request{RequestID: "q", Tenant: "t", Class: "c", Service: "bench"}
}

func TestQueryReturnsAllShards(t *testing.T) {
	a, err := newTestCoordinator(newTestView(20), &fakeHolder{}).Query(context.Background(), newTestRequest())
	must.NoError(t, err)
	must.Eq(t, 20, a.ShardsAnswered)
	must.Eq(t, 20, len(a.Rows))
	must.Eq(t, 20, a.SubQueriesSent)
}

func TestQueryAtDeadlineNamesMissingShards(t *testing.T) {
	f := &fakeHolder{hangs: func(s *wqpb.SubQuery) bool { return s.GetShard() == "b0003" }}
	r := newTestRequest()
	r.Timeout = 30 * time.Millisecond
	a, err := newTestCoordinator(newTestView(20), f).Query(context.Background(), r)
	must.NoError(t, err)
	must.Eq(t, 19, a.ShardsAnswered)
	must.Eq(t, "b0003", a.Missing[0].Shard)
	r.MinCoverage = 1
	_, err = newTestCoordinator(newTestView(20), f).Query(context.Background(), r)
	must.Eq(t, wqfault.Incomplete, wqfault.KindOf(err))
}

func TestRefusalsHaveAKindThatMeansNotRun(t *testing.T) {
	for want, change := range map[wqfault.Kind]func(v *wqview.View, r *Request){
		wqfault.BadInput:    func(_ *wqview.View, r *Request) { r.RequestID = "" },
		wqfault.UnknownName: func(_ *wqview.View, r *Request) { r.Tenant = "nobody" },
		wqfault.NotReady:    func(v *wqview.View, _ *Request) { v.Isolated = true },
		wqfault.Leaving:     func(v *wqview.View, _ *Request) { v.RefusesRequests = true },
	} {
		v, r := newTestView(2), newTestRequest()
		change(v, r)
		_, err := newTestCoordinator(v, &fakeHolder{}).Query(context.Background(), r)
		must.Eq(t, want, wqfault.KindOf(err))
		must.True(t, want.NotRun())
	}
}

func BenchmarkQuery(b *testing.B) {
	for _, part := range []int{1, 16} {
		for _, shards := range []int{10, 100, 1600} {
			b.Run(fmt.Sprintf("shards=%d/part=%d", shards, part), func(b *testing.B) {
				e := newTestCoordinator(newTestView(shards), &fakeHolder{resultsPerPart: part})
				r := newTestRequest()
				b.ReportAllocs()
				for b.Loop() {
					if _, err := e.Query(context.Background(), r); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
			})
		}
	}
}

// The initial limit lets 64 queries run at once. The others are queued and get an
// Overloaded fault before their deadline.
func TestQueuedQueriesAreRefusedBeforeTheirDeadline(t *testing.T) {
	release := make(chan struct{})
	e := newTestCoordinator(newTestView(2), &fakeHolder{hangs: func(*wqpb.SubQuery) bool { <-release; return false }})
	errs := make(chan error)
	for range initialConcurrency + 20 {
		go func() {
			_, err := e.Query(context.Background(), newTestRequest())
			errs <- err
		}()
	}
	for range 20 {
		must.Eq(t, wqfault.Overloaded, wqfault.KindOf(<-errs))
	}
	close(release)
	for range initialConcurrency {
		must.NoError(t, <-errs)
	}
}

// The searchers drop the snapshot that the hint names: the next query has to send
// its sub-queries again for an older snapshot, and the query after it starts with
// that snapshot.
func TestSnapshotHintIsReplacedWhenSearchersDropIt(t *testing.T) {
	v := newTestView(4)
	e := newTestCoordinator(v, &fakeHolder{newestSnapshot: 8})
	e.shared.recordCompleteSnapshot("bench", 9)
	a, err := e.Query(context.Background(), newTestRequest())
	must.NoError(t, err)
	must.Eq(t, uint64(8), a.Snapshot)
	must.Eq(t, 4, a.ShardsAnswered)
	must.Greater(t, 4, a.SubQueriesSent)
	a, err = e.Query(context.Background(), newTestRequest())
	must.NoError(t, err)
	must.Eq(t, 4, a.SubQueriesSent)
}

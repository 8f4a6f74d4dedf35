package wqholder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// instantClient answers every request without delay.
type instantClient struct{ rows []wqtarget.Row }

func (c instantClient) Search(_ context.Context, _ *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error) {
	reply := wqtarget.SearchReply{Incarnation: "a", OldestSnapshot: 5, NewestSnapshot: 7, Results: make([]wqtarget.Result, len(batch))}
	for i, q := range batch {
		reply.Results[i] = wqtarget.Result{RequestID: q.RequestID, Shard: q.Shard, Snapshot: 7, Matched: uint32(len(c.rows)), Rows: c.rows}
	}
	return reply, nil
}

func (instantClient) Write(_ context.Context, _ *wqtopology.Searcher, w wqtarget.WriteRequest) (wqtarget.WriteReply, error) {
	return wqtarget.WriteReply{RequestID: w.RequestID}, nil
}

func (instantClient) Health(context.Context, *wqtopology.Searcher) (wqtarget.Health, error) {
	return wqtarget.Health{Ready: true}, nil
}

func (instantClient) Preconnect(context.Context, *wqtopology.Searcher, int) error { return nil }
func (instantClient) SetMaxConnections(*wqtopology.Searcher, int)                 {}
func (instantClient) Disconnect(string)                                           {}

// viewWithSearchers returns a view in which VM vm-1 holds the given number of
// searchers with all their slots.
func viewWithSearchers(searchers int) *wqview.View {
	t := &wqtopology.Topology{Revision: 1, Zones: []wqtopology.Zone{{ID: "a"}}}
	v := &wqview.View{
		Self: wqmember.Member{ID: "vm-1", Zone: "a"}, ConfirmedAt: time.Now().Add(time.Hour),
		Holders: make(map[string][]wqview.Holder),
	}
	for i := range searchers {
		id := fmt.Sprintf("s-%04d", i)
		t.Searchers = append(t.Searchers, wqtopology.Searcher{ID: id, Zone: "a", Service: "bench", Shard: fmt.Sprintf("b%04d", i), Slots: 3, Connections: 30, Batch: 8})
		v.Holders[id] = []wqview.Holder{{MemberID: "vm-1", Slots: 3, Connections: 30, ColdSlots: 3}}
	}
	v.Index = wqtopology.NewIndex(t)
	return v
}

func fanRequest(v *wqview.View) *wqpb.FanRequest {
	r := &wqpb.FanRequest{
		RequestId: "q-1", Service: "bench", Snapshot: 7, Body: []byte("needle"), Limit: 100,
		RemainingMicros: uint32(time.Second.Microseconds()),
	}
	for i := range v.Index.Topology.Searchers {
		s := &v.Index.Topology.Searchers[i]
		r.SubQueries = append(r.SubQueries, &wqpb.SubQuery{Shard: s.Shard, Searcher: s.ID})
	}
	return r
}

// BenchmarkFanOut measures the holder's own cost of a sub-query. The searchers
// answer without delay with three rows.
func BenchmarkFanOut(b *testing.B) {
	for _, fanOut := range []int{10, 100, 1600} {
		b.Run(fmt.Sprintf("fan=%d", fanOut), func(b *testing.B) { benchmarkFanOut(b, fanOut) })
	}
}

func benchmarkFanOut(b *testing.B, fanOut int) {
	rows := []wqtarget.Row{{Key: "k1", Score: 0.9}, {Key: "k2", Score: 0.8}, {Key: "k3", Score: 0.7}}
	h, closeHolder := wqholder.New(instantClient{rows}, func() *wqlimit.AIMD { return &wqlimit.AIMD{} })
	defer closeHolder()
	v := viewWithSearchers(fanOut)
	h.View = func() *wqview.View { return v }
	r := fanRequest(v)
	parts, rowCount := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		err := h.FanOut(context.Background(), r, func(p *wqpb.FanPart) error {
			parts++
			rowCount += len(p.Rows)
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut), "ns/sub-query")
	b.ReportMetric(float64(parts)/float64(b.N), "parts/op")
	b.ReportMetric(float64(rowCount)/float64(b.N), "rows/op")
}

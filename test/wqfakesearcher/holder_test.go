package wqfakesearcher_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
	"wisteriaquay/test/wqfakesearcher"
)

const seed = 7

// benchSettings returns the settings of a searcher of the bench terminals'
// service, with shorter times for tests.
func benchSettings() wqfakesearcher.Settings {
	return wqfakesearcher.Settings{
		Slots: 3, Batch: 8, Connections: 30, ConnectMillis: 6, ServiceMillis: 4, BatchShare: 0.1,
		ColdSlots: 1, OldestSnapshot: 5, NewestSnapshot: 7,
	}
}

// fleet is a set of fake searchers on loopback and the topology that lists them.
type fleet struct {
	servers  []*wqfakesearcher.Server
	topology wqtopology.Topology
	views    []atomic.Pointer[wqview.View] // one for each VM
}

func startFleet(t testing.TB, shards int, settings wqfakesearcher.Settings) *fleet {
	t.Helper()
	f := &fleet{topology: wqtopology.Topology{Revision: 1, Zones: []wqtopology.Zone{{ID: "a"}, {ID: "b"}}}}
	ctx, cancel := context.WithCancel(context.Background())
	var servers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		servers.Wait()
	})
	for i := range shards {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		must.NoError(t, err)
		shard := fmt.Sprintf("b%03d", i)
		s := wqfakesearcher.New("bench-"+shard, "bench", shard, settings, seed)
		servers.Go(func() { _ = s.Serve(ctx, l) })
		f.servers = append(f.servers, s)
		f.topology.Searchers = append(f.topology.Searchers, wqtopology.Searcher{
			ID: s.ID, Address: l.Addr().String(), Zone: "a", Service: "bench", Shard: shard,
			Slots: settings.Slots, Connections: settings.Connections, Batch: settings.Batch, ColdSlots: settings.ColdSlots, WarmMillis: int(settings.WarmMillis),
		})
	}
	return f
}

// view returns the view of the VM with this ID as the only holder of every
// searcher, with the given share.
func (f *fleet) view(id string, share wqview.Holder) *wqview.View {
	share.MemberID = id
	v := &wqview.View{
		Self:        wqmember.Member{ID: id, Zone: "a"},
		ConfirmedAt: time.Now().Add(time.Hour),
		Index:       wqtopology.NewIndex(&f.topology),
		Holders:     make(map[string][]wqview.Holder),
	}
	for _, s := range f.topology.Searchers {
		v.Holders[s.ID] = []wqview.Holder{share}
	}
	return v
}

type holder = wqholder.Holder[*wqtarget.Client, *wqlimit.AIMD]

func newHolder(t testing.TB, view func() *wqview.View) *holder {
	t.Helper()
	client, closeClient := wqtarget.New()
	h, closeHolder := wqholder.New(client, func() *wqlimit.AIMD { return &wqlimit.AIMD{} })
	client.OnConnectionLost = h.ConnectionLost
	h.View = view
	t.Cleanup(func() {
		closeHolder()
		closeClient()
	})
	return h
}

func (f *fleet) request(id string, timeout time.Duration) *wqpb.FanRequest {
	r := &wqpb.FanRequest{
		RequestId: id, Service: "bench", Snapshot: 7, Body: []byte("needle"), Limit: 10,
		RemainingMicros: uint32(timeout.Microseconds()),
	}
	for _, s := range f.topology.Searchers {
		r.SubQueries = append(r.SubQueries, &wqpb.SubQuery{Shard: s.Shard, Searcher: s.ID})
	}
	return r
}

// fanOut sends one request. It returns the results by shard and all rows, and
// checks that each sub-query has exactly one result.
func fanOut(t *testing.T, h *holder, r *wqpb.FanRequest) (map[string]*wqpb.SubResult, []*wqpb.Row) {
	t.Helper()
	results := make(map[string]*wqpb.SubResult)
	var rows []*wqpb.Row
	err := h.FanOut(context.Background(), r, func(p *wqpb.FanPart) error {
		must.EqOp(t, r.RequestId, p.RequestId)
		for _, s := range p.Results {
			must.MapNotContainsKey(t, results, s.Shard)
			results[s.Shard] = s
		}
		rows = append(rows, p.Rows...)
		return nil
	})
	must.NoError(t, err)
	must.MapLen(t, len(r.SubQueries), results)
	return results, rows
}

func TestHolderAnswersAllSubQueries(t *testing.T) {
	f := startFleet(t, 20, benchSettings())
	v := f.view("vm-1", wqview.Holder{Slots: 3, Connections: 30, ColdSlots: 1})
	h := newHolder(t, func() *wqview.View { return v })
	results, rows := fanOut(t, h, f.request("q-1", time.Second))
	for _, s := range f.topology.Searchers {
		must.EqOp(t, wqholder.SubStatus(wqobservation.Answered), results[s.Shard].Status)
		want := wqfakesearcher.MatchingRows("bench", s.Shard, 7, []byte("needle"))
		must.EqOp(t, uint32(len(want)), results[s.Shard].Matched)
	}
	must.SliceNotEmpty(t, rows)
}

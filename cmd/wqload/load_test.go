package wqload

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

// fakeEntry answers after 50 ms, refuses every fourth query and answers every
// tenth with the ID of another request.
type fakeEntry struct {
	wqpbconnect.UnimplementedQueryServiceHandler
	queries atomic.Int64
}

func (e *fakeEntry) Query(_ context.Context, r *connect.Request[wqpb.QueryRequest]) (*connect.Response[wqpb.QueryResponse], error) {
	n := e.queries.Add(1)
	time.Sleep(50 * time.Millisecond)
	if n%4 == 0 {
		refused := connect.NewError(connect.CodeResourceExhausted, nil)
		detail, err := connect.NewErrorDetail(&wqpb.Refusal{Kind: "overloaded"})
		refused.AddDetail(detail)
		return nil, fmt.Errorf("%w%w", refused, err)
	}
	a := &wqpb.QueryResponse{
		RequestId: r.Msg.GetRequestId(), Snapshot: 1, ShardsTotal: 2, ShardsAnswered: 2, SubQueriesSent: 3, HedgesSent: 1,
		Counts: []*wqpb.ShardCount{{Shard: "a"}, {Shard: "b"}},
	}
	if n%10 == 0 {
		a.RequestId = "other"
	}
	return connect.NewResponse(a), nil
}

// Each answer takes 50 ms, so a generator that waited for answers would offer
// far fewer queries than its rate of 400 per second.
func TestLoadDoesNotWaitForAnswers(t *testing.T) {
	e := &fakeEntry{}
	_, handler := wqpbconnect.NewQueryServiceHandler(e)
	s := httptest.NewServer(handler)
	defer s.Close()
	g := &Generator{
		Entries: []Entry{{URL: s.URL}}, Client: s.Client(), Seconds: 0.5, Seed: 7,
		Streams: []Stream{{Tenant: "t", Class: "c", Service: "bench", Rate: 400}},
	}
	r, err := g.Run(context.Background())
	must.NoError(t, err)
	must.Between(t, 150, r.Offered, 250)
	must.Eq(t, int(e.queries.Load()), r.Offered)
	must.Eq(t, r.Offered, r.Total.Answers+r.Total.Refusals["overloaded"]+r.Total.WrongAnswers["other_request"])
	must.Eq(t, r.Offered/4, r.Total.Refusals["overloaded"])
	must.Greater(t, 0, r.Total.WrongAnswers["other_request"])
	must.Eq(t, 1.5, r.Total.SentPerNeeded)
	must.GreaterEq(t, 50, r.Total.P50Millis)
}

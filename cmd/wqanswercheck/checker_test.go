package wqanswercheck

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wisteriaquay/io/wqpb"
)

func validExchange() (*wqpb.QueryRequest, *wqpb.QueryResponse) {
	q := &wqpb.QueryRequest{RequestId: "q", Service: "bench", Body: []byte("x"), Limit: 10}
	a := &wqpb.QueryResponse{
		RequestId: "q", Snapshot: 7, ShardsTotal: 3, ShardsAnswered: 2,
		Missing: []*wqpb.MissingShard{{Shard: "c"}},
		Counts:  []*wqpb.ShardCount{{Shard: "a", Matched: 1}, {Shard: "b", Matched: 1}},
		Rows: []*wqpb.Row{
			{Shard: "a", Key: "k1", Score: 2, Body: []byte("bench/a@7")},
			{Shard: "b", Key: "k2", Score: 1, Body: []byte("bench/b@7")},
		},
	}
	return q, a
}

func TestCheckReturnsFaultOfWrongAnswer(t *testing.T) {
	for want, corrupt := range map[string]func(a *wqpb.QueryResponse){
		"":                         func(*wqpb.QueryResponse) {},
		"other_request":            func(a *wqpb.QueryResponse) { a.RequestId = "p" },
		"shard_twice":              func(a *wqpb.QueryResponse) { a.Counts[1].Shard = "a" },
		"missing_but_answered":     func(a *wqpb.QueryResponse) { a.Missing[0].Shard = "a" },
		"coverage_does_not_add_up": func(a *wqpb.QueryResponse) { a.ShardsTotal = 2 },
		"row_count":                func(a *wqpb.QueryResponse) { a.Rows = a.Rows[:1] },
		"row_twice":                func(a *wqpb.QueryResponse) { a.Rows[1] = a.Rows[0] },
		"row_of_missing_shard":     func(a *wqpb.QueryResponse) { a.Rows[1].Shard = "c" },
		"row_of_other_snapshot":    func(a *wqpb.QueryResponse) { a.Rows[1].Body = []byte("bench/b@6") },
		"row_order":                func(a *wqpb.QueryResponse) { a.Rows[1].Score = 3 },
		"shard_total":              func(a *wqpb.QueryResponse) { a.ShardsTotal, a.Missing = 2, nil },
		"count_of_other_request": func(a *wqpb.QueryResponse) {
			a.Counts[1].Matched = 2
			a.Rows = append(a.Rows, &wqpb.Row{Shard: "b", Key: "k3", Body: []byte("bench/b@7")})
		},
	} {
		t.Run(want, func(t *testing.T) {
			c := NewChecker()
			q, a := validExchange()
			must.Eq(t, "", c.Check(q, proto.CloneOf(a)))
			corrupt(a)
			must.Eq(t, want, c.Check(q, a))
		})
	}
}

func TestCheckDetectsRowsOfAnotherRequest(t *testing.T) {
	c := NewChecker()
	q, a := validExchange()
	a.Missing, a.ShardsTotal = nil, 2
	must.Eq(t, "", c.Check(q, proto.CloneOf(a)))
	a.Rows[0].Key = "k9"
	must.Eq(t, "rows_of_other_request", c.Check(q, a))
}

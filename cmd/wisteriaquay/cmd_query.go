package main

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"connectrpc.com/connect"

	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

type queryOptions struct {
	entryOptions

	Tenant        string  `long:"tenant" description:"tenant of the rule that applies" required:"true"`
	Class         string  `long:"class" description:"class of the rule that applies" required:"true"`
	Service       string  `long:"service" description:"index to search" required:"true"`
	LeastCoverage float64 `long:"least-coverage" description:"refuse below this share of shards; 1 demands a whole answer"`
	Limit         uint32  `long:"limit" default:"10" description:"most rows in the answer"`
}

// cmdQuery sends one query and prints the answer as JSON.
var cmdQuery = &command{
	Name: "query",
	Args: "TEXT",
	Help: "send one query to all shards of a service and print the answer",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &queryOptions{}
		rest, err := parse(o, "query TEXT", args, 1)
		if err != nil {
			return err
		}
		return query(ctx, c, o, rest[0])
	},
}

func query(ctx context.Context, c console, o *queryOptions, text string) error {
	reach, err := o.client(o.Timeout)
	if err != nil {
		return err
	}
	client := wqpbconnect.NewQueryServiceClient(reach, o.Entry)
	response, err := client.Query(ctx, connect.NewRequest(&wqpb.QueryRequest{
		RequestId:     rand.Text(),
		Tenant:        o.Tenant,
		Class:         o.Class,
		Service:       o.Service,
		Body:          []byte(text),
		TimeoutMillis: uint32(o.Timeout.Milliseconds()),
		LeastCoverage: o.LeastCoverage,
		Limit:         o.Limit,
	}))
	if err != nil {
		return wqconnecterror.Decode(err)
	}
	return writeAnswer(c, response.Msg)
}

// writeAnswer prints an answer as one JSON document.
func writeAnswer(c console, m *wqpb.QueryResponse) error {
	type row struct {
		Shard string  `json:"shard"`
		Key   string  `json:"key"`
		Score float64 `json:"score"`
		Body  string  `json:"body"`
	}
	type missing struct {
		Shard  string `json:"shard"`
		Reason string `json:"reason"`
	}
	rows := make([]row, 0, len(m.GetRows()))
	for _, r := range m.GetRows() {
		rows = append(rows, row{r.GetShard(), r.GetKey(), r.GetScore(), string(r.GetBody())})
	}
	lost := make([]missing, 0, len(m.GetMissing()))
	for _, s := range m.GetMissing() {
		lost = append(lost, missing{s.GetShard(), s.GetReason()})
	}
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		RequestID      string    `json:"request_id"`
		Snapshot       uint64    `json:"snapshot"`
		ShardsTotal    uint32    `json:"shards_total"`
		ShardsAnswered uint32    `json:"shards_answered"`
		Missing        []missing `json:"missing"`
		Rows           []row     `json:"rows"`
		SubQueriesSent uint32    `json:"sub_queries_sent"`
		HedgesSent     uint32    `json:"hedges_sent"`
		Revision       uint64    `json:"revision"`
	}{
		m.GetRequestId(), m.GetSnapshot(), m.GetShardsTotal(), m.GetShardsAnswered(), lost, rows,
		m.GetSubQueriesSent(), m.GetHedgesSent(), m.GetRevision(),
	})
}

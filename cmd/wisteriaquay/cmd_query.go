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
	callerOptions

	Tenant      string  `long:"tenant" description:"tenant of the rule to apply" required:"true"`
	Class       string  `long:"class" description:"class of the rule to apply" required:"true"`
	Service     string  `long:"service" description:"index to search" required:"true"`
	MinCoverage float64 `long:"least-coverage" description:"smallest share of answered shards to accept, 0 to 1; 1 accepts complete answers only"`
	MaxRows     uint32  `long:"limit" default:"10" description:"maximum rows in the answer"`
}

// cmdQuery sends one query and prints the answer as JSON.
var cmdQuery = &command{
	Name: "query",
	Args: "TEXT",
	Help: "send one query to all shards of a service and print the answer",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &queryOptions{}
		positional, err := parseOptions(o, "query TEXT", args, 1)
		if err != nil {
			return err
		}
		return runQuery(ctx, c, o, positional[0])
	},
}

func runQuery(ctx context.Context, c console, o *queryOptions, text string) error {
	httpClient, err := o.newHTTPClient(o.Timeout)
	if err != nil {
		return err
	}
	client := wqpbconnect.NewQueryServiceClient(httpClient, o.EntryURL)
	response, err := client.Query(ctx, connect.NewRequest(&wqpb.QueryRequest{
		RequestId:     rand.Text(),
		Tenant:        o.Tenant,
		Class:         o.Class,
		Service:       o.Service,
		Body:          []byte(text),
		TimeoutMillis: uint32(o.Timeout.Milliseconds()),
		LeastCoverage: o.MinCoverage,
		Limit:         o.MaxRows,
	}))
	if err != nil {
		return wqconnecterror.Decode(err)
	}
	return writeAnswer(c, response.Msg)
}

// writeAnswer prints the response as one JSON document.
func writeAnswer(c console, m *wqpb.QueryResponse) error {
	type row struct {
		Shard string  `json:"shard"`
		Key   string  `json:"key"`
		Score float64 `json:"score"`
		Body  string  `json:"body"`
	}
	type missingShard struct {
		Shard  string `json:"shard"`
		Reason string `json:"reason"`
	}
	rows := make([]row, 0, len(m.GetRows()))
	for _, r := range m.GetRows() {
		rows = append(rows, row{r.GetShard(), r.GetKey(), r.GetScore(), string(r.GetBody())})
	}
	missingShards := make([]missingShard, 0, len(m.GetMissing()))
	for _, s := range m.GetMissing() {
		missingShards = append(missingShards, missingShard{s.GetShard(), s.GetReason()})
	}
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		RequestID      string         `json:"request_id"`
		Snapshot       uint64         `json:"snapshot"`
		ShardsTotal    uint32         `json:"shards_total"`
		ShardsAnswered uint32         `json:"shards_answered"`
		Missing        []missingShard `json:"missing"`
		Rows           []row          `json:"rows"`
		SubQueriesSent uint32         `json:"sub_queries_sent"`
		HedgesSent     uint32         `json:"hedges_sent"`
		Revision       uint64         `json:"revision"`
	}{
		m.GetRequestId(), m.GetSnapshot(), m.GetShardsTotal(), m.GetShardsAnswered(), missingShards, rows,
		m.GetSubQueriesSent(), m.GetHedgesSent(), m.GetRevision(),
	})
}

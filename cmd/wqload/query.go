package wqload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"wisteriaquay/cmd/wqtally"
	"wisteriaquay/io/wqpb"
)

// sendQuery sends one query, checks the answer and counts the outcome. A query
// cut short by the end of ctx isn't counted.
func (g *Generator) sendQuery(ctx context.Context, q *wqpb.QueryRequest, due time.Time, t *wqtally.Tally) {
	if !sleep(ctx, g.ClientDelay) {
		return
	}
	response, err := g.newClient(g.balancer.nextURL()).Query(ctx, connect.NewRequest(q))
	sleep(ctx, g.ClientDelay)
	latency := time.Since(due)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t.AddRefusal(refusalKind(err))
		return
	}
	g.answered.Add(1)
	a := response.Msg
	if fault := g.checker.Check(q, a); fault != "" {
		t.AddWrongAnswer(fault)
		return
	}
	t.AddAnswer(wqtally.Answer{
		Latency:        latency,
		ShardsTotal:    int(a.GetShardsTotal()),
		ShardsAnswered: int(a.GetShardsAnswered()),
		SubQueriesSent: int(a.GetSubQueriesSent()),
		HedgesSent:     int(a.GetHedgesSent()),
		MissingReasons: missingReasons(a),
	})
}

func missingReasons(a *wqpb.QueryResponse) []string {
	reasons := make([]string, 0, len(a.GetMissing()))
	for _, m := range a.GetMissing() {
		reasons = append(reasons, m.GetReason())
	}
	return reasons
}

// refusalKind returns the kind of a typed refusal, "untyped_" and the code for
// any other error of the entry, or "connection" when none is from the entry.
func refusalKind(err error) string {
	var connectError *connect.Error
	if !errors.As(err, &connectError) {
		return "connection"
	}
	for _, d := range connectError.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wqpb.Refusal); ok {
			return r.GetKind()
		}
	}
	return "untyped_" + connectError.Code().String()
}

// newReport returns the report of a run in which the fake searchers counted this
// many sub-queries.
func (g *Generator) newReport(tallies []*wqtally.Tally, ran int) wqtally.Report {
	duration := time.Duration(g.Seconds * float64(time.Second))
	total := wqtally.NewTally("total")
	r := wqtally.Report{Seed: g.Seed, Seconds: g.Seconds, Offered: int(g.offered.Load()), Skipped: int(g.skipped.Load())}
	for _, t := range tallies {
		total.Merge(t)
		r.Streams = append(r.Streams, t.Summary(duration))
	}
	r.Total = total.Summary(duration)
	r.SubQueriesRan = -1
	if g.CountersURL != "" {
		r.SubQueriesRan = ran
		r.CoverageOverstated = total.ShardsAnswered() > ran
	}
	return r
}

// subQueriesRan returns the number of sub-queries that the fake searchers have
// counted so far.
func (g *Generator) subQueriesRan(ctx context.Context) (int, error) {
	if g.CountersURL == "" {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.CountersURL, http.NoBody)
	if err != nil {
		return 0, eris.Wrap(err, "read the searchers' counters")
	}
	response, err := g.Client.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "read the searchers' counters")
	}
	defer func() { _ = response.Body.Close() }()
	var counters map[string]struct {
		SubQueries int `json:"sub_queries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		return 0, eris.Wrap(err, "decode the searchers' counters")
	}
	ran := 0
	for _, c := range counters {
		ran += c.SubQueries
	}
	return ran, nil
}

// writeProgress writes a line per second until the context ends.
func (g *Generator) writeProgress(ctx context.Context) {
	if g.Progress == nil {
		return
	}
	for sleep(ctx, progressInterval) {
		_, _ = fmt.Fprintf(g.Progress, "\r%d offered, %d answered, %d in flight, %d entries ready ",
			g.offered.Load(), g.answered.Load(), g.inFlight.Load(), g.balancer.urlCount())
	}
}

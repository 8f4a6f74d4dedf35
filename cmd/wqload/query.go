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

// query sends one query, checks the answer and adds it to the tally.
func (l *Generator) query(ctx context.Context, q *wqpb.QueryRequest, due time.Time, t *wqtally.Tally) {
	if !sleep(ctx, l.ClientDelay) {
		return
	}
	response, err := l.client(l.balancer.next()).Query(ctx, connect.NewRequest(q))
	sleep(ctx, l.ClientDelay)
	took := time.Since(due)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t.AddRefusal(refusal(err))
		return
	}
	l.answered.Add(1)
	a := response.Msg
	if fault := l.checker.Check(q, a); fault != "" {
		t.AddWrongAnswer(fault)
		return
	}
	t.AddAnswer(wqtally.Answer{
		Latency:        took,
		ShardsTotal:    int(a.GetShardsTotal()),
		ShardsAnswered: int(a.GetShardsAnswered()),
		SubQueriesSent: int(a.GetSubQueriesSent()),
		HedgesSent:     int(a.GetHedgesSent()),
		MissingReasons: reasons(a),
	})
}

func reasons(a *wqpb.QueryResponse) []string {
	why := make([]string, 0, len(a.GetMissing()))
	for _, m := range a.GetMissing() {
		why = append(why, m.GetReason())
	}
	return why
}

// refusal returns the kind that an entry named, or what the connection says.
func refusal(err error) string {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return "connection"
	}
	for _, d := range failed.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wqpb.Refusal); ok {
			return r.GetKind()
		}
	}
	return "untyped_" + failed.Code().String()
}

// report adds up the tallies.
func (l *Generator) report(tallies []*wqtally.Tally, ran int) wqtally.Report {
	duration := time.Duration(l.Seconds * float64(time.Second))
	all := wqtally.NewTally("total")
	r := wqtally.Report{Seed: l.Seed, Seconds: l.Seconds, Offered: int(l.offered.Load()), Skipped: int(l.skipped.Load())}
	for _, t := range tallies {
		all.Merge(t)
		r.Streams = append(r.Streams, t.Summary(duration))
	}
	r.Total = all.Summary(duration)
	r.SubQueriesRan = -1
	if l.CountersURL != "" {
		r.SubQueriesRan = ran
		r.CoverageOverstated = all.ShardsAnswered() > ran
	}
	return r
}

// ran returns how many sub-queries the stand-in searchers say that they ran.
func (l *Generator) ran(ctx context.Context) (int, error) {
	if l.CountersURL == "" {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.CountersURL, http.NoBody)
	if err != nil {
		return 0, eris.Wrap(err, "ask the searchers' counters")
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "ask the searchers' counters")
	}
	defer func() { _ = response.Body.Close() }()
	var counters map[string]struct {
		SubQueries int `json:"sub_queries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		return 0, eris.Wrap(err, "read the searchers' counters")
	}
	ran := 0
	for _, c := range counters {
		ran += c.SubQueries
	}
	return ran, nil
}

// progress writes a line a second until the context ends.
func (l *Generator) progress(ctx context.Context) {
	if l.Progress == nil {
		return
	}
	for sleep(ctx, progressEvery) {
		_, _ = fmt.Fprintf(l.Progress, "\r%d offered, %d answered, %d under way, %d entries ready ",
			l.offered.Load(), l.answered.Load(), l.underWay.Load(), l.balancer.ready())
	}
}

// Package wqload is an open-loop load generator: it sends queries at given
// rates without waiting for earlier answers, checks every answer and counts the
// outcomes.
//
// # Usage
//
//	g := &wqload.Generator{
//		Entries: []wqload.Entry{{URL: "http://10.0.0.7:7400", ReadinessURL: "http://10.0.0.7:7402/readyz"}},
//		Streams: []wqload.Stream{{Tenant: "bench", Class: "lookup", Service: "bench", Rate: 100}},
//		Seconds: 10, Seed: 1,
//	}
//	report, err := g.Run(ctx)
//
// Arrivals are a seeded Poisson process for each stream. Latency counts from the
// time that a query was due. Queries go round-robin to the entries whose
// readiness endpoint returns status 200, as with the platform's load balancer.
package wqload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/cmd/wqanswercheck"
	"wisteriaquay/cmd/wqtally"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

const (
	maxInFlight           = 20000                  // maxInFlight is the largest number of unanswered queries; more are skipped.
	defaultDistinctBodies = 16                     // defaultDistinctBodies is the number of different request bodies of a stream.
	progressInterval      = time.Second            // progressInterval is the pause between two progress lines.
	readinessInterval     = 200 * time.Millisecond // readinessInterval is the pause between two polls of the readiness endpoints, and their timeout.
	requestIDFormat       = "%s-%d-%d"             // requestIDFormat takes service, seed and sequence number.
)

// Entry holds the addresses of one entry VM.
type Entry struct {
	URL          string
	ReadinessURL string // ReadinessURL is its readiness endpoint; an entry without one is always ready.
}

// Stream describes the queries of one tenant and class to one service.
type Stream struct {
	Tenant         string
	Class          string
	Service        string
	Rate           float64 // Rate is the mean number of queries per second; none are sent at 0.
	DistinctBodies int     // DistinctBodies is the number of different request bodies; 0 means 16.
	RowLimit       uint32  // RowLimit is the largest number of rows in an answer; 0 means the service's default.
	TimeoutMillis  uint32  // TimeoutMillis is the time limit of a query; 0 means that of the rule.
	MinCoverage    float64 // MinCoverage is the share of shards that an answer must hold.
}

// Generator holds the settings and the state of one load run. Set the exported
// fields before Run.
type Generator struct {
	Entries       []Entry
	Streams       []Stream
	Seconds       float64
	WarmUpSeconds float64 // WarmUpSeconds is the duration of the load before the run, which isn't counted.
	Seed          uint64
	ClientDelay   time.Duration // ClientDelay is the simulated network delay, added both to the request and to the answer.
	CountersURL   string        // CountersURL is the counters endpoint of the fake searchers; empty skips the check of coverage against them.
	Client        *http.Client
	Progress      io.Writer // Progress receives a line per second; nil writes none.

	checker  *wqanswercheck.Checker
	balancer *balancer
	inFlight atomic.Int64
	offered  atomic.Int64
	skipped  atomic.Int64
	answered atomic.Int64
}

// Run sends the load and returns the report. It returns an error only when the
// searchers' counters can't be read; failed queries and wrong answers are in the
// report.
func (g *Generator) Run(ctx context.Context) (wqtally.Report, error) {
	g.checker = wqanswercheck.NewChecker()
	g.balancer = newBalancer(g.Client, g.Entries)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.balancer.pollReadiness(ctx)
	g.sendStreams(ctx, g.WarmUpSeconds, g.Seed+1)
	ranBefore, err := g.subQueriesRan(ctx)
	if err != nil {
		return wqtally.Report{}, err
	}
	g.offered.Store(0)
	g.skipped.Store(0)
	go g.writeProgress(ctx)
	tallies := g.sendStreams(ctx, g.Seconds, g.Seed)
	ranAfter, err := g.subQueriesRan(ctx)
	if err != nil {
		return wqtally.Report{}, err
	}
	return g.newReport(tallies, ranAfter-ranBefore), nil
}

// sendStreams sends all streams for this many seconds and waits for their last
// answers. It returns one tally for each stream.
func (g *Generator) sendStreams(ctx context.Context, seconds float64, seed uint64) []*wqtally.Tally {
	tallies := make([]*wqtally.Tally, len(g.Streams))
	var streams sync.WaitGroup
	for i := range g.Streams {
		s := &g.Streams[i]
		tallies[i] = wqtally.NewTally(s.Tenant + "/" + s.Class + "/" + s.Service)
		streams.Go(func() {
			g.sendStream(ctx, s, tallies[i], seconds, rand.New(rand.NewPCG(seed, uint64(i))), seed)
		})
	}
	streams.Wait()
	return tallies
}

// sendStream sends the queries of one stream when they are due and waits for the
// last answer.
func (g *Generator) sendStream(ctx context.Context, s *Stream, t *wqtally.Tally, seconds float64, random *rand.Rand, seed uint64) {
	var queries sync.WaitGroup
	defer queries.Wait()
	start := time.Now()
	dueSeconds := 0.0
	for sequence := 0; ; sequence++ {
		dueSeconds += random.ExpFloat64() / s.Rate
		if dueSeconds >= seconds || s.Rate <= 0 {
			return
		}
		due := start.Add(time.Duration(dueSeconds * float64(time.Second)))
		if !sleep(ctx, time.Until(due)) {
			return
		}
		q := newRequest(s, seed, sequence, random.Uint64())
		g.offered.Add(1)
		if g.inFlight.Load() >= maxInFlight {
			g.skipped.Add(1)
			continue
		}
		g.inFlight.Add(1)
		queries.Go(func() {
			defer g.inFlight.Add(-1)
			g.sendQuery(ctx, q, due, t)
		})
	}
}

func newRequest(s *Stream, seed uint64, sequence int, random uint64) *wqpb.QueryRequest {
	bodies := uint64(s.DistinctBodies)
	if bodies == 0 {
		bodies = defaultDistinctBodies
	}
	return &wqpb.QueryRequest{
		RequestId:     fmt.Sprintf(requestIDFormat, s.Service, seed, sequence),
		Tenant:        s.Tenant,
		Class:         s.Class,
		Service:       s.Service,
		Body:          fmt.Appendf(nil, "%s-%d", s.Service, random%bodies),
		TimeoutMillis: s.TimeoutMillis,
		LeastCoverage: s.MinCoverage,
		Limit:         s.RowLimit,
	}
}

// sleep waits until d has passed or ctx ends. It reports whether ctx is still
// active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Generator) newClient(entry string) wqpbconnect.QueryServiceClient {
	return wqpbconnect.NewQueryServiceClient(g.Client, entry)
}

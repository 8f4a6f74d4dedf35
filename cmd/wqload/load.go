// Package wqload sends queries at given rates, whether earlier ones were
// answered or not, checks every answer and adds up what came back.
//
// # Usage
//
//	l := &wqload.Generator{
//		Entries: []wqload.Entry{{URL: "http://10.0.0.7:7400", Ready: "http://10.0.0.7:7402/readyz"}},
//		Streams: []wqload.Stream{{Tenant: "bench", Class: "lookup", Service: "bench", Rate: 100}},
//		Seconds: 10, Seed: 1,
//	}
//	report, err := l.Run(ctx)
//
// Arrivals are a seeded Poisson process for each stream; latency counts from
// the time that a query was due. Entries are used in turn while their readiness
// endpoint says so, as the platform's balancer does.
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
	mostUnderWay  = 20000                  // mostUnderWay is how many queries may be unanswered at once.
	defaultBodies = 16                     // defaultBodies is how many different requests a stream sends.
	progressEvery = time.Second            // progressEvery is the pause between two progress lines.
	readyEvery    = 200 * time.Millisecond // readyEvery is the pause between two looks at the readiness endpoints.
	idLetters     = "%s-%d-%d"             // idLetters forms request ids from service, seed and number.
)

// Entry is the address of one entry VM.
type Entry struct {
	URL          string
	ReadinessURL string // ReadinessURL is the URL of its readiness endpoint; empty counts as ready.
}

// Stream is one tenant's class of queries.
type Stream struct {
	Tenant         string
	Class          string
	Service        string
	Rate           float64 // Rate is queries a second.
	DistinctBodies int     // DistinctBodies is how many different requests are sent; 0 takes 16.
	RowLimit       uint32  // RowLimit is the most rows of an answer; 0 takes the service's.
	TimeoutMillis  uint32  // TimeoutMillis is the time for an answer; 0 takes the rule's.
	MinCoverage    float64
}

// Generator is one run. Set the exported fields before Run.
type Generator struct {
	Entries       []Entry
	Streams       []Stream
	Seconds       float64
	WarmUpSeconds float64 // WarmUpSeconds are sent before the run and not counted.
	Seed          uint64
	ClientDelay   time.Duration // ClientDelay is added on the way to the entry and on the way back.
	CountersURL   string        // CountersURL is the URL of what the stand-in searchers counted; empty asks nothing.
	Client        *http.Client
	Progress      io.Writer // Progress gets a line a second; nil writes none.

	checker  *wqanswercheck.Checker
	balancer *balancer
	underWay atomic.Int64
	offered  atomic.Int64
	skipped  atomic.Int64
	answered atomic.Int64
}

// Run sends the load and returns the report. The error tells that the run
// itself failed; faults of answers are in the report.
func (l *Generator) Run(ctx context.Context) (wqtally.Report, error) {
	l.checker = wqanswercheck.NewChecker()
	l.balancer = newBalancer(l.Client, l.Entries)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.balancer.watch(ctx)
	l.phase(ctx, l.WarmUpSeconds, l.Seed+1)
	ranBefore, err := l.ran(ctx)
	if err != nil {
		return wqtally.Report{}, err
	}
	l.offered.Store(0)
	l.skipped.Store(0)
	go l.progress(ctx)
	tallies := l.phase(ctx, l.Seconds, l.Seed)
	ranAfter, err := l.ran(ctx)
	if err != nil {
		return wqtally.Report{}, err
	}
	return l.report(tallies, ranAfter-ranBefore), nil
}

// phase sends all streams for a time and waits for their last answers.
func (l *Generator) phase(ctx context.Context, seconds float64, seed uint64) []*wqtally.Tally {
	tallies := make([]*wqtally.Tally, len(l.Streams))
	var group sync.WaitGroup
	for i := range l.Streams {
		s := &l.Streams[i]
		tallies[i] = wqtally.NewTally(s.Tenant + "/" + s.Class + "/" + s.Service)
		group.Go(func() {
			l.stream(ctx, s, tallies[i], seconds, rand.New(rand.NewPCG(seed, uint64(i))), seed)
		})
	}
	group.Wait()
	return tallies
}

// stream sends one stream's queries when they are due and waits for the last
// answer.
func (l *Generator) stream(ctx context.Context, s *Stream, t *wqtally.Tally, seconds float64, random *rand.Rand, seed uint64) {
	var group sync.WaitGroup
	defer group.Wait()
	began := time.Now()
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / s.Rate
		if at >= seconds || s.Rate <= 0 {
			return
		}
		due := began.Add(time.Duration(at * float64(time.Second)))
		if !sleep(ctx, time.Until(due)) {
			return
		}
		q := request(s, seed, number, random.Uint64())
		l.offered.Add(1)
		if l.underWay.Load() >= mostUnderWay {
			l.skipped.Add(1)
			continue
		}
		l.underWay.Add(1)
		group.Go(func() {
			defer l.underWay.Add(-1)
			l.query(ctx, q, due, t)
		})
	}
}

func request(s *Stream, seed uint64, number int, random uint64) *wqpb.QueryRequest {
	bodies := uint64(s.DistinctBodies)
	if bodies == 0 {
		bodies = defaultBodies
	}
	return &wqpb.QueryRequest{
		RequestId:     fmt.Sprintf(idLetters, s.Service, seed, number),
		Tenant:        s.Tenant,
		Class:         s.Class,
		Service:       s.Service,
		Body:          fmt.Appendf(nil, "%s-%d", s.Service, random%bodies),
		TimeoutMillis: s.TimeoutMillis,
		LeastCoverage: s.MinCoverage,
		Limit:         s.RowLimit,
	}
}

// sleep waits and reports whether the context is still alive.
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

func (l *Generator) client(entry string) wqpbconnect.QueryServiceClient {
	return wqpbconnect.NewQueryServiceClient(l.Client, entry)
}

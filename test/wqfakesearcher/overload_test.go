package wqfakesearcher_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

const (
	overloadShards  = 4
	overloadTimeout = 80 * time.Millisecond
	// capacityDuration is the duration of the capacity measurement.
	capacityDuration = time.Second
)

// fanOutFunc sends the sub-queries of a request to the searchers.
type fanOutFunc func(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error

// baseline sends with a fixed concurrency limit, an unbounded queue and no
// batches, for comparison.
type baseline struct {
	fleet  *fleet
	client *wqtarget.Client
	slots  []chan struct{}
}

func newBaseline(b *testing.B, f *fleet) *baseline {
	client, closeClient := wqtarget.New()
	b.Cleanup(closeClient)
	base := &baseline{fleet: f, client: client}
	for _, s := range f.topology.Searchers {
		base.slots = append(base.slots, make(chan struct{}, s.Slots))
	}
	return base
}

func (base *baseline) fanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.RemainingMicros)*time.Microsecond)
	defer cancel()
	var mu sync.Mutex
	var subQueries sync.WaitGroup
	for i, q := range r.SubQueries {
		subQueries.Go(func() {
			select {
			case base.slots[i] <- struct{}{}:
			case <-ctx.Done():
				return
			}
			_, err := base.client.Search(ctx, &base.fleet.topology.Searchers[i], []wqtarget.Query{{
				RequestID: r.RequestId, Service: r.Service, Shard: q.Shard, Snapshot: r.Snapshot, Body: r.Body, Limit: int(r.Limit),
			}})
			<-base.slots[i]
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				_ = send(&wqpb.FanPart{Results: []*wqpb.SubResult{{Status: wqpb.SubStatus_SUB_STATUS_ANSWERED, Sent: 1}}})
			}
		})
	}
	subQueries.Wait()
	return nil
}

// measureCapacity returns the requests per second, each with a sub-query for
// every searcher, that are answered when each slot is always busy and nothing
// is queued.
func (f *fleet) measureCapacity(b *testing.B) float64 {
	base := newBaseline(b, f)
	before := f.requestCount()
	end := time.Now().Add(capacityDuration)
	var loops sync.WaitGroup
	for range f.topology.Searchers[0].Slots {
		for i := range f.topology.Searchers {
			loops.Go(func() {
				for time.Now().Before(end) {
					r := f.request("q", overloadTimeout)
					_, _ = base.client.Search(context.Background(), &f.topology.Searchers[i], []wqtarget.Query{{
						RequestID: r.RequestId, Service: r.Service, Shard: r.SubQueries[i].Shard, Snapshot: r.Snapshot, Body: r.Body, Limit: int(r.Limit),
					}})
				}
			})
		}
	}
	loops.Wait()
	return float64(f.requestCount()-before) / capacityDuration.Seconds() / float64(len(f.servers))
}

// loadResult holds the outcomes of an open-loop run. Latencies count from the
// time that the request was due.
type loadResult struct {
	mu               sync.Mutex
	answered         int
	latencies        []time.Duration
	refusalLatencies []time.Duration
}

func (l *loadResult) record(latency time.Duration, p *wqpb.FanPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range p.Results {
		switch {
		case s.Status == wqpb.SubStatus_SUB_STATUS_ANSWERED && latency <= overloadTimeout:
			l.answered++
			l.latencies = append(l.latencies, latency)
		case s.Status == wqpb.SubStatus_SUB_STATUS_NOT_RUN:
			l.refusalLatencies = append(l.refusalLatencies, latency)
		}
	}
}

func quantileMillis(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
}

// offerLoad sends requests at a steady rate for d without waiting for earlier
// ones.
func (f *fleet) offerLoad(fanOuts []fanOutFunc, perSecond float64, d time.Duration) *loadResult {
	result := &loadResult{}
	var pending sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		due := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		pending.Go(func() {
			r := f.request(fmt.Sprintf("q-%d", n), overloadTimeout)
			_ = fanOuts[n%len(fanOuts)](context.Background(), r, func(p *wqpb.FanPart) error {
				result.record(time.Since(due), p)
				return nil
			})
		})
	}
	pending.Wait()
	return result
}

// BenchmarkOverload offers twice the searchers' capacity, then half of it.
// goodput is the rate of answers in time under overload, as a share of the
// capacity that was measured without batches.
func BenchmarkOverload(b *testing.B) {
	for _, variant := range []string{"plain", "lane/batch=1", "lane/batch=8"} {
		b.Run(variant, func(b *testing.B) { benchmarkOverload(b, variant) })
	}
}

func benchmarkOverload(b *testing.B, variant string) {
	for b.Loop() {
		f := startFleet(b, overloadShards, benchSettings())
		fanOuts := f.fanOutFuncs(b, variant)
		capacity := f.measureCapacity(b)
		f.offerLoad(fanOuts, capacity/2, time.Second)
		before := f.requestCount()
		overloaded := f.offerLoad(fanOuts, 2*capacity, 2*time.Second)
		requests := f.requestCount() - before
		recovered := f.offerLoad(fanOuts, capacity/2, 500*time.Millisecond)
		b.ReportMetric(float64(overloaded.answered)/(2*capacity*overloadShards), "goodput")
		b.ReportMetric(float64(requests)/float64(max(overloaded.answered, 1)), "requests/answer")
		b.ReportMetric(quantileMillis(overloaded.latencies, 0.5), "p50-ms")
		b.ReportMetric(quantileMillis(overloaded.latencies, 0.99), "p99-ms")
		b.ReportMetric(quantileMillis(overloaded.refusalLatencies, 0.99), "refusal-p99-ms")
		b.ReportMetric(float64(recovered.answered)/(capacity/4*overloadShards), "after")
		b.ReportMetric(capacity, "capacity/s")
		b.ReportMetric(0, "ns/op")
	}
}

func (f *fleet) fanOutFuncs(b *testing.B, variant string) []fanOutFunc {
	if variant == "plain" {
		return []fanOutFunc{newBaseline(b, f).fanOut}
	}
	var fanOuts []fanOutFunc
	for _, h := range f.startHolders(b) {
		if variant == "lane/batch=1" {
			h.MaxBatch = 1
		}
		fanOuts = append(fanOuts, h.FanOut)
	}
	return fanOuts
}

// requestCount returns how many requests the searchers have received.
func (f *fleet) requestCount() uint64 {
	var n uint64
	for _, s := range f.servers {
		n += s.Counters().Requests
	}
	return n
}

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
	// measureFor is how long the capacity is measured.
	measureFor = time.Second
)

// fanner is one way to the searchers.
type fanner func(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error

// plain is the baseline: a fixed limit, an unbounded queue and no batches.
type plain struct {
	fleet  *fleet
	client *wqtarget.Client
	slots  []chan struct{}
}

func newPlain(b *testing.B, f *fleet) *plain {
	client, closeClient := wqtarget.New()
	b.Cleanup(closeClient)
	p := &plain{fleet: f, client: client}
	for _, s := range f.topology.Searchers {
		p.slots = append(p.slots, make(chan struct{}, s.Slots))
	}
	return p
}

func (p *plain) fan(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.RemainingMicros)*time.Microsecond)
	defer cancel()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i, q := range r.SubQueries {
		waiting.Go(func() {
			select {
			case p.slots[i] <- struct{}{}:
			case <-ctx.Done():
				return
			}
			_, err := p.client.Search(ctx, &p.fleet.topology.Searchers[i], []wqtarget.Query{{
				RequestID: r.RequestId, Service: r.Service, Shard: q.Shard, Snapshot: r.Snapshot, Body: r.Body, Limit: int(r.Limit),
			}})
			<-p.slots[i]
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				_ = send(&wqpb.FanPart{Results: []*wqpb.SubResult{{Status: wqpb.SubStatus_SUB_STATUS_ANSWERED, Sent: 1}}})
			}
		})
	}
	waiting.Wait()
	return nil
}

// capacity returns the fans a second that are answered when each slot is kept
// busy and nothing waits.
func (f *fleet) capacity(b *testing.B) float64 {
	p := newPlain(b, f)
	before := f.requests()
	end := time.Now().Add(measureFor)
	var loops sync.WaitGroup
	for range f.topology.Searchers[0].Slots {
		for i := range f.topology.Searchers {
			loops.Go(func() {
				for time.Now().Before(end) {
					r := f.request("q", overloadTimeout)
					_, _ = p.client.Search(context.Background(), &f.topology.Searchers[i], []wqtarget.Query{{
						RequestID: r.RequestId, Service: r.Service, Shard: r.SubQueries[i].Shard, Snapshot: r.Snapshot, Body: r.Body, Limit: int(r.Limit),
					}})
				}
			})
		}
	}
	loops.Wait()
	return float64(f.requests()-before) / measureFor.Seconds() / float64(len(f.servers))
}

// tally is what an open-loop run saw.
type tally struct {
	mu       sync.Mutex
	answered int
	times    []time.Duration
	refused  []time.Duration
}

func (t *tally) take(elapsed time.Duration, p *wqpb.FanPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range p.Results {
		switch {
		case s.Status == wqpb.SubStatus_SUB_STATUS_ANSWERED && elapsed <= overloadTimeout:
			t.answered++
			t.times = append(t.times, elapsed)
		case s.Status == wqpb.SubStatus_SUB_STATUS_NOT_RUN:
			t.refused = append(t.refused, elapsed)
		}
	}
}

func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

// offer sends fans at a steady rate, whatever becomes of them.
func (f *fleet) offer(fans []fanner, perSecond float64, d time.Duration) *tally {
	t := &tally{}
	var open sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		due := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		open.Go(func() {
			r := f.request(fmt.Sprintf("q-%d", n), overloadTimeout)
			_ = fans[n%len(fans)](context.Background(), r, func(p *wqpb.FanPart) error {
				t.take(time.Since(due), p)
				return nil
			})
		})
	}
	open.Wait()
	return t
}

// BenchmarkOverload offers twice the searchers' capacity, then a half of it.
// goodput is the answers in time over the measured capacity without batches.
func BenchmarkOverload(b *testing.B) {
	for _, way := range []string{"plain", "lane/batch=1", "lane/batch=8"} {
		b.Run(way, func(b *testing.B) { overload(b, way) })
	}
}

func overload(b *testing.B, way string) {
	for b.Loop() {
		f := startFleet(b, overloadShards, bench())
		fans := f.fanners(b, way)
		capacity := f.capacity(b)
		f.offer(fans, capacity/2, time.Second)
		before := f.requests()
		over := f.offer(fans, 2*capacity, 2*time.Second)
		requests := f.requests() - before
		after := f.offer(fans, capacity/2, 500*time.Millisecond)
		b.ReportMetric(float64(over.answered)/(2*capacity*overloadShards), "goodput")
		b.ReportMetric(float64(requests)/float64(max(over.answered, 1)), "requests/answer")
		b.ReportMetric(quantile(over.times, 0.5), "p50-ms")
		b.ReportMetric(quantile(over.times, 0.99), "p99-ms")
		b.ReportMetric(quantile(over.refused, 0.99), "refusal-p99-ms")
		b.ReportMetric(float64(after.answered)/(capacity/4*overloadShards), "after")
		b.ReportMetric(capacity, "capacity/s")
		b.ReportMetric(0, "ns/op")
	}
}

func (f *fleet) fanners(b *testing.B, way string) []fanner {
	if way == "plain" {
		return []fanner{newPlain(b, f).fan}
	}
	var fans []fanner
	for _, h := range f.startHolders(b) {
		if way == "lane/batch=1" {
			h.MaxBatch = 1
		}
		fans = append(fans, h.FanOut)
	}
	return fans
}

// requests returns how many requests the searchers have had.
func (f *fleet) requests() uint64 {
	var n uint64
	for _, s := range f.servers {
		n += s.Counters().Requests
	}
	return n
}

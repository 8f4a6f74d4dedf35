package wqplacementmodel

import (
	"fmt"
	"slices"
	"time"

	"wisteriaquay/core/wqgather"
)

// Report is what the clients saw.
type Report struct {
	objective time.Duration
	requests  int
	credit    float64 // replies within the objective; a partial one counts the square of its share
	rejected  int     // refused as not run
	latencies []time.Duration
	byClient  map[int]*clientReport
	sends     int
	extra     int
}

type clientReport struct {
	requests int
	credit   float64
}

func newReport(objective time.Duration) *Report {
	return &Report{objective: objective, byClient: make(map[int]*clientReport)}
}

func (r *Report) add(q *request, s wqgather.State, share float64) {
	c := r.byClient[q.client]
	if c == nil {
		c = &clientReport{}
		r.byClient[q.client] = c
	}
	r.requests++
	c.requests++
	took := q.model.now.Sub(q.arrived)
	switch s {
	case wqgather.Complete, wqgather.Partial:
		if took <= r.objective {
			r.credit += share * share
			c.credit += share * share
		}
	case wqgather.Refused:
		r.rejected++
	}
	r.latencies = append(r.latencies, took)
}

// Within returns the share of the requests that were answered within the objective.
func (r *Report) Within() float64 { return r.credit / float64(max(r.requests, 1)) }

// Rejected returns the share of the requests that were refused as not run.
func (r *Report) Rejected() float64 { return float64(r.rejected) / float64(max(r.requests, 1)) }

// WorstTenth returns Within of the tenth of the clients that saw the least.
func (r *Report) WorstTenth() float64 {
	var shares []float64
	for _, c := range r.byClient {
		shares = append(shares, c.credit/float64(c.requests))
	}
	slices.Sort(shares)
	n := max(len(shares)/10, 1)
	sum := 0.0
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(n)
}

// Quantile returns a quantile of the times to the reply, refusals included.
func (r *Report) Quantile(p float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(p*float64(len(r.latencies)-1))]
}

// String returns the figures as columns.
func (r *Report) String() string {
	return fmt.Sprintf("%.3f | %d | %d | %.3f | %.3f | %.3f", r.Within(), r.Quantile(0.5).Milliseconds(), r.Quantile(0.99).Milliseconds(),
		r.WorstTenth(), r.Rejected(), float64(r.extra)/float64(max(r.sends, 1)))
}

// Package wqtally adds up the outcomes of a load run and reports them.
//
// # Usage
//
//	t := wqtally.NewTally("bench/lookup/bench")
//	t.Answered(wqtally.Answer{Took: took, Total: 20, Covered: 20, Sent: 21, Hedges: 1})
//	t.Refused("overloaded", took)
//	line := t.Line(duration)
package wqtally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = 60 * time.Second // longest is the largest latency kept.
	digits  = 3                // digits is the decimal precision of the histogram.
)

// Tally adds up the outcomes of one stream. It is safe for use by many
// goroutines.
type Tally struct {
	Name string

	mutex    sync.Mutex
	latency  *hdrhistogram.Histogram
	answers  int
	whole    int
	total    int
	covered  int
	sent     int
	hedges   int
	missing  map[string]int
	refusals map[string]int
	wrong    map[string]int
}

// Answer is one answer that passed its check.
type Answer struct {
	Took    time.Duration // Took counts from the time that the query was due.
	Total   int           // Total is the shards of the snapshot.
	Covered int           // Covered is the shards that answered.
	Sent    int
	Hedges  int
	Missing []string // Missing holds the reason for each shard that did not answer.
}

// NewTally returns an empty tally.
func NewTally(name string) *Tally {
	return &Tally{
		Name:     name,
		latency:  hdrhistogram.New(1, longest.Microseconds(), digits),
		missing:  make(map[string]int),
		refusals: make(map[string]int),
		wrong:    make(map[string]int),
	}
}

// Answered adds an answer.
func (t *Tally) Answered(a Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.latency.RecordValue(min(a.Took, longest).Microseconds())
	t.answers++
	t.total += a.Total
	t.covered += a.Covered
	t.sent += a.Sent
	t.hedges += a.Hedges
	for _, why := range a.Missing {
		t.missing[why]++
	}
	if a.Total > 0 && a.Covered == a.Total {
		t.whole++
	}
}

// Refused adds a query that got a fault of this kind.
func (t *Tally) Refused(kind string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusals[kind]++
}

// Wrong adds an answer that failed its check.
func (t *Tally) Wrong(fault string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wrong[fault]++
}

// Merge adds everything of another tally.
func (t *Tally) Merge(other *Tally) {
	other.mutex.Lock()
	defer other.mutex.Unlock()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.latency.Merge(other.latency)
	t.answers += other.answers
	t.whole += other.whole
	t.total += other.total
	t.covered += other.covered
	t.sent += other.sent
	t.hedges += other.hedges
	add(t.missing, other.missing)
	add(t.refusals, other.refusals)
	add(t.wrong, other.wrong)
}

func add(counts, more map[string]int) {
	for k, n := range more {
		counts[k] += n
	}
}

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
	Latency        time.Duration // Latency counts from the time that the query was due.
	ShardsTotal    int           // ShardsTotal is the shards of the snapshot.
	ShardsAnswered int           // ShardsAnswered is the shards that answered.
	SubQueriesSent int
	HedgesSent     int
	MissingReasons []string // MissingReasons holds the reason for each shard that did not answer.
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

// AddAnswer adds an answer.
func (t *Tally) AddAnswer(a Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.latency.RecordValue(min(a.Latency, longest).Microseconds())
	t.answers++
	t.total += a.ShardsTotal
	t.covered += a.ShardsAnswered
	t.sent += a.SubQueriesSent
	t.hedges += a.HedgesSent
	for _, why := range a.MissingReasons {
		t.missing[why]++
	}
	if a.ShardsTotal > 0 && a.ShardsAnswered == a.ShardsTotal {
		t.whole++
	}
}

// AddRefusal adds a query that got a fault of this kind.
func (t *Tally) AddRefusal(kind string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusals[kind]++
}

// AddWrongAnswer adds an answer that failed its check.
func (t *Tally) AddWrongAnswer(fault string) {
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

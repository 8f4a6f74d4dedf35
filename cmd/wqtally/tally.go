// Package wqtally counts the outcomes of a load run and reports them.
//
// # Usage
//
//	t := wqtally.NewTally("bench/lookup/bench")
//	t.AddAnswer(wqtally.Answer{Latency: latency, ShardsTotal: 20, ShardsAnswered: 20, SubQueriesSent: 21, HedgesSent: 1})
//	t.AddRefusal("overloaded")
//	summary := t.Summary(duration)
package wqtally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 60 * time.Second // maxLatency is the largest latency recorded; longer ones count as this.
	significantDigits = 3                // significantDigits is the precision of recorded latencies, in decimal digits.
)

// Tally counts the outcomes of one stream. It is safe for use by many
// goroutines.
type Tally struct {
	Name string

	mutex           sync.Mutex
	latencyMicros   *hdrhistogram.Histogram
	answers         int
	completeAnswers int
	shardsTotal     int
	shardsAnswered  int
	subQueriesSent  int
	hedgesSent      int
	missingShards   map[string]int
	refusals        map[string]int
	wrongAnswers    map[string]int
}

// Answer is one answer that passed its check.
type Answer struct {
	Latency        time.Duration // Latency is the time from when the query was due to its answer.
	ShardsTotal    int           // ShardsTotal is the number of shards of the snapshot.
	ShardsAnswered int           // ShardsAnswered is the number of shards that answered.
	SubQueriesSent int
	HedgesSent     int
	MissingReasons []string // MissingReasons holds one reason for each shard that didn't answer.
}

// NewTally returns an empty tally of the stream with this name.
func NewTally(name string) *Tally {
	return &Tally{
		Name:          name,
		latencyMicros: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		missingShards: make(map[string]int),
		refusals:      make(map[string]int),
		wrongAnswers:  make(map[string]int),
	}
}

// AddAnswer counts an answer that passed its check.
func (t *Tally) AddAnswer(a Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.latencyMicros.RecordValue(min(a.Latency, maxLatency).Microseconds())
	t.answers++
	t.shardsTotal += a.ShardsTotal
	t.shardsAnswered += a.ShardsAnswered
	t.subQueriesSent += a.SubQueriesSent
	t.hedgesSent += a.HedgesSent
	for _, reason := range a.MissingReasons {
		t.missingShards[reason]++
	}
	if a.ShardsTotal > 0 && a.ShardsAnswered == a.ShardsTotal {
		t.completeAnswers++
	}
}

// AddRefusal counts a query that failed with an error of this kind.
func (t *Tally) AddRefusal(kind string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusals[kind]++
}

// AddWrongAnswer counts an answer that failed its check with this fault.
func (t *Tally) AddWrongAnswer(fault string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wrongAnswers[fault]++
}

// Merge adds all counts and latencies of another tally.
func (t *Tally) Merge(other *Tally) {
	other.mutex.Lock()
	defer other.mutex.Unlock()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.latencyMicros.Merge(other.latencyMicros)
	t.answers += other.answers
	t.completeAnswers += other.completeAnswers
	t.shardsTotal += other.shardsTotal
	t.shardsAnswered += other.shardsAnswered
	t.subQueriesSent += other.subQueriesSent
	t.hedgesSent += other.hedgesSent
	addCounts(t.missingShards, other.missingShards)
	addCounts(t.refusals, other.refusals)
	addCounts(t.wrongAnswers, other.wrongAnswers)
}

func addCounts(counts, added map[string]int) {
	for k, n := range added {
		counts[k] += n
	}
}

package wqtally

import (
	"fmt"
	"io"
	"maps"
	"text/tabwriter"
	"time"
)

// Summary holds the figures of one stream, or of all together: one row of a
// report.
type Summary struct {
	Name             string         `json:"name"`
	Answers          int            `json:"answers"`
	AnswersPerSecond float64        `json:"answers_per_second"`
	P50Millis        float64        `json:"p50_millis"`
	P90Millis        float64        `json:"p90_millis"`
	P99Millis        float64        `json:"p99_millis"`
	P999Millis       float64        `json:"p999_millis"`
	CompleteShare    float64        `json:"whole_share"`
	Coverage         float64        `json:"coverage"`        // Coverage is the share of shards that answered, over all answers.
	SentPerNeeded    float64        `json:"sent_per_needed"` // SentPerNeeded is the number of sub-queries sent for each one needed.
	HedgesPerNeeded  float64        `json:"hedges_per_needed"`
	MissingShards    map[string]int `json:"missing"` // MissingShards counts shards that didn't answer, by reason.
	Refusals         map[string]int `json:"refusals"`
	WrongAnswers     map[string]int `json:"wrong"`
}

// Report is the result of a load run.
type Report struct {
	Seed               uint64    `json:"seed"`
	Seconds            float64   `json:"seconds"`
	Offered            int       `json:"offered"`
	Skipped            int       `json:"skipped"`    // Skipped counts queries not sent because too many were in flight when they were due.
	SubQueriesRan      int       `json:"shards_ran"` // SubQueriesRan is the number of sub-queries that the searchers counted; -1 without their counters.
	CoverageOverstated bool      `json:"overstated"` // CoverageOverstated is true when the answers report more shards than the searchers counted sub-queries.
	Total              Summary   `json:"total"`
	Streams            []Summary `json:"streams"`
}

// Summary returns the figures of a tally that was collected over d.
func (t *Tally) Summary(d time.Duration) Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Summary{
		Name:             t.Name,
		Answers:          t.answers,
		AnswersPerSecond: float64(t.answers) / d.Seconds(),
		P50Millis:        t.quantileMillis(50),
		P90Millis:        t.quantileMillis(90),
		P99Millis:        t.quantileMillis(99),
		P999Millis:       t.quantileMillis(99.9),
		CompleteShare:    ratio(t.completeAnswers, t.answers),
		Coverage:         ratio(t.shardsAnswered, t.shardsTotal),
		SentPerNeeded:    ratio(t.subQueriesSent, t.shardsTotal),
		HedgesPerNeeded:  ratio(t.hedgesSent, t.shardsTotal),
		MissingShards:    maps.Clone(t.missingShards),
		Refusals:         maps.Clone(t.refusals),
		WrongAnswers:     maps.Clone(t.wrongAnswers),
	}
}

// ShardsAnswered returns the number of answered shards that the answers report.
func (t *Tally) ShardsAnswered() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.shardsAnswered
}

func (t *Tally) quantileMillis(percentile float64) float64 {
	return float64(t.latencyMicros.ValueAtQuantile(percentile)) / 1000
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteTable writes the report as a text table with one row for each stream. It
// returns the error of out.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\tanswers/s\tp50 ms\tp90\tp99\tp99.9\tcomplete %\tcoverage %\tsent/needed\thedges %\trefused\twrong\t")
	for _, l := range append(r.Streams, r.Total) {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.3f\t%.4f\t%.2f\t%d\t%d\t\n",
			l.Name, l.AnswersPerSecond, l.P50Millis, l.P90Millis, l.P99Millis, l.P999Millis, 100*l.CompleteShare, 100*l.Coverage,
			l.SentPerNeeded, 100*l.HedgesPerNeeded, sumCounts(l.Refusals), sumCounts(l.WrongAnswers))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "seed %d, %.1f s, %d offered, %d skipped, searchers ran %d sub-queries, missing %v, refusals %v, wrong %v\n",
		r.Seed, r.Seconds, r.Offered, r.Skipped, r.SubQueriesRan, r.Total.MissingShards, r.Total.Refusals, r.Total.WrongAnswers)
	return err
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

package wqtally

import (
	"fmt"
	"io"
	"maps"
	"text/tabwriter"
	"time"
)

// Summary is one row of a report. Times are in milliseconds.
type Summary struct {
	Name             string         `json:"name"`
	Answers          int            `json:"answers"`
	AnswersPerSecond float64        `json:"answers_per_second"`
	P50Millis        float64        `json:"p50_millis"`
	P90Millis        float64        `json:"p90_millis"`
	P99Millis        float64        `json:"p99_millis"`
	P999Millis       float64        `json:"p999_millis"`
	CompleteShare    float64        `json:"whole_share"`
	Coverage         float64        `json:"coverage"`        // Coverage is the share of shards answered, over all answers.
	SentPerNeeded    float64        `json:"sent_per_needed"` // SentPerNeeded is sub-queries sent for each one needed.
	HedgesPerNeeded  float64        `json:"hedges_per_needed"`
	MissingShards    map[string]int `json:"missing"` // MissingShards counts shards that did not answer, by reason.
	Refusals         map[string]int `json:"refusals"`
	WrongAnswers     map[string]int `json:"wrong"`
}

// Report is the outcome of a run.
type Report struct {
	Seed               uint64    `json:"seed"`
	Seconds            float64   `json:"seconds"`
	Offered            int       `json:"offered"`
	Skipped            int       `json:"skipped"`    // Skipped queries were due while too many were under way; they were not sent.
	SubQueriesRan      int       `json:"shards_ran"` // SubQueriesRan is how many sub-queries the searchers say they ran; -1 when not asked.
	CoverageOverstated bool      `json:"overstated"` // CoverageOverstated is true when the answers claim more shards than the searchers ran.
	Total              Summary   `json:"total"`
	Streams            []Summary `json:"streams"`
}

// Summary returns the figures of a tally over a duration.
func (t *Tally) Summary(d time.Duration) Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Summary{
		Name:             t.Name,
		Answers:          t.answers,
		AnswersPerSecond: float64(t.answers) / d.Seconds(),
		P50Millis:        t.quantile(50),
		P90Millis:        t.quantile(90),
		P99Millis:        t.quantile(99),
		P999Millis:       t.quantile(99.9),
		CompleteShare:    share(t.whole, t.answers),
		Coverage:         share(t.covered, t.total),
		SentPerNeeded:    share(t.sent, t.total),
		HedgesPerNeeded:  share(t.hedges, t.total),
		MissingShards:    maps.Clone(t.missing),
		Refusals:         maps.Clone(t.refusals),
		WrongAnswers:     maps.Clone(t.wrong),
	}
}

// ShardsAnswered returns how many shards the answers claim.
func (t *Tally) ShardsAnswered() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.covered
}

func (t *Tally) quantile(q float64) float64 {
	return float64(t.latency.ValueAtQuantile(q)) / 1000
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteTable prints the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\tanswers/s\tp50 ms\tp90\tp99\tp99.9\twhole %\tcoverage %\tsent/needed\thedges %\trefused\twrong\t")
	for _, l := range append(r.Streams, r.Total) {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.3f\t%.4f\t%.2f\t%d\t%d\t\n",
			l.Name, l.AnswersPerSecond, l.P50Millis, l.P90Millis, l.P99Millis, l.P999Millis, 100*l.CompleteShare, 100*l.Coverage,
			l.SentPerNeeded, 100*l.HedgesPerNeeded, sum(l.Refusals), sum(l.WrongAnswers))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "seed %d, %.1f s, %d offered, %d skipped, searchers ran %d sub-queries, missing %v, refusals %v, wrong %v\n",
		r.Seed, r.Seconds, r.Offered, r.Skipped, r.SubQueriesRan, r.Total.MissingShards, r.Total.Refusals, r.Total.WrongAnswers)
	return err
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

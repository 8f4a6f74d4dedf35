package wqtally

import (
	"fmt"
	"io"
	"maps"
	"text/tabwriter"
	"time"
)

// Line is one row of a report. Times are in milliseconds.
type Line struct {
	Name       string         `json:"name"`
	Answers    int            `json:"answers"`
	AnswerRate float64        `json:"answers_per_second"`
	P50        float64        `json:"p50_millis"`
	P90        float64        `json:"p90_millis"`
	P99        float64        `json:"p99_millis"`
	P999       float64        `json:"p999_millis"`
	WholeShare float64        `json:"whole_share"`
	Coverage   float64        `json:"coverage"`        // Coverage is the share of shards answered, over all answers.
	SentShare  float64        `json:"sent_per_needed"` // SentShare is sub-queries sent for each one needed.
	HedgeShare float64        `json:"hedges_per_needed"`
	Missing    map[string]int `json:"missing"` // Missing counts shards that did not answer, by reason.
	Refusals   map[string]int `json:"refusals"`
	Wrong      map[string]int `json:"wrong"`
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Offered    int     `json:"offered"`
	Skipped    int     `json:"skipped"`    // Skipped queries were due while too many were under way; they were not sent.
	ShardsRan  int     `json:"shards_ran"` // ShardsRan is how many sub-queries the searchers say they ran; -1 when not asked.
	Overstated bool    `json:"overstated"` // Overstated is true when the answers claim more shards than the searchers ran.
	Total      Line    `json:"total"`
	Streams    []Line  `json:"streams"`
}

// Line returns the figures of a tally over a duration.
func (t *Tally) Line(d time.Duration) Line {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Line{
		Name:       t.Name,
		Answers:    t.answers,
		AnswerRate: float64(t.answers) / d.Seconds(),
		P50:        t.quantile(50),
		P90:        t.quantile(90),
		P99:        t.quantile(99),
		P999:       t.quantile(99.9),
		WholeShare: share(t.whole, t.answers),
		Coverage:   share(t.covered, t.total),
		SentShare:  share(t.sent, t.total),
		HedgeShare: share(t.hedges, t.total),
		Missing:    maps.Clone(t.missing),
		Refusals:   maps.Clone(t.refusals),
		Wrong:      maps.Clone(t.wrong),
	}
}

// Covered returns how many shards the answers claim.
func (t *Tally) Covered() int {
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

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "stream\tanswers/s\tp50 ms\tp90\tp99\tp99.9\twhole %\tcoverage %\tsent/needed\thedges %\trefused\twrong\t")
	for _, l := range append(r.Streams, r.Total) {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.3f\t%.4f\t%.2f\t%d\t%d\t\n",
			l.Name, l.AnswerRate, l.P50, l.P90, l.P99, l.P999, 100*l.WholeShare, 100*l.Coverage,
			l.SentShare, 100*l.HedgeShare, sum(l.Refusals), sum(l.Wrong))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "seed %d, %.1f s, %d offered, %d skipped, searchers ran %d sub-queries, missing %v, refusals %v, wrong %v\n",
		r.Seed, r.Seconds, r.Offered, r.Skipped, r.ShardsRan, r.Total.Missing, r.Total.Refusals, r.Total.Wrong)
	return err
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

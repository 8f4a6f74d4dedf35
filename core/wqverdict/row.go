package wqverdict

import (
	"math"
	"time"
)

// BucketCount is the number of latency buckets. Four buckets cover a doubling, the
// first starts at 0.125 ms and the last at 6.9 s.
const BucketCount = 64

const (
	bucketsPerDoubling = 4
	firstBucket        = 125 * time.Microsecond
)

// Row counts the responses of one route by one side: the searchers of the new version
// or all others. Counts only grow.
type Row struct {
	Route    string   `json:"route"`
	Far      bool     `json:"far,omitempty"`      // Far is true for searchers of other availability zones than the sender's.
	New      bool     `json:"new,omitempty"`      // New is true for the new version.
	Searcher string   `json:"searcher,omitempty"` // Searcher is set for the new version only.
	Answered uint64   `json:"answered,omitempty"`
	Failed   uint64   `json:"failed,omitempty"`  // Failed counts complete responses that report a failure.
	Lost     uint64   `json:"lost,omitempty"`    // Lost counts sends whose response is missing or invalid.
	Latency  []uint32 `json:"latency,omitempty"` // Latency counts answers outside of a cold start, by bucket.
	Cut      []uint32 `json:"cut,omitempty"`     // Cut counts sends that the sender gave up, by the bucket of the time waited.
}

// Key identifies a Row within the evidence of one sender.
type Key struct {
	Route    string
	Far      bool
	New      bool
	Searcher string
}

// Key returns the identity of a row.
func (r *Row) Key() Key { return Key{r.Route, r.Far, r.New, r.Searcher} }

// Bucket returns the index of a latency.
func Bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(BucketCount-1, int(bucketsPerDoubling*math.Log2(float64(d)/float64(firstBucket))))
}

// Add adds the counts of another row of the same key.
func (r *Row) Add(o *Row) {
	r.Answered, r.Failed, r.Lost = r.Answered+o.Answered, r.Failed+o.Failed, r.Lost+o.Lost
	r.Latency, r.Cut = addBuckets(r.Latency, o.Latency), addBuckets(r.Cut, o.Cut)
}

func addBuckets(sum, o []uint32) []uint32 {
	if len(o) > BucketCount {
		o = o[:BucketCount]
	}
	if len(sum) < len(o) {
		sum = append(sum, make([]uint32, len(o)-len(sum))...)
	}
	for i, n := range o {
		sum[i] += n
	}
	return sum
}

// Since returns the growth from an earlier state of the row to r. A count that has not
// grown gives 0.
func (r *Row) Since(earlier *Row) Row {
	d := Row{Route: r.Route, Far: r.Far, New: r.New, Searcher: r.Searcher}
	d.Answered, d.Failed, d.Lost = growth(r.Answered, earlier.Answered), growth(r.Failed, earlier.Failed), growth(r.Lost, earlier.Lost)
	d.Latency, d.Cut = bucketGrowth(r.Latency, earlier.Latency), bucketGrowth(r.Cut, earlier.Cut)
	return d
}

func bucketGrowth(now, earlier []uint32) []uint32 {
	if len(now) > BucketCount {
		now = now[:BucketCount]
	}
	var d []uint32
	for i, n := range now {
		before := uint32(0)
		if i < len(earlier) {
			before = earlier[i]
		}
		if n > before {
			if d == nil {
				d = make([]uint32, len(now))
			}
			d[i] = n - before
		}
	}
	return d
}

func growth(now, earlier uint64) uint64 {
	if now < earlier {
		return 0
	}
	return now - earlier
}

package wqquotaledger

import (
	"time"

	"wisteriaquay/core/wqquota"
)

const (
	// bucketEntry is the part of a full bucket under which strict mode begins.
	bucketEntry = 0.3
	// bucketExit is the part of a full bucket from which strict mode may end.
	bucketExit = 0.6
	// lateReserve is the part of a full bucket that is left to requests which can still be
	// answered within their objective.
	lateReserve = 0.25
	// blindPace is the time from which an owner that does not know all requests of the
	// last window grants the quota's rate. Until then VMs that have started together do
	// not know each other, and each of them may take itself for an owner.
	blindPace = 2 * time.Second
)

// bucket paces the requests that an owner grants at the quota's rate. A sliding window
// alone would let an account that sends several times its quota use up a whole window at
// once and then nothing until that has passed, while callers may send at the rate all the
// time. What VMs admit in free mode beyond an empty bucket is no debt, since later requests
// at the rate would be refused for it; the window's bound holds for it.
type bucket struct {
	level float64
	at    time.Time // at is the time of the level; the bucket fills from then on.
}

// bucketSize returns the level of a full bucket, which holds one request at least.
func bucketSize(l wqquota.Limit) float64 { return max(1, l.Burst+bucketReserve*reserve(l)) }

// newBucket returns a full bucket, or for an owner that does not know earlier requests one
// that holds only what may be exceeded, and fills after blindPace.
func newBucket(now time.Time, l wqquota.Limit, blind bool) bucket {
	if blind {
		return bucket{level: bucketReserve * reserve(l), at: now.Add(blindPace)}
	}
	return bucket{level: bucketSize(l), at: now}
}

// fill adds what has accrued until now. Share is the part of the rate that VMs which the
// owner can't reach do not use by themselves.
func (b *bucket) fill(now time.Time, l wqquota.Limit, share float64) {
	if now.After(b.at) {
		b.level += l.Rate * share * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, bucketSize(l))
}

// take takes one request out.
func (b *bucket) take() { b.level = max(0, b.level-1) }

// wait returns the time until the n-th request from now may be granted.
func (b *bucket) wait(now time.Time, l wqquota.Limit, n int) time.Duration {
	seconds := max(0, float64(n)-b.level) / l.Rate
	return max(0, b.at.Sub(now)) + time.Duration(min(seconds, 60)*float64(time.Second))
}

// Package wqanswercheck checks that query answers are consistent and hold the
// right rows. It relies on the fake searchers, whose rows are a function of
// service, shard, snapshot and request body, and whose row bodies name the
// service, shard and snapshot.
//
// # Usage
//
//	c := wqanswercheck.NewChecker()
//	if fault := c.Check(request, response); fault != "" { ... the answer is wrong ... }
//
// A Checker records what each shard answered to each request body, so that it
// detects an answer that belongs to another request or snapshot.
package wqanswercheck

import (
	"fmt"
	"hash/maphash"
	"sync"

	"wisteriaquay/io/wqpb"
)

// Checker checks each answer by itself and against earlier ones. It is safe for
// use by many goroutines. Its memory grows with the number of services, shards,
// snapshots and bodies.
type Checker struct {
	mutex          sync.Mutex
	matchedByShard map[bodyKey]uint64 // number of matching rows of one shard
	rowDigests     map[bodyKey]uint64 // digest of all rows of a complete answer; the shard is empty
	shardTotals    map[snapshotKey]uint32
	hashSeed       maphash.Seed
}

type snapshotKey struct {
	service  string
	snapshot uint64
}

type bodyKey struct {
	snapshotKey
	shard string
	body  string
}

// NewChecker returns a checker with no earlier answers.
func NewChecker() *Checker {
	return &Checker{
		matchedByShard: make(map[bodyKey]uint64),
		rowDigests:     make(map[bodyKey]uint64),
		shardTotals:    make(map[snapshotKey]uint32),
		hashSeed:       maphash.MakeSeed(),
	}
}

// Check returns the first fault that it finds in an answer, such as
// "row_count", or "" when the answer is right.
func (c *Checker) Check(q *wqpb.QueryRequest, a *wqpb.QueryResponse) string {
	if a.GetRequestId() != q.GetRequestId() {
		return "other_request"
	}
	matched, fault := checkCoverage(a)
	if fault != "" {
		return fault
	}
	if fault := checkRows(q, a, matched); fault != "" {
		return fault
	}
	return c.checkAgainstEarlier(q, a)
}

// checkCoverage checks that the answer's shard counts add up and that it lists
// no shard twice. It returns the number of matching rows by shard, and the fault
// or "".
func checkCoverage(a *wqpb.QueryResponse) (map[string]uint32, string) {
	matched := make(map[string]uint32, len(a.GetCounts()))
	for _, n := range a.GetCounts() {
		if _, duplicate := matched[n.GetShard()]; duplicate {
			return nil, "shard_twice"
		}
		matched[n.GetShard()] = n.GetMatched()
	}
	for _, m := range a.GetMissing() {
		if _, answered := matched[m.GetShard()]; answered {
			return nil, "missing_but_answered"
		}
	}
	answered := uint32(len(a.GetCounts()))
	if a.GetShardsAnswered() != answered || a.GetShardsTotal() != answered+uint32(len(a.GetMissing())) {
		return nil, "coverage_does_not_add_up"
	}
	return matched, ""
}

// checkRows checks that each row is of an answered shard and the answer's
// snapshot, that none occurs twice, that they are sorted by descending score and
// that there are as many as matched, up to the limit.
func checkRows(q *wqpb.QueryRequest, a *wqpb.QueryResponse, matched map[string]uint32) string {
	type rowKey struct{ shard, key string }
	seen := make(map[rowKey]bool, len(a.GetRows()))
	var wantedRows uint32
	for _, n := range matched {
		wantedRows += n
	}
	limit := q.GetLimit()
	if wantedRows = min(wantedRows, limit); limit != 0 && uint32(len(a.GetRows())) != wantedRows {
		return "row_count"
	}
	for i, r := range a.GetRows() {
		k := rowKey{r.GetShard(), r.GetKey()}
		if seen[k] {
			return "row_twice"
		}
		seen[k] = true
		if _, answered := matched[r.GetShard()]; !answered {
			return "row_of_missing_shard"
		}
		if string(r.GetBody()) != fmt.Sprintf("%s/%s@%d", q.GetService(), r.GetShard(), a.GetSnapshot()) {
			return "row_of_other_snapshot"
		}
		if i > 0 && a.GetRows()[i-1].GetScore() < r.GetScore() {
			return "row_order"
		}
	}
	return ""
}

// checkAgainstEarlier compares an answer with earlier answers to the same body,
// and records it.
func (c *Checker) checkAgainstEarlier(q *wqpb.QueryRequest, a *wqpb.QueryResponse) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := snapshotKey{q.GetService(), a.GetSnapshot()}
	body := string(q.GetBody())
	if total, exists := c.shardTotals[key]; exists && total != a.GetShardsTotal() {
		return "shard_total"
	}
	c.shardTotals[key] = a.GetShardsTotal()
	for _, n := range a.GetCounts() {
		if !recordAndCompare(c.matchedByShard, bodyKey{key, n.GetShard(), body}, uint64(n.GetMatched())) {
			return "count_of_other_request"
		}
	}
	if len(a.GetMissing()) == 0 && !recordAndCompare(c.rowDigests, bodyKey{key, "", body}, c.digestRows(a)) {
		return "rows_of_other_request"
	}
	return ""
}

// recordAndCompare records a value and reports whether it equals the one recorded
// before, if any.
func recordAndCompare(recorded map[bodyKey]uint64, key bodyKey, value uint64) bool {
	earlier, exists := recorded[key]
	recorded[key] = value
	return !exists || earlier == value
}

func (c *Checker) digestRows(a *wqpb.QueryResponse) uint64 {
	var h maphash.Hash
	h.SetSeed(c.hashSeed)
	for _, r := range a.GetRows() {
		_, _ = h.WriteString(r.GetShard())
		_, _ = h.WriteString(r.GetKey())
	}
	return h.Sum64()
}

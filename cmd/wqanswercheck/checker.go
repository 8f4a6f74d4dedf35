// Package wqanswercheck checks answers instead of trusting their labels. It relies on
// the stand-in searchers, whose rows are a function of service, shard, snapshot
// and request body, and whose row bodies name where they come from.
//
// # Usage
//
//	c := wqanswercheck.NewChecker()
//	if fault := c.Check(request, response); fault != "" { ... the answer is wrong ... }
//
// A Checker remembers what each shard answered to each request body, so that an
// answer of another request or snapshot is noticed.
package wqanswercheck

import (
	"fmt"
	"hash/maphash"
	"sync"

	"wisteriaquay/io/wqpb"
)

// Checker compares answers with each other. It is safe for use by many
// goroutines. Its memory grows with services, shards, snapshots and bodies.
type Checker struct {
	mutex  sync.Mutex
	shards map[place]uint64 // shards holds how many rows matched.
	rows   map[place]uint64 // rows holds the digest of a whole answer's rows.
	totals map[version]uint32
	seed   maphash.Seed
}

type version struct {
	service  string
	snapshot uint64
}

type place struct {
	version
	shard string
	body  string
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		shards: make(map[place]uint64),
		rows:   make(map[place]uint64),
		totals: make(map[version]uint32),
		seed:   maphash.MakeSeed(),
	}
}

// Check returns what is wrong with an answer, or "".
func (c *Checker) Check(q *wqpb.QueryRequest, a *wqpb.QueryResponse) string {
	if a.GetRequestId() != q.GetRequestId() {
		return "other_request"
	}
	matched, fault := label(a)
	if fault != "" {
		return fault
	}
	if fault := rows(q, a, matched); fault != "" {
		return fault
	}
	return c.compare(q, a)
}

// label checks that coverage adds up and no shard counts twice.
func label(a *wqpb.QueryResponse) (map[string]uint32, string) {
	matched := make(map[string]uint32, len(a.GetCounts()))
	for _, n := range a.GetCounts() {
		if _, twice := matched[n.GetShard()]; twice {
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

// rows checks that all rows are of the answer's shards and snapshot, once each
// and as many as matched.
func rows(q *wqpb.QueryRequest, a *wqpb.QueryResponse, matched map[string]uint32) string {
	type key struct{ shard, key string }
	seen := make(map[key]bool, len(a.GetRows()))
	var wanted uint32
	for _, n := range matched {
		wanted += n
	}
	limit := q.GetLimit()
	if wanted = min(wanted, limit); limit != 0 && uint32(len(a.GetRows())) != wanted {
		return "row_count"
	}
	for i, r := range a.GetRows() {
		k := key{r.GetShard(), r.GetKey()}
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

// compare checks an answer against what was answered to the same body before.
func (c *Checker) compare(q *wqpb.QueryRequest, a *wqpb.QueryResponse) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	v := version{q.GetService(), a.GetSnapshot()}
	body := string(q.GetBody())
	if total, seen := c.totals[v]; seen && total != a.GetShardsTotal() {
		return "shard_total"
	}
	c.totals[v] = a.GetShardsTotal()
	for _, n := range a.GetCounts() {
		if !same(c.shards, place{v, n.GetShard(), body}, uint64(n.GetMatched())) {
			return "count_of_other_request"
		}
	}
	if len(a.GetMissing()) == 0 && !same(c.rows, place{v, "", body}, c.digest(a)) {
		return "rows_of_other_request"
	}
	return ""
}

// same remembers a value and reports whether it is the one seen before.
func same(seen map[place]uint64, p place, value uint64) bool {
	before, known := seen[p]
	seen[p] = value
	return !known || before == value
}

func (c *Checker) digest(a *wqpb.QueryResponse) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	for _, r := range a.GetRows() {
		_, _ = h.WriteString(r.GetShard())
		_, _ = h.WriteString(r.GetKey())
	}
	return h.Sum64()
}

package wqholder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

// part gathers the results of one FanPart after the other.
type part struct {
	fan     *fan
	results []result
	rows    []ranked
	urgent  bool // urgent is true when the entry may act on a result.
}

// ranked is a row with the snapshot and the shard that it comes from.
type ranked struct {
	row      *wqtarget.Row
	shard    string
	snapshot uint64
}

// add takes a result, unless the part has an answer of the same shard: its rows
// would be mistaken for each other.
func (p *part) add(r result) bool {
	if p.fan.twice && r.answered() && slices.ContainsFunc(p.results, r.sameShard) {
		return false
	}
	r.after = time.Since(p.fan.arrived)
	r.task.reported = true
	p.fan.open--
	p.urgent = p.urgent || !r.answered()
	p.results = append(p.results, r)
	return true
}

func (r result) answered() bool { return r.status == wqobservation.Answered && r.answer != nil }

func (r result) sameShard(other result) bool {
	return other.answered() && other.task.sub.Shard == r.task.sub.Shard
}

// flush sends the part and empties it.
func (p *part) flush(send func(*wqpb.FanPart) error) error {
	if len(p.results) == 0 {
		return nil
	}
	if err := send(p.finish()); err != nil {
		return eris.Wrap(err, "send a part")
	}
	clear(p.results)
	p.results = p.results[:0]
	p.urgent = false
	return nil
}

// finish returns the part with its results and the best rows of each snapshot.
func (p *part) finish() *wqpb.FanPart {
	messages := make([]wqpb.SubResult, len(p.results))
	out := &wqpb.FanPart{
		RequestId: p.fan.request.RequestId,
		Results:   make([]*wqpb.SubResult, len(p.results)),
	}
	for i := range p.results {
		fill(&messages[i], &p.results[i])
		out.Results[i] = &messages[i]
	}
	out.Rows = rowMessages(p.bestRows())
	return out
}

func fill(m *wqpb.SubResult, r *result) {
	m.Shard = r.task.sub.Shard
	m.Searcher = r.task.sub.Searcher
	m.Status = SubStatus(r.status)
	m.Oldest, m.Newest = r.oldest, r.newest
	m.Micros = uint32(r.after.Microseconds())
	if r.sent {
		m.Sent = 1
	}
	if r.answer != nil {
		m.Snapshot = r.answer.Snapshot
		m.Matched = r.answer.Matched
	}
}

// bestRows returns at most the limit of rows of each snapshot, best first. Rows
// of one snapshot never displace those of another.
func (p *part) bestRows() []ranked {
	rows := p.allRows()
	slices.SortFunc(rows, compareRows)
	kept := rows[:0]
	count := 0
	for i, r := range rows {
		if i > 0 && r.snapshot != rows[i-1].snapshot {
			count = 0
		}
		if count < p.fan.limit {
			kept = append(kept, r)
		}
		count++
	}
	return kept
}

func (p *part) allRows() []ranked {
	rows := p.rows[:0]
	for i := range p.results {
		r := &p.results[i]
		if !r.answered() {
			continue
		}
		for j := range r.answer.Rows {
			rows = append(rows, ranked{&r.answer.Rows[j], r.answer.Shard, r.answer.Snapshot})
		}
	}
	p.rows = rows
	return rows
}

func compareRows(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(a.snapshot, b.snapshot),
		cmp.Compare(b.row.Score, a.row.Score),
		strings.Compare(a.row.Key, b.row.Key),
		strings.Compare(a.shard, b.shard),
	)
}

func rowMessages(rows []ranked) []*wqpb.Row {
	if len(rows) == 0 {
		return nil
	}
	messages := make([]wqpb.Row, len(rows))
	out := make([]*wqpb.Row, len(rows))
	for i, r := range rows {
		m := &messages[i]
		m.Shard, m.Key, m.Score, m.Body = r.shard, r.row.Key, r.row.Score, r.row.Body
		out[i] = m
	}
	return out
}

// SubStatus returns the wire form of a status.
func SubStatus(s wqobservation.Status) wqpb.SubStatus {
	return wqpb.SubStatus(s) + wqpb.SubStatus_SUB_STATUS_ANSWERED
}

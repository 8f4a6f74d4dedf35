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

// partBuilder collects results into a FanPart and is reused for the next one.
type partBuilder struct {
	fanOut  *fanOut
	results []result
	rows    []rowRef
	sendNow bool // holds a result without an answer, to which the entry VM may react
}

// rowRef is a row with its shard and snapshot.
type rowRef struct {
	row      *wqtarget.Row
	shard    string
	snapshot uint64
}

// add adds a result and returns true, or returns false if the part already has an
// answer of the same shard. Rows name only their shard, so the rows of the two
// answers could not be distinguished.
func (p *partBuilder) add(r result) bool {
	if p.fanOut.repeatedShards && r.answered() && slices.ContainsFunc(p.results, r.sameShard) {
		return false
	}
	r.elapsed = time.Since(p.fanOut.arrivedAt)
	r.task.hasResult = true
	p.fanOut.pending--
	p.sendNow = p.sendNow || !r.answered()
	p.results = append(p.results, r)
	return true
}

// addOrFlush adds a result; it first sends the part if that can't take the result.
func (p *partBuilder) addOrFlush(r result, send func(*wqpb.FanPart) error) error {
	if p.add(r) {
		return nil
	}
	if err := p.flush(send); err != nil {
		return err
	}
	p.add(r)
	return nil
}

func (r result) answered() bool { return r.status == wqobservation.Answered && r.answer != nil }

func (r result) sameShard(other result) bool {
	return other.answered() && other.task.sub.Shard == r.task.sub.Shard
}

// flush sends the part and clears it; an empty part is not sent.
func (p *partBuilder) flush(send func(*wqpb.FanPart) error) error {
	if len(p.results) == 0 {
		return nil
	}
	if err := send(p.message()); err != nil {
		return eris.Wrap(err, "sending a FanPart")
	}
	clear(p.results)
	p.results = p.results[:0]
	p.sendNow = false
	return nil
}

// message returns the FanPart with all results and the top rows of each snapshot.
func (p *partBuilder) message() *wqpb.FanPart {
	messages := make([]wqpb.SubResult, len(p.results))
	part := &wqpb.FanPart{
		RequestId: p.fanOut.request.RequestId,
		Results:   make([]*wqpb.SubResult, len(p.results)),
	}
	for i := range p.results {
		fillResult(&messages[i], &p.results[i])
		part.Results[i] = &messages[i]
	}
	part.Rows = rowMessages(p.topRows())
	return part
}

func fillResult(m *wqpb.SubResult, r *result) {
	m.Shard = r.task.sub.Shard
	m.Searcher = r.task.sub.Searcher
	m.Status = SubStatus(r.status)
	m.Oldest, m.Newest = r.oldestSnapshot, r.newestSnapshot
	m.Micros = uint32(r.elapsed.Microseconds())
	if r.maybeSent {
		m.Sent = 1
	}
	if r.answer != nil {
		m.Snapshot = r.answer.Snapshot
		m.Matched = r.answer.Matched
	}
}

// topRows returns up to maxRows rows of each snapshot, with the highest score
// first. Rows of one snapshot never displace those of another.
func (p *partBuilder) topRows() []rowRef {
	rows := p.allRows()
	slices.SortFunc(rows, compareRows)
	top := rows[:0]
	count := 0
	for i, r := range rows {
		if i > 0 && r.snapshot != rows[i-1].snapshot {
			count = 0
		}
		if count < p.fanOut.maxRows {
			top = append(top, r)
		}
		count++
	}
	return top
}

func (p *partBuilder) allRows() []rowRef {
	rows := p.rows[:0]
	for i := range p.results {
		r := &p.results[i]
		if !r.answered() {
			continue
		}
		for j := range r.answer.Rows {
			rows = append(rows, rowRef{&r.answer.Rows[j], r.answer.Shard, r.answer.Snapshot})
		}
	}
	p.rows = rows
	return rows
}

func compareRows(a, b rowRef) int {
	return cmp.Or(
		cmp.Compare(a.snapshot, b.snapshot),
		cmp.Compare(b.row.Score, a.row.Score),
		strings.Compare(a.row.Key, b.row.Key),
		strings.Compare(a.shard, b.shard),
	)
}

func rowMessages(rows []rowRef) []*wqpb.Row {
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

// SubStatus returns the protobuf value of a status.
func SubStatus(s wqobservation.Status) wqpb.SubStatus {
	return wqpb.SubStatus(s) + wqpb.SubStatus_SUB_STATUS_ANSWERED
}

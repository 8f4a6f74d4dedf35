package wqentry

import (
	"context"
	"time"

	"wisteriaquay/core/wqanswer"
	"wisteriaquay/core/wqfanout"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
)

// queryMachine is the subset of wqfanout.Query used by the driver.
type queryMachine interface {
	Start(now time.Time, v *wqview.View) wqfanout.Actions
	HandleReply(now time.Time, v *wqview.View, p *wqfanout.ReplyPart) wqfanout.Actions
	HandleCallEnd(now time.Time, v *wqview.View, batch int, status wqobservation.Status) wqfanout.Actions
	Wake(now time.Time, v *wqview.View) wqfanout.Actions
	NextWake() time.Time
}

// callEvent is a message received from a holder, or the end of the call if part is
// nil.
type callEvent struct {
	batch  int
	part   *wqpb.FanPart
	status wqobservation.Status
}

// eventBuffer is the number of events buffered for the query's goroutine.
const eventBuffer = 32

// driver executes the actions of one query's state machine.
type driver struct {
	request   *Request
	deadline  time.Time
	holder    func(memberID string) HolderClient
	view      func() *wqview.View
	events    chan callEvent
	cancels   map[int]context.CancelFunc
	replyPart wqfanout.ReplyPart // reused for each message; the state machine keeps no reference to its slices
}

func newDriver(r *Request, deadline time.Time, holder func(string) HolderClient, view func() *wqview.View) *driver {
	return &driver{
		request:  r,
		deadline: deadline,
		holder:   holder,
		view:     view,
		events:   make(chan callEvent, eventBuffer),
		cancels:  make(map[int]context.CancelFunc),
	}
}

// run drives the state machine until the query is done or ctx ends, and cancels
// all calls before it returns.
func (d *driver) run(ctx context.Context, q queryMachine) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actions := q.Start(time.Now(), d.view())
	timer := time.NewTimer(time.Until(q.NextWake()))
	defer timer.Stop()
	for d.execute(ctx, actions) {
		timer.Reset(time.Until(q.NextWake()))
		select {
		case e := <-d.events:
			actions = d.handle(q, e)
		case <-timer.C:
			actions = q.Wake(time.Now(), d.view())
		case <-ctx.Done():
			q.Wake(d.deadline, d.view())
			return
		}
	}
}

// execute starts and cancels calls. It returns false if the query is done.
func (d *driver) execute(ctx context.Context, actions wqfanout.Actions) bool {
	for _, id := range actions.CancelIDs {
		if cancel := d.cancels[id]; cancel != nil {
			cancel()
			delete(d.cancels, id)
		}
	}
	if actions.Done {
		return false
	}
	for i := range actions.Batches {
		b := &actions.Batches[i]
		call, cancel := context.WithCancel(ctx)
		d.cancels[b.ID] = cancel
		go d.call(call, b.ID, b.MemberID, d.encode(b))
	}
	return true
}

func (d *driver) handle(q queryMachine, e callEvent) wqfanout.Actions {
	if e.part == nil {
		return q.HandleCallEnd(time.Now(), d.view(), e.batch, e.status)
	}
	d.replyPart.BatchID = e.batch
	decode(&d.replyPart, e.part)
	return q.HandleReply(time.Now(), d.view(), &d.replyPart)
}

// call makes one call to a holder and sends its messages and its end to events.
func (d *driver) call(ctx context.Context, batch int, memberID string, r *wqpb.FanRequest) {
	deliver := func(e callEvent) error {
		select {
		case d.events <- e:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c := d.holder(memberID)
	if c == nil {
		_ = deliver(callEvent{batch: batch, status: wqobservation.Unreachable})
		return
	}
	err := c.FanOut(ctx, r, func(p *wqpb.FanPart) error { return deliver(callEvent{batch: batch, part: p}) })
	status := wqobservation.Broken
	if err != nil && wqfault.KindOf(err).NotRun() {
		status = wqobservation.Unreachable
	}
	_ = deliver(callEvent{batch: batch, status: status})
}

// encode returns the message for a batch. The deadline is sent as the time
// remaining, in microseconds.
func (d *driver) encode(b *wqfanout.Batch) *wqpb.FanRequest {
	subQueries := make([]wqpb.SubQuery, len(b.SubQueries))
	pointers := make([]*wqpb.SubQuery, len(b.SubQueries))
	for i, s := range b.SubQueries {
		pointers[i] = &subQueries[i]
		pointers[i].Shard, pointers[i].Searcher, pointers[i].Hedge = s.Shard, s.SearcherID, s.Hedge
	}
	return &wqpb.FanRequest{
		RequestId:       d.request.RequestID,
		Service:         d.request.Service,
		Snapshot:        b.Snapshot,
		Body:            d.request.Body,
		RemainingMicros: uint32(max(time.Until(d.deadline), 0).Microseconds()),
		Limit:           uint32(rowLimit(d.request)),
		Revision:        d.view().Index.Topology.Revision,
		SubQueries:      pointers,
		Tenant:          d.request.Tenant,
		Class:           d.request.Class,
	}
}

// decode converts a holder's message into part and reuses its slices.
func decode(part *wqfanout.ReplyPart, p *wqpb.FanPart) {
	part.RequestID = p.GetRequestId()
	part.Results = part.Results[:0]
	part.Rows = part.Rows[:0]
	for _, r := range p.GetResults() {
		part.Results = append(part.Results, wqfanout.Result{
			Shard:          r.GetShard(),
			SearcherID:     r.GetSearcher(),
			Status:         statusOf(r.GetStatus()),
			Snapshot:       r.GetSnapshot(),
			OldestSnapshot: r.GetOldest(),
			NewestSnapshot: r.GetNewest(),
			MatchedRows:    r.GetMatched(),
			Sent:           r.GetSent() > 0,
		})
	}
	for _, r := range p.GetRows() {
		part.Rows = append(part.Rows, wqanswer.Row{Shard: r.GetShard(), Key: r.GetKey(), Score: r.GetScore(), Body: r.GetBody()})
	}
}

func statusOf(s wqpb.SubStatus) wqobservation.Status {
	switch s {
	case wqpb.SubStatus_SUB_STATUS_ANSWERED:
		return wqobservation.Answered
	case wqpb.SubStatus_SUB_STATUS_SNAPSHOT_GONE:
		return wqobservation.SnapshotGone
	case wqpb.SubStatus_SUB_STATUS_SHED:
		return wqobservation.Shed
	case wqpb.SubStatus_SUB_STATUS_DRAINING:
		return wqobservation.Draining
	case wqpb.SubStatus_SUB_STATUS_NOT_RUN:
		return wqobservation.NotRun
	case wqpb.SubStatus_SUB_STATUS_UNREACHABLE:
		return wqobservation.Unreachable
	case wqpb.SubStatus_SUB_STATUS_EXPIRED:
		return wqobservation.Expired
	case wqpb.SubStatus_SUB_STATUS_NOT_HELD:
		return wqobservation.NotHolder
	case wqpb.SubStatus_SUB_STATUS_ZONE_OUT:
		return wqobservation.ZoneOut
	}
	return wqobservation.Broken
}

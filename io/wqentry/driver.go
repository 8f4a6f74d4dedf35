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

// machine is what the driver needs of a wqfanout.Query.
type machine interface {
	Start(now time.Time, v *wqview.View) wqfanout.Actions
	HandleReply(now time.Time, v *wqview.View, p *wqfanout.ReplyPart) wqfanout.Actions
	HandleCallEnd(now time.Time, v *wqview.View, batch int, status wqobservation.Status) wqfanout.Actions
	Wake(now time.Time, v *wqview.View) wqfanout.Actions
	NextWake() time.Time
}

// event is one message of a call, or its end when part is nil.
type event struct {
	batch  int
	part   *wqpb.FanPart
	status wqobservation.Status
}

// eventsAhead is how many messages of holders may wait for the query's goroutine.
const eventsAhead = 32

// driver carries out the steps of one query.
type driver struct {
	request  *Request
	deadline time.Time
	fanner   func(memberID string) HolderClient
	view     func() *wqview.View
	events   chan event
	cancels  map[int]context.CancelFunc
	part     wqfanout.ReplyPart // part is filled anew for each message; the machine keeps none of its lists.
}

func newDriver(r *Request, deadline time.Time, fanner func(string) HolderClient, view func() *wqview.View) *driver {
	return &driver{
		request:  r,
		deadline: deadline,
		fanner:   fanner,
		view:     view,
		events:   make(chan event, eventsAhead),
		cancels:  make(map[int]context.CancelFunc),
	}
}

// run returns when the query is done or its caller has gone. All calls are
// cancelled by then.
func (d *driver) run(ctx context.Context, q machine) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	step := q.Start(time.Now(), d.view())
	timer := time.NewTimer(time.Until(q.NextWake()))
	defer timer.Stop()
	for d.carryOut(ctx, step) {
		timer.Reset(time.Until(q.NextWake()))
		select {
		case e := <-d.events:
			step = d.take(q, e)
		case <-timer.C:
			step = q.Wake(time.Now(), d.view())
		case <-ctx.Done():
			q.Wake(d.deadline, d.view())
			return
		}
	}
}

// carryOut starts and cancels calls; it returns false when the query is done.
func (d *driver) carryOut(ctx context.Context, step wqfanout.Actions) bool {
	for _, id := range step.CancelIDs {
		if cancel := d.cancels[id]; cancel != nil {
			cancel()
			delete(d.cancels, id)
		}
	}
	if step.Done {
		return false
	}
	for i := range step.Batches {
		b := &step.Batches[i]
		call, cancel := context.WithCancel(ctx)
		d.cancels[b.ID] = cancel
		go d.call(call, b.ID, b.MemberID, d.message(b))
	}
	return true
}

func (d *driver) take(q machine, e event) wqfanout.Actions {
	if e.part == nil {
		return q.HandleCallEnd(time.Now(), d.view(), e.batch, e.status)
	}
	d.part.Batch = e.batch
	decode(&d.part, e.part)
	return q.HandleReply(time.Now(), d.view(), &d.part)
}

// call runs one call to a holder and hands over what arrives.
func (d *driver) call(ctx context.Context, batch int, memberID string, r *wqpb.FanRequest) {
	hand := func(e event) error {
		select {
		case d.events <- e:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f := d.fanner(memberID)
	if f == nil {
		_ = hand(event{batch: batch, status: wqobservation.Unreachable})
		return
	}
	err := f.FanOut(ctx, r, func(p *wqpb.FanPart) error { return hand(event{batch: batch, part: p}) })
	status := wqobservation.Broken
	if err != nil && wqfault.KindOf(err).NotRun() {
		status = wqobservation.Unreachable
	}
	_ = hand(event{batch: batch, status: status})
}

// message encodes a batch; the deadline travels as the time that is left.
func (d *driver) message(b *wqfanout.Batch) *wqpb.FanRequest {
	messages := make([]wqpb.SubQuery, len(b.SubQueries))
	subs := make([]*wqpb.SubQuery, len(b.SubQueries))
	for i, s := range b.SubQueries {
		subs[i] = &messages[i]
		subs[i].Shard, subs[i].Searcher, subs[i].Hedge = s.Shard, s.SearcherID, s.Hedge
	}
	return &wqpb.FanRequest{
		RequestId:       d.request.RequestID,
		Service:         d.request.Service,
		Snapshot:        b.Snapshot,
		Body:            d.request.Body,
		RemainingMicros: uint32(max(time.Until(d.deadline), 0).Microseconds()),
		Limit:           uint32(limit(d.request)),
		Revision:        d.view().Index.Topology.Revision,
		SubQueries:      subs,
		Tenant:          d.request.Tenant,
		Class:           d.request.Class,
	}
}

// decode fills part with a holder's message.
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

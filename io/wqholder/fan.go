package wqholder

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/io/wqpb"
)

const (
	// mostSubQueries bounds the sub-queries of one request.
	mostSubQueries = 8192
	// mostBodyBytes bounds the body of a query, in bytes.
	mostBodyBytes = 64 << 10
	// defaultLimit is how many rows travel when the request names no limit.
	defaultLimit = 100
	// mostRows bounds the limit of a request.
	mostRows = 1000
)

// fan is one FanRequest in progress.
type fan struct {
	ctx     context.Context //nolint:containedctx // The requests of the fan end with it.
	request *wqpb.FanRequest
	limit   int
	arrived time.Time
	tasks   []task
	results chan result // results has room for every task, so that no sender waits.
	part    part        // part is reused for each FanPart.
	twice   bool        // twice is true when a shard may be asked for more than once.
	open    int         // open counts the tasks without a result.
}

// Fan implements wqpbconnect.ShardServiceHandler.
func (h *Holder[C, P]) Fan(ctx context.Context, r *connect.Request[wqpb.FanRequest], stream *connect.ServerStream[wqpb.FanPart]) error {
	err := h.FanOut(ctx, r.Msg, stream.Send)
	if err == nil {
		return nil
	}
	if wqfault.KindOf(err) == wqfault.BadInput {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return err
}

// FanOut sends each sub-query to its searcher and gives the results to send as
// they arrive, several to a part when they arrive together. Every sub-query
// gets exactly one result by the deadline. The error is a BadInput fault, the
// error of send, or that of a cancelled ctx; then the requests in flight are
// cancelled.
func (h *Holder[C, P]) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	if err := checkRequest(r); err != nil {
		return err
	}
	f := newFan(r, time.Now())
	deadline := f.arrived.Add(time.Duration(r.RemainingMicros) * time.Microsecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	f.ctx = ctx
	for i, sub := range r.SubQueries {
		t := &f.tasks[i]
		t.fan, t.sub, t.deadline = f, sub, deadline
		h.offer(f.arrived, sub.Searcher, t)
	}
	defer f.abandon()
	return f.collect(ctx, h.GatherDelay, send)
}

func checkRequest(r *wqpb.FanRequest) error {
	switch {
	case len(r.SubQueries) > mostSubQueries:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the request has %d sub-queries", len(r.SubQueries)),
			fmt.Sprintf("send at most %d in one request", mostSubQueries))
	case len(r.Body) > mostBodyBytes:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the body has %d bytes", len(r.Body)),
			fmt.Sprintf("send at most %d bytes", mostBodyBytes))
	case r.Limit > mostRows:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the limit is %d rows", r.Limit),
			fmt.Sprintf("ask for at most %d rows", mostRows))
	}
	return nil
}

func newFan(r *wqpb.FanRequest, now time.Time) *fan {
	limit := int(r.Limit)
	if limit == 0 {
		limit = defaultLimit
	}
	f := &fan{
		request: r,
		limit:   limit,
		arrived: now,
		tasks:   make([]task, len(r.SubQueries)),
		results: make(chan result, len(r.SubQueries)),
		twice:   !ascending(r.SubQueries),
		open:    len(r.SubQueries),
	}
	f.part.fan = f
	return f
}

// ascending reports whether the shards are in order without repetition.
func ascending(subs []*wqpb.SubQuery) bool {
	for i := 1; i < len(subs); i++ {
		if subs[i-1].GetShard() >= subs[i].GetShard() {
			return false
		}
	}
	return true
}

// collect passes the results on until all are there or the time is over.
// Answers wait a little for others, but for the last one; a result that the
// entry may act on passes at once.
func (f *fan) collect(ctx context.Context, gather time.Duration, send func(*wqpb.FanPart) error) error {
	timer := time.NewTimer(gather)
	defer timer.Stop()
	timer.Stop()
	for f.open > 0 {
		select {
		case r := <-f.results:
			if err := f.take(r, timer, gather, send); err != nil {
				return err
			}
		case <-timer.C:
			if err := f.part.flush(send); err != nil {
				return err
			}
		case <-ctx.Done():
			return f.expire(ctx, send)
		}
	}
	return f.part.flush(send)
}

// take adds a result to the part, or sends the part before or after it.
func (f *fan) take(r result, timer *time.Timer, gather time.Duration, send func(*wqpb.FanPart) error) error {
	p := &f.part
	if !p.add(r) {
		if err := p.flush(send); err != nil {
			return err
		}
		p.add(r)
	}
	if (p.urgent || gather <= 0) && len(f.results) == 0 {
		return p.flush(send)
	}
	if len(p.results) == 1 {
		timer.Reset(gather)
	}
	return nil
}

// expire ends the open tasks when the deadline has passed.
func (f *fan) expire(ctx context.Context, send func(*wqpb.FanPart) error) error {
	if ctx.Err() != context.DeadlineExceeded {
		return eris.Wrap(ctx.Err(), "the entry cancelled the request")
	}
	p := &f.part
	for i := range f.tasks {
		t := &f.tasks[i]
		if !t.reported {
			p.add(result{task: t, status: wqobservation.Expired, sent: !t.take()})
		}
	}
	return p.flush(send)
}

// abandon cancels the requests that nobody waits for any more.
func (f *fan) abandon() {
	if f.open == 0 {
		return
	}
	for i := range f.tasks {
		f.tasks[i].abandon()
	}
}

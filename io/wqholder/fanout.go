package wqholder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/io/wqpb"
)

const (
	// maxSubQueries limits the sub-queries of one request.
	maxSubQueries = 8192
	// maxBodyBytes limits the body of a query, in bytes.
	maxBodyBytes = 64 << 10
	// defaultMaxRows applies to requests whose limit is 0.
	defaultMaxRows = 100
	// maxRequestRows is the highest limit that a request may set.
	maxRequestRows = 1000
)

// fanOut is the state of one FanRequest in progress.
type fanOut struct {
	ctx            context.Context //nolint:containedctx // The requests of the fan-out end with it.
	request        *wqpb.FanRequest
	maxRows        int
	arrivedAt      time.Time
	tasks          []task
	results        chan result // buffered for every task, so that sending a result never blocks
	part           partBuilder // reused for each FanPart
	repeatedShards bool        // the request may hold a shard more than once
	pending        int         // number of tasks without a result
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

// FanOut sends each sub-query to its searcher and passes the results to send as
// they arrive; results that arrive within GatherDelay share a part. Without an
// error every sub-query has exactly one result by the deadline. The error is a
// BadInput fault, the error of send, or that of a cancelled ctx; the requests in
// flight are cancelled then.
func (h *Holder[C, P]) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	if err := checkRequest(r); err != nil {
		return err
	}
	f := newFanOut(r, time.Now())
	deadline := f.arrivedAt.Add(time.Duration(r.RemainingMicros) * time.Microsecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	f.ctx = ctx
	for i, sub := range r.SubQueries {
		t := &f.tasks[i]
		t.fanOut, t.sub, t.deadline = f, sub, deadline
		h.enqueue(f.arrivedAt, sub.Searcher, t)
	}
	defer f.abandon()
	return f.sendResults(ctx, h.GatherDelay, send)
}

func checkRequest(r *wqpb.FanRequest) error {
	switch {
	case len(r.SubQueries) > maxSubQueries:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the request has %d sub-queries", len(r.SubQueries)),
			fmt.Sprintf("send at most %d in one request", maxSubQueries))
	case len(r.Body) > maxBodyBytes:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the body has %d bytes", len(r.Body)),
			fmt.Sprintf("send at most %d bytes", maxBodyBytes))
	case r.Limit > maxRequestRows:
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("the limit is %d rows", r.Limit),
			fmt.Sprintf("request at most %d rows", maxRequestRows))
	}
	return nil
}

func newFanOut(r *wqpb.FanRequest, now time.Time) *fanOut {
	maxRows := int(r.Limit)
	if maxRows == 0 {
		maxRows = defaultMaxRows
	}
	f := &fanOut{
		request:        r,
		maxRows:        maxRows,
		arrivedAt:      now,
		tasks:          make([]task, len(r.SubQueries)),
		results:        make(chan result, len(r.SubQueries)),
		repeatedShards: !shardsAscending(r.SubQueries),
		pending:        len(r.SubQueries),
	}
	f.part.fanOut = f
	return f
}

// shardsAscending reports whether the shards are strictly ascending, hence without
// repetition.
func shardsAscending(subs []*wqpb.SubQuery) bool {
	for i := 1; i < len(subs); i++ {
		if subs[i-1].GetShard() >= subs[i].GetShard() {
			return false
		}
	}
	return true
}

// sendResults sends the results until none is pending or ctx ends. An answer waits
// up to gatherDelay for others. The last result is sent immediately, and so is a
// result without an answer, since the entry VM may react to it.
func (f *fanOut) sendResults(ctx context.Context, gatherDelay time.Duration, send func(*wqpb.FanPart) error) error {
	timer := time.NewTimer(gatherDelay)
	defer timer.Stop()
	timer.Stop()
	for f.pending > 0 {
		var err error
		select {
		case r := <-f.results:
			// The cancellation also breaks the requests in flight, whose results must
			// not be sent to an entry VM that has gone.
			if errors.Is(ctx.Err(), context.Canceled) {
				return cancelledError(ctx)
			}
			err = f.addResult(r, timer, gatherDelay, send)
		case <-timer.C:
			err = f.part.flush(send)
		case <-ctx.Done():
			return f.expirePending(ctx, send)
		}
		if err != nil {
			return err
		}
	}
	return f.part.flush(send)
}

func cancelledError(ctx context.Context) error {
	return eris.Wrap(ctx.Err(), "the entry VM cancelled the request")
}

// addResult adds a result to the part. It sends the part first if it can't take the
// result, and afterwards if it should not wait for more.
func (f *fanOut) addResult(r result, timer *time.Timer, gatherDelay time.Duration, send func(*wqpb.FanPart) error) error {
	p := &f.part
	if err := p.addOrFlush(f.atDeadline(r), send); err != nil {
		return err
	}
	if (p.sendNow || gatherDelay <= 0) && len(f.results) == 0 {
		return p.flush(send)
	}
	if len(p.results) == 1 {
		timer.Reset(gatherDelay)
	}
	return nil
}

// expirePending sends the result Expired for each pending task if the deadline has
// passed. If ctx was cancelled before, it returns that as an error.
func (f *fanOut) expirePending(ctx context.Context, send func(*wqpb.FanPart) error) error {
	if ctx.Err() != context.DeadlineExceeded {
		return cancelledError(ctx)
	}
	if err := f.addReady(send); err != nil {
		return err
	}
	p := &f.part
	for i := range f.tasks {
		t := &f.tasks[i]
		if !t.hasResult {
			p.add(result{task: t, status: wqobservation.Expired, maybeSent: !t.claim()})
		}
	}
	return p.flush(send)
}

// addReady adds the results that have arrived by the deadline.
func (f *fanOut) addReady(send func(*wqpb.FanPart) error) error {
	for len(f.results) > 0 {
		if err := f.part.addOrFlush(f.atDeadline(<-f.results), send); err != nil {
			return err
		}
	}
	return nil
}

// atDeadline replaces the status Broken by Expired once the deadline has passed, since
// the deadline itself breaks the requests in flight.
func (f *fanOut) atDeadline(r result) result {
	if r.status == wqobservation.Broken && errors.Is(f.ctx.Err(), context.DeadlineExceeded) {
		r.status = wqobservation.Expired
	}
	return r
}

// abandon abandons all tasks if results are pending. A request that is shared with
// other fan-outs is cancelled once all its tasks are abandoned.
func (f *fanOut) abandon() {
	if f.pending == 0 {
		return
	}
	for i := range f.tasks {
		f.tasks[i].abandon()
	}
}

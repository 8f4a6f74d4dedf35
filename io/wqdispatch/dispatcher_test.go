package wqdispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqpb"
)

const ticket = "vm1.1.1.0123456789abcdef0123"

func request() *wqpb.DispatchWriteRequest {
	return &wqpb.DispatchWriteRequest{Ticket: ticket, Searcher: "s1", RemainingMicros: 5_000_000, HolderEpoch: 3}
}

func TestDuplicateCallsSendOnce(t *testing.T) {
	var sends atomic.Int64
	d := New(3, time.Minute)
	d.Send = func(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
		sends.Add(1)
		time.Sleep(10 * time.Millisecond)
		return &wqpb.WriteResponse{Outcome: wqpb.Outcome_OUTCOME_DONE, Body: []byte("ok")}, nil
	}
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			reply, err := d.DispatchWrite(t.Context(), request())
			test.NoError(t, err)
			test.Eq(t, wqpb.Outcome_OUTCOME_DONE, reply.GetOutcome())
			test.Eq(t, "ok", string(reply.GetBody()))
		})
	}
	group.Wait()
	must.Eq(t, 1, sends.Load())
	must.Eq(t, 0, d.InFlight())
}

func TestSendContinuesAfterCallIsCancelled(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	d := New(3, time.Minute)
	d.Send = func(ctx context.Context, _ *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
		close(started)
		<-release
		return &wqpb.WriteResponse{Outcome: wqpb.Outcome_OUTCOME_DONE}, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = d.DispatchWrite(ctx, request()) }()
	<-started
	cancel()
	outcomeRequest := &wqpb.DispatchOutcomeRequest{Ticket: ticket, Searcher: "s1", HolderEpoch: 3, RemainingMicros: 1000}
	reply, err := d.DispatchOutcome(t.Context(), outcomeRequest)
	must.NoError(t, err)
	must.Eq(t, wqpb.Outcome_OUTCOME_PENDING, reply.GetOutcome())
	close(release)
	outcomeRequest.RemainingMicros = 5_000_000
	reply, err = d.DispatchOutcome(t.Context(), outcomeRequest)
	must.NoError(t, err)
	must.Eq(t, wqpb.Outcome_OUTCOME_DONE, reply.GetOutcome())
}

func TestSendErrorOutcome(t *testing.T) {
	for _, c := range []struct {
		err  error
		want wqpb.Outcome
	}{
		{wqfault.New(wqfault.Overloaded, "full", "wait"), wqpb.Outcome_OUTCOME_NOT_RUN},
		{wqfault.New(wqfault.Unavailable, "no answer", "wait"), wqpb.Outcome_OUTCOME_UNKNOWN},
		{errors.New("connection reset"), wqpb.Outcome_OUTCOME_UNKNOWN},
	} {
		d := New(3, time.Minute)
		d.Send = func(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) { return nil, c.err }
		reply, err := d.DispatchWrite(t.Context(), request())
		must.NoError(t, err)
		must.Eq(t, c.want, reply.GetOutcome())
	}
}

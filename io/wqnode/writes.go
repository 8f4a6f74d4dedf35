package wqnode

import (
	"context"

	"wisteriaquay/io/wqpb"
)

// notWritable refuses all write-like requests.
type notWritable struct{}

// Ticket refuses.
func (notWritable) Ticket(context.Context, *wqpb.TicketRequest) (*wqpb.TicketResponse, error) {
	return nil, errNotWritable
}

// Write refuses.
func (notWritable) Write(context.Context, *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return nil, errNotWritable
}

// Outcome refuses.
func (notWritable) Outcome(context.Context, *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return nil, errNotWritable
}

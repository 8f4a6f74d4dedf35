package wqnode

import (
	"context"

	"wisteriaquay/io/wqconfigsync"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
)

// peerService answers the unary calls of the other VMs.
type peerService struct {
	node *Node
}

// Heartbeat takes a peer's membership changes and returns this VM's.
func (p *peerService) Heartbeat(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	r, err := p.node.receive(ctx, m)
	return r, wqtwirperror.Encode(err)
}

// Configuration returns what this VM has after a revision.
func (p *peerService) Configuration(_ context.Context, r *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	m, err := wqconfigsync.Respond(p.node.view.Load().History, r)
	return m, wqtwirperror.Encode(err)
}

// ForwardWrite runs a write-like request whose ticket this VM minted.
func (p *peerService) ForwardWrite(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return p.node.writer.ForwardWrite(ctx, r)
}

// ForwardOutcome tells what became of a request whose ticket this VM minted.
func (p *peerService) ForwardOutcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return p.node.writer.ForwardOutcome(ctx, r)
}

// DispatchWrite sends a write-like request to a searcher that this VM holds.
func (p *peerService) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	m, err := p.node.gate.DispatchWrite(ctx, r)
	return m, wqtwirperror.Encode(err)
}

// DispatchOutcome tells what became of a request that this VM dispatched.
func (p *peerService) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	m, err := p.node.gate.DispatchOutcome(ctx, r)
	return m, wqtwirperror.Encode(err)
}

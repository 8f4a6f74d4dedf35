package wqnode

import (
	"context"

	"wisteriaquay/io/wqconfigsync"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
)

// peerService implements wqpb.PeerService, the unary calls between VMs.
type peerService struct {
	node *Node
}

// Heartbeat applies a peer's membership changes and returns this VM's own.
func (p *peerService) Heartbeat(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	r, err := p.node.handleHeartbeat(ctx, m)
	return r, wqtwirperror.Encode(err)
}

// Configuration returns the update from the requested revision to this VM's own.
func (p *peerService) Configuration(_ context.Context, r *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	m, err := wqconfigsync.Respond(p.node.view.Load().History, r)
	return m, wqtwirperror.Encode(err)
}

// ForwardWrite executes a write-like request whose ticket this VM minted.
func (p *peerService) ForwardWrite(ctx context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return p.node.writer.ForwardWrite(ctx, r)
}

// ForwardOutcome returns the outcome of a write-like request whose ticket this VM
// minted.
func (p *peerService) ForwardOutcome(ctx context.Context, r *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return p.node.writer.ForwardOutcome(ctx, r)
}

// DispatchWrite sends a write-like request to a searcher that this VM holds a
// connection to.
func (p *peerService) DispatchWrite(ctx context.Context, r *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	m, err := p.node.dispatcher.DispatchWrite(ctx, r)
	return m, wqtwirperror.Encode(err)
}

// DispatchOutcome returns the outcome of a write-like request that this VM sent to
// a searcher.
func (p *peerService) DispatchOutcome(ctx context.Context, r *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	m, err := p.node.dispatcher.DispatchOutcome(ctx, r)
	return m, wqtwirperror.Encode(err)
}

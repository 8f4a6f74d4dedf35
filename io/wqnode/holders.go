package wqnode

import (
	"context"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqlimit"
	"wisteriaquay/io/wqentry"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
	"wisteriaquay/io/wqpeerpool"
	"wisteriaquay/io/wqtarget"
)

// localHolder is the HolderClient for this VM itself.
type localHolder struct {
	holder *wqholder.Holder[*wqtarget.Client, *wqlimit.AIMD]
}

// FanOut calls the holder in this process.
func (l localHolder) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	return l.holder.FanOut(ctx, r, send)
}

// remoteHolder is the HolderClient for another VM.
type remoteHolder struct {
	client wqpbconnect.ShardServiceClient
}

// FanOut sends the sub-queries over a pooled connection and passes each part of
// the reply to send. Its errors are described at holderFault.
func (h remoteHolder) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	stream, err := h.client.Fan(ctx, connect.NewRequest(r))
	if err != nil {
		return holderFault(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := send(stream.Msg()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return holderFault(err)
	}
	return nil
}

// holderFault returns a NotReady fault when the call was certainly not sent, else
// a Broken fault.
func holderFault(err error) error {
	if wqpeerpool.IsUnsent(err) {
		return wqfault.New(wqfault.NotReady, "no connection to the holder: "+err.Error(), "try another holder")
	}
	return wqfault.New(wqfault.Broken, err.Error(), "try another holder")
}

// remoteHolder returns the client for another VM, nil when the VM is not a member.
func (n *Node) remoteHolder(memberID string) wqentry.HolderClient {
	m, isMember := n.view.Load().Members[memberID]
	if !isMember {
		return nil
	}
	return remoteHolder{n.peerPool.ShardClient(m.Address)}
}

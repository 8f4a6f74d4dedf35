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

// localFanner is the way to this VM's own holder.
type localFanner struct {
	holder *wqholder.Holder[*wqtarget.Client, *wqlimit.AIMD]
}

// FanOut sends the sub-queries without a connection.
func (l localFanner) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	return l.holder.FanOut(ctx, r, send)
}

// remoteFanner is the way to another VM's holder.
type remoteFanner struct {
	client wqpbconnect.ShardServiceClient
}

// FanOut sends the sub-queries over the kept connection.
func (f remoteFanner) FanOut(ctx context.Context, r *wqpb.FanRequest, send func(*wqpb.FanPart) error) error {
	stream, err := f.client.Fan(ctx, connect.NewRequest(r))
	if err != nil {
		return peerFault(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := send(stream.Msg()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return peerFault(err)
	}
	return nil
}

// peerFault says whether a failed call may have reached the peer.
func peerFault(err error) error {
	if wqpeerpool.IsUnsent(err) {
		return wqfault.New(wqfault.NotReady, "no connection to the holder: "+err.Error(), "try another holder")
	}
	return wqfault.New(wqfault.Broken, err.Error(), "try another holder")
}

// remote returns the way to another VM's holder, nil when it is not a member.
func (n *Node) remote(memberID string) wqentry.HolderClient {
	m, known := n.view.Load().Members[memberID]
	if !known {
		return nil
	}
	return remoteFanner{n.pool.ShardClient(m.Address)}
}

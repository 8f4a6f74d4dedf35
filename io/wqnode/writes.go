package wqnode

import (
	"crypto/rand"

	"wisteriaquay/core/wqcandidate"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqticket"
	"wisteriaquay/io/wqdispatch"
	"wisteriaquay/io/wqpeerpool"
	"wisteriaquay/io/wqwrite"
)

// Limits of the ticket ledger of one VM.
const (
	secretBytes     = 32
	maxTickets      = 1 << 17
	maxTicketMemory = 16 << 20 // maxTicketMemory bounds the retained replies of write-like requests, in bytes.
)

// buildWriter creates the dispatcher and the writer of write-like requests, with a
// new random secret for tickets.
func (n *Node) buildWriter(self wqmember.Member) {
	ttl := n.Settings.Limits.TicketTTL
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	n.dispatcher = wqdispatch.New(self.Epoch, ttl)
	n.dispatcher.Send = n.holder.DispatchWrite
	n.writer = &wqwrite.Writer[wqcandidate.NearFirst]{
		View: n.view.Load,
		Ledger: &wqticket.Ledger{
			VM:              self.ID,
			Epoch:           self.Epoch,
			Secret:          secret,
			TTL:             ttl,
			ResultRetention: ttl,
			MaxCount:        maxTickets,
			MaxBytes:        maxTicketMemory,
		},
		LocalHolder: n.dispatcher,
		PeerClient:  n.peerPool.PeerClient,
		IsUnsent:    wqpeerpool.IsUnsent,
	}
}

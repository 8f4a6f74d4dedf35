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

// Bounds of the tickets that one VM remembers.
const (
	secretBytes     = 32
	maxTickets      = 1 << 17
	maxTicketMemory = 16 << 20 // maxTicketMemory bounds the replies of write-like requests in memory, in bytes.
)

// buildWriter makes this VM's part in write-like requests.
func (n *Node) buildWriter(self wqmember.Member) {
	life := n.Settings.Limits.TicketTTL
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	n.gate = wqdispatch.New(self.Epoch, life)
	n.gate.Send = n.holder.DispatchWrite
	n.writer = &wqwrite.Writer[wqcandidate.NearFirst]{
		View: n.view.Load,
		Ledger: &wqticket.Ledger{
			VM:              self.ID,
			Epoch:           self.Epoch,
			Secret:          secret,
			TTL:             life,
			ResultRetention: life,
			MaxCount:        maxTickets,
			MaxBytes:        maxTicketMemory,
		},
		LocalHolder: n.gate,
		PeerClient:  n.pool.PeerClient,
		IsUnsent:    wqpeerpool.IsUnsent,
	}
}

package wqmember

import (
	"math/bits"
	"slices"
	"strings"
)

// rumour is a change that is passed on with the next messages.
type rumour struct {
	id     string
	left   int  // left is how many more messages carry it.
	full   bool // full rumours carry the address, for receivers that don't know the VM.
	urgent bool // urgent rumours are sent to all neighbours at once.
	idle   bool // idle rumours only go where there is room.
}

const (
	floodFactor = 4 // floodFactor is how many times more changes a flood carries.
	knownCost   = 3 // knownCost is by how many messages a rumour's life is shortened when a peer tells it back.
	maxIdle     = 2 // maxIdle is the most idle rumours in one message.
)

// spread queues what is known of a VM to be passed on.
func (m *Tracker) spread(id string, r rumour) {
	r.id = id
	r.left = 4 + bits.Len(uint(len(m.peers)))
	if old := m.rumours[id]; old != nil {
		r.full = r.full || old.full
		r.idle = r.idle && old.idle
	}
	m.rumours[id] = &r
	m.urgent = m.urgent || r.urgent
}

// wane shortens the life of a rumour that a peer already knows.
func (m *Tracker) wane(id string) {
	r := m.rumours[id]
	if r == nil {
		return
	}
	r.left -= knownCost
	if r.left <= 0 {
		delete(m.rumours, id)
	}
}

// flood sends urgent news to all neighbours at once, at a bounded rate. A VM
// that joins or is cut off leaves that to the others: its neighbours change
// with each VM that it learns of.
func (m *Tracker) flood() {
	if m.Self.Isolated {
		m.urgent = false
	}
	if !m.urgent || m.now.Before(m.nextFlood) {
		return
	}
	m.urgent = false
	m.nextFlood = m.now.Add(m.Timing.FloodInterval)
	for _, id := range m.ring() {
		if !m.mayExtra() {
			m.urgent = true
			return
		}
		m.send(m.peers[id], m.compose(id, floodFactor*m.Timing.MaxChanges))
	}
}

// compose returns a heartbeat to a peer with at most limit changes.
func (m *Tracker) compose(to string, limit int) Message {
	message := Message{From: m.Self, Digest: m.digest}
	p := m.peers[to]
	if p == nil {
		message.RequestsList = true
		return message
	}
	if p.introduced {
		message.From = m.Self.brief()
	}
	if p.State != Alive {
		message.Changes = append(message.Changes, p.brief())
	}
	for _, r := range m.pick(to, limit) {
		message.Changes = append(message.Changes, m.told(r))
	}
	return message
}

// told returns a rumour as a change, and counts that it was passed on.
func (m *Tracker) told(r *rumour) Member {
	r.left--
	if r.left <= 0 {
		delete(m.rumours, r.id)
	}
	c := m.peers[r.id].Member
	if r.full {
		return c
	}
	return c.brief()
}

// pick returns the rumours for one message, the least spread first.
func (m *Tracker) pick(to string, limit int) []*rumour {
	if len(m.rumours) == 0 {
		return nil
	}
	waiting := make([]*rumour, 0, len(m.rumours))
	for id, r := range m.rumours {
		if id != to && m.peers[id] != nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *rumour) int {
		if a.idle != b.idle {
			return order(!a.idle)
		}
		if a.left != b.left {
			return b.left - a.left
		}
		return strings.Compare(a.id, b.id)
	})
	waiting = waiting[:min(len(waiting), limit)]
	idle := slices.IndexFunc(waiting, func(r *rumour) bool { return r.idle })
	if idle >= 0 {
		waiting = waiting[:min(len(waiting), idle+maxIdle)]
	}
	return waiting
}

// order returns -1 when the first of two comes first, else 1.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

func compareIDs(a, b *peer) int { return strings.Compare(a.ID, b.ID) }

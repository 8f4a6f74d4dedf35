package wqmember

// Isolated reports whether this VM may be partitioned from the working VMs of
// its region. It is true after Start. Heartbeats carry the flag, and a VM that
// reports itself isolated is no voter, that is, it does not count for the quorum
// of others.
//
// A VM becomes isolated when it loses the quorum: fewer than half of the voters
// that were last known alive, itself included, are alive without suspicion. It
// also becomes isolated after a pause until a full list is received, and when
// hardly any peer replies: of the live peers of its region that sent it a
// message or left one unanswered during Timing.ContactWindow, fewer than a
// quarter sent one.
//
// The isolation ends when more than half of the voters have been reachable for
// Timing.RejoinDelay. It also ends, even without voters, when all VMs of the
// region that are members or listed in the VM list are reachable, or a majority
// of them once Timing.MajorityDelay has passed. With exactly half, the side that
// has the smallest id has the quorum.
func (t *Tracker) Isolated() bool { return t.Self.Isolated }

// updateIsolation sets or clears Self.Isolated. A change raises the incarnation,
// so that it overrides older entries at the peers.
func (t *Tracker) updateIsolation() {
	isolated := t.lacksReplies() || t.lacksQuorum()
	if isolated == t.Self.Isolated {
		return
	}
	t.Self.Isolated = isolated
	if isolated {
		t.isolatedSince = t.now
	}
	t.raiseIncarnation(t.Self.Incarnation)
}

// lacksQuorum reports whether the voters that this VM reaches are too few to
// stay in service or, for an isolated VM, to return to service.
func (t *Tracker) lacksQuorum() bool {
	if !t.Self.Isolated {
		return (t.wasPaused && !t.synced) || !t.countVoters().hasMajority()
	}
	if t.mayRejoin() {
		return false
	}
	return !t.mayBootstrap()
}

// quorum counts VMs of this VM's region.
type quorum struct {
	reachable         int    // VMs that are alive without suspicion
	total             int    // VMs that were last known alive
	smallestID        string // smallest id among total; the tie-breaker
	smallestReachable bool   // whether the VM with smallestID is reachable
}

func (q *quorum) count(id string, reachable bool) {
	q.total++
	if reachable {
		q.reachable++
	}
	if q.smallestID == "" || id < q.smallestID {
		q.smallestID, q.smallestReachable = id, reachable
	}
}

// hasMajority reports whether more than half of the VMs are reachable. At
// exactly half, the side with the smallest id has the majority.
func (q *quorum) hasMajority() bool {
	if 2*q.reachable == q.total {
		return q.total > 0 && q.smallestReachable
	}
	return 2*q.reachable > q.total
}

// countVoters counts the VMs that may be in service. Reachable VMs that report
// themselves isolated don't count. Unreachable ones do, since they may have
// returned to service.
func (t *Tracker) countVoters() *quorum {
	q := &quorum{}
	if !t.Self.Isolated {
		q.count(t.Self.ID, true)
	}
	for _, p := range t.peers {
		selfIsolated := p.Isolated && p.reachable()
		if t.countsTowardQuorum(p) && !selfIsolated {
			q.count(p.ID, p.reachable())
		}
	}
	return q
}

// mayRejoin reports whether this isolated VM has reached a majority of the
// voters for Timing.RejoinDelay, by which time they have its entry.
func (t *Tracker) mayRejoin() bool {
	q := t.countVoters()
	t.countListedNonMembers(q)
	if !t.synced || q.reachable == 0 || !q.hasMajority() {
		t.rejoinAt = t.now.Add(t.Timing.RejoinDelay)
		return false
	}
	return !t.now.Before(t.rejoinAt)
}

// mayBootstrap reports whether the reachable VMs may enter service although no
// voter is reachable: all VMs are reachable, or a majority is and this VM has
// been isolated for longer than Timing.MajorityDelay.
func (t *Tracker) mayBootstrap() bool {
	listIsCurrent := t.selfListed || t.now.Sub(t.resumedAt) > t.Timing.MaxListLag
	if !listIsCurrent {
		return false
	}
	q := &quorum{}
	q.count(t.Self.ID, true)
	for _, p := range t.peers {
		if t.countsTowardQuorum(p) {
			q.count(p.ID, p.reachable() && t.confirmedSinceResume(p))
		}
	}
	t.countListedNonMembers(q)
	if t.now.Sub(t.isolatedSince) > t.Timing.MajorityDelay {
		return q.hasMajority()
	}
	return q.reachable == q.total
}

// reachable reports whether a VM is alive or leaving, without suspicion.
func (p *peer) reachable() bool { return p.State == Alive || p.State == Leaving }

// confirmedSinceResume reports whether this VM was never paused or the peer has
// answered a message that was sent after the last pause. Other messages from the
// peer don't count, since they may have been buffered during the pause.
func (t *Tracker) confirmedSinceResume(p *peer) bool {
	return !t.wasPaused || !p.ackedSendAt.Before(t.resumedAt)
}

// countListedNonMembers counts the listed VMs that are no member as unreachable.
func (t *Tracker) countListedNonMembers(q *quorum) {
	for _, l := range t.listedNonMembers() {
		if l.Region == t.Self.Region {
			q.count(l.ID, false)
		}
	}
}

// countsTowardQuorum reports whether a peer is among the VMs of this region that
// were last known alive. Dead VMs are excluded after Timing.HandoverDelay. While
// this VM is isolated, the delay is measured up to the start of the isolation, so
// that VMs that died later are excluded only once the VM list has dropped them.
func (t *Tracker) countsTowardQuorum(p *peer) bool {
	if p.Region != t.Self.Region || p.State == Left || t.isDelisted(p) {
		return false
	}
	if p.State != Dead {
		return true
	}
	countedUntil := t.now
	if t.Self.Isolated {
		countedUntil = t.isolatedSince
	}
	return countedUntil.Sub(p.stateChangedAt) < t.Timing.HandoverDelay
}

// isDelisted reports whether a peer has been unreachable for longer than
// Timing.MaxListLag and a VM list received after that time does not contain it.
func (t *Tracker) isDelisted(p *peer) bool {
	if p.reachable() || t.now.Sub(p.stateChangedAt) < t.Timing.MaxListLag || t.vmListAt.Before(p.stateChangedAt.Add(t.Timing.MaxListLag)) {
		return false
	}
	for _, l := range t.vmList {
		if l.ID == p.ID || l.Address == p.Address {
			return false
		}
	}
	return true
}

// lacksReplies reports whether, of the live peers of this region that sent a
// message or left one unanswered during Timing.ContactWindow, fewer than a
// quarter sent one.
func (t *Tracker) lacksReplies() bool {
	since := t.now.Add(-t.Timing.ContactWindow)
	contacted, answered := 0, 0
	for _, p := range t.peers {
		if p.Region != t.Self.Region || !p.State.Live() {
			continue
		}
		switch {
		case p.receivedAt.After(since):
			contacted++
			answered++
		case p.noReplyAt.After(since):
			contacted++
		}
	}
	return contacted > 0 && 4*answered < contacted
}

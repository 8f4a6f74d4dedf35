package wqoperatorservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqpb"
)

const (
	pollInterval         = 50 * time.Millisecond  // pollInterval is the time between two checks of the members' revisions.
	queryInterval        = time.Second            // queryInterval is the time between two rounds of direct queries to VMs.
	queryTimeout         = 500 * time.Millisecond // queryTimeout bounds one query.
	maxConcurrentQueries = 16                     // maxConcurrentQueries bounds the queries of one round in flight.
)

// progress counts the VMs that have a revision in force.
type progress struct {
	inForce uint32
	total   uint32
	missing []string // missing holds the ids of the other VMs, sorted.
}

// rollout tracks which VMs have a revision in force. It counts the VMs that were
// live at its start or joined since, also those declared dead since then: they may
// only be paused or unreachable.
type rollout struct {
	revision  uint64
	vms       map[string]wqmember.Member // vms holds the latest state of each VM, by id.
	confirmed map[string]bool            // confirmed holds the ids of the VMs that answered a query with the revision.
}

// waitUntilInForce waits until all VMs have a revision in force or the time is
// over. VMs whose heartbeats don't report the revision are queried directly.
func (h *Handler[S, P]) waitUntilInForce(ctx context.Context, revision uint64, wait time.Duration) progress {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	r := &rollout{revision: revision, vms: map[string]wqmember.Member{}, confirmed: map[string]bool{}}
	nextQuery := time.Now().Add(queryInterval)
	for {
		pending := r.update(h.View())
		if len(pending) == 0 || ctx.Err() != nil {
			return r.progress(pending)
		}
		if time.Now().After(nextQuery) {
			h.queryPending(ctx, r, pending)
			nextQuery = time.Now().Add(queryInterval)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// update merges the members of a view and returns the VMs that have not reported
// the revision.
func (r *rollout) update(v *wqview.View) []wqmember.Member {
	for id, m := range v.Members {
		r.vms[id] = m
	}
	self := v.Self
	self.Revision = v.Index.Topology.Revision
	r.vms[self.ID] = self
	var pending []wqmember.Member
	for id, m := range r.vms {
		if m.Revision < r.revision && !r.confirmed[id] {
			pending = append(pending, m)
		}
	}
	return pending
}

func (r *rollout) progress(pending []wqmember.Member) progress {
	p := progress{total: uint32(len(r.vms)), inForce: uint32(len(r.vms) - len(pending))}
	for _, m := range pending {
		p.missing = append(p.missing, m.ID)
	}
	slices.Sort(p.missing)
	return p
}

// queryPending queries VMs for their revision and records those that have it.
func (h *Handler[S, P]) queryPending(ctx context.Context, r *rollout, pending []wqmember.Member) {
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentQueries)
	self := h.View().Self.ID
	for _, m := range pending {
		if m.ID == self {
			continue
		}
		group.Go(func() error {
			if h.hasRevision(ctx, m, r.revision) {
				mu.Lock()
				defer mu.Unlock()
				r.confirmed[m.ID] = true
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (h *Handler[S, P]) hasRevision(ctx context.Context, m wqmember.Member, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := h.Peers.PeerClient(m.Address).Configuration(ctx, &wqpb.ConfigurationRequest{Revision: revision})
	return err == nil && r.GetRevision() >= revision
}

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
	lookEvery  = 50 * time.Millisecond  // lookEvery is the time between two looks at the members' revisions.
	askEvery   = time.Second            // askEvery is the time between two rounds of asking VMs themselves.
	askTimeout = 500 * time.Millisecond // askTimeout bounds the wait for one VM's answer.
	askAtOnce  = 16                     // askAtOnce bounds the VMs that are asked at once.
)

// progress is how far a revision has come.
type progress struct {
	inForce uint32
	total   uint32
	missing []string // missing are the VMs not known to have it in force, sorted.
}

// roll is the VMs that a wait counts: those that were live at its start or came
// since. One that is taken for dead meanwhile stays, since it may only be paused
// or out of reach.
type roll struct {
	revision uint64
	vms      map[string]wqmember.Member // vms are by id, each as it was seen last.
	told     map[string]bool            // told are the VMs that said themselves that they have the revision.
}

// waitInForce waits until all VMs have a revision in force or the time is over,
// and returns how far it came. VMs that membership has no word of are asked
// themselves.
func (o *Handler[S, P]) waitInForce(ctx context.Context, revision uint64, wait time.Duration) progress {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	r := &roll{revision: revision, vms: map[string]wqmember.Member{}, told: map[string]bool{}}
	nextAsk := time.Now().Add(askEvery)
	for {
		behind := r.look(o.View())
		if len(behind) == 0 || ctx.Err() != nil {
			return r.progress(behind)
		}
		if time.Now().After(nextAsk) {
			o.ask(ctx, r, behind)
			nextAsk = time.Now().Add(askEvery)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// look takes in a view and returns the VMs that are not known to have the
// revision in force.
func (r *roll) look(v *wqview.View) []wqmember.Member {
	for id, m := range v.Members {
		r.vms[id] = m
	}
	self := v.Self
	self.Revision = v.Index.Topology.Revision
	r.vms[self.ID] = self
	var behind []wqmember.Member
	for id, m := range r.vms {
		if m.Revision < r.revision && !r.told[id] {
			behind = append(behind, m)
		}
	}
	return behind
}

func (r *roll) progress(behind []wqmember.Member) progress {
	p := progress{total: uint32(len(r.vms)), inForce: uint32(len(r.vms) - len(behind))}
	for _, m := range behind {
		p.missing = append(p.missing, m.ID)
	}
	slices.Sort(p.missing)
	return p
}

// ask asks VMs for their revision and marks those that have it.
func (o *Handler[S, P]) ask(ctx context.Context, r *roll, behind []wqmember.Member) {
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(askAtOnce)
	self := o.View().Self.ID
	for _, m := range behind {
		if m.ID == self {
			continue
		}
		group.Go(func() error {
			if o.hasRevision(ctx, m, r.revision) {
				mu.Lock()
				defer mu.Unlock()
				r.told[m.ID] = true
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (o *Handler[S, P]) hasRevision(ctx context.Context, m wqmember.Member, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := o.Peers.PeerClient(m.Address).Configuration(ctx, &wqpb.ConfigurationRequest{Revision: revision})
	return err == nil && r.GetRevision() >= revision
}

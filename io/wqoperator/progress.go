package wqoperator

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriaquay/core/wqmember"
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

// waitInForce waits until all live VMs have a revision in force or the time is
// over, and returns how far it came. VMs that membership has no word of are
// asked themselves.
func (o *Operator[S, P]) waitInForce(ctx context.Context, revision uint64, wait time.Duration) progress {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	heard := map[string]bool{}
	nextAsk := time.Now().Add(askEvery)
	for {
		behind := o.behind(revision, heard)
		if len(behind) == 0 {
			return o.progress(behind)
		}
		if time.Now().After(nextAsk) {
			o.ask(ctx, revision, behind, heard)
			nextAsk = time.Now().Add(askEvery)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return o.progress(o.behind(revision, heard))
		}
	}
}

// behind returns the live VMs that are not known to have a revision in force.
func (o *Operator[S, P]) behind(revision uint64, heard map[string]bool) []wqmember.Member {
	var behind []wqmember.Member
	v := o.View()
	if o.revision() < revision {
		behind = append(behind, v.Self)
	}
	for id, m := range v.Members {
		if id != v.Self.ID && m.Revision < revision && !heard[id] {
			behind = append(behind, m)
		}
	}
	return behind
}

// ask asks VMs for their revision and marks those that have it.
func (o *Operator[S, P]) ask(ctx context.Context, revision uint64, behind []wqmember.Member, heard map[string]bool) {
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(askAtOnce)
	for _, m := range behind {
		if m.ID == o.View().Self.ID {
			continue
		}
		group.Go(func() error {
			if o.hasRevision(ctx, m, revision) {
				mu.Lock()
				defer mu.Unlock()
				heard[m.ID] = true
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (o *Operator[S, P]) hasRevision(ctx context.Context, m wqmember.Member, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := o.Peers.PeerClient(m.Address).Configuration(ctx, &wqpb.ConfigurationRequest{Revision: revision})
	return err == nil && r.GetRevision() >= revision
}

func (o *Operator[S, P]) progress(behind []wqmember.Member) progress {
	v := o.View()
	total := len(v.Members)
	if _, listed := v.Members[v.Self.ID]; !listed {
		total++
	}
	p := progress{total: uint32(total), inForce: uint32(max(total-len(behind), 0))}
	for _, m := range behind {
		p.missing = append(p.missing, m.ID)
	}
	slices.Sort(p.missing)
	return p
}

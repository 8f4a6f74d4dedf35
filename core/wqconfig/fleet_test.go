package wqconfig_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqconfig"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

const (
	step           = 50 * time.Millisecond
	heartbeat      = 500 * time.Millisecond
	fetchTimeout   = 500 * time.Millisecond
	maxPropagation = 7 * time.Second // from acceptance of a note until it is in force on all VMs.
)

// fleet simulates VMs, a network that loses, repeats and delays messages, and a
// store with outages and stale reads.
type fleet struct {
	t                  must.T
	random             *rand.Rand
	now                time.Time
	vms                []*vm
	accepted           []*wqhistory.History // accepted histories, by revision.
	pending            []delivery
	lossRate           float64 // lossRate is the share of messages that are lost, and of those sent twice.
	storeDown          bool    // storeDown makes every call to the store fail.
	staleReads         bool    // staleReads makes reads return a random accepted revision, and linearizable reads fail.
	watchesMissChanges bool    // watchesMissChanges makes watches miss every change.
	fetches            int
	transferred        int // transferred counts the notes sent by peers, a full history as 1,000.
}

type vm struct {
	*syncer
	member            wqmember.Member
	paused            bool
	revision          uint64 // revision in force at the last check.
	maxListedRevision uint64 // maxListedRevision is the highest revision in its latest member list.
}

type delivery struct {
	at  time.Time
	run func()
}

func newFleet(t must.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, accepted: []*wqhistory.History{nil}}
	for i := range size {
		f.vms = append(f.vms, &vm{})
		f.replaceVM(i)
	}
	return f
}

// replaceVM replaces a VM by a new one without configuration.
func (f *fleet) replaceVM(i int) {
	member := wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%3), Epoch: uint64(f.now.UnixMilli())}
	s := &syncer{Self: member, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(), Random: f.random}
	s.Start(f.now)
	f.vms[i] = &vm{syncer: s, member: member}
	f.updateMembers(f.vms[i])
}

// updateMembers sets the member list of v, with the revisions in force.
func (f *fleet) updateMembers(v *vm) {
	var members []wqmember.Member
	v.maxListedRevision = 0
	for _, o := range f.vms {
		e := o.member
		if o.syncer != nil && o != v {
			e.Revision = o.History().Revision()
			v.maxListedRevision = max(v.maxListedRevision, e.Revision)
			members = append(members, e)
		}
	}
	v.SetMembers(f.now, members)
}

func (f *fleet) schedule(d time.Duration, fn func()) {
	f.pending = append(f.pending, delivery{f.now.Add(d), fn})
}

// send runs fn for a VM after a random delay, possibly twice or not at all. It is
// dropped when the VM has been replaced, and delayed while the VM is paused.
func (f *fleet) send(to *vm, fn func()) {
	for range 2 {
		if f.random.Float64() >= f.lossRate {
			f.schedule(time.Duration(f.random.IntN(100))*time.Millisecond, func() { f.deliver(to, fn) })
		}
		if f.random.Float64() >= f.lossRate {
			return
		}
	}
}

func (f *fleet) deliver(to *vm, fn func()) {
	if !slices.Contains(f.vms, to) {
		return
	}
	if to.paused {
		f.schedule(step, func() { f.deliver(to, fn) })
		return
	}
	fn()
}

func (f *fleet) findVM(id string) *vm {
	for _, v := range f.vms {
		if v.member.ID == id {
			return v
		}
	}
	return nil
}

// run simulates the fleet for a duration.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		due := f.pending
		f.pending = nil
		for _, p := range due {
			if p.at.After(f.now) {
				f.pending = append(f.pending, p)
				continue
			}
			p.run()
		}
		heartbeatDue := f.now.Sub(start)%heartbeat == 0
		for _, v := range f.vms {
			if v.paused {
				continue
			}
			if heartbeatDue {
				f.updateMembers(v)
				f.reportRevision(v, 2)
			}
			for _, a := range v.Tick(f.now) {
				f.perform(v, a)
			}
			f.checkInvariants(v)
		}
	}
}

// checkInvariants checks that a VM neither reverts nor adopts a configuration other
// than the accepted one, and that its first one is not stale.
func (f *fleet) checkInvariants(v *vm) {
	h := v.History()
	if h.Revision() == 0 {
		return
	}
	must.True(f.t, h.Revision() >= v.revision, must.Sprint("the VM reverted to a lower revision"))
	must.Eq(f.t, f.accepted[h.Revision()].Topology.NoteID, h.Topology.NoteID)
	if v.revision == 0 {
		must.True(f.t, h.Revision() >= v.maxListedRevision, must.Sprint("the first configuration is older than that of a live peer"))
	}
	v.revision = h.Revision()
}

// reportRevision sends the revision of v to count random VMs.
func (f *fleet) reportRevision(v *vm, count int) {
	id, revision := v.member.ID, v.History().Revision()
	for range count {
		to := f.vms[f.random.IntN(len(f.vms))]
		f.send(to, func() { to.Handle(f.now, wqconfig.RevisionReported{Peer: id, Revision: revision}) })
	}
}

func (f *fleet) perform(v *vm, a wqconfig.Action) {
	switch a := a.(type) {
	case wqconfig.Announce:
		f.reportRevision(v, 4)
	case wqconfig.Fetch:
		f.fetch(v, a)
	case wqconfig.ReadStore:
		f.schedule(10*time.Millisecond, func() { f.deliver(v, func() { f.readStore(v, a) }) })
	case wqconfig.WatchStore:
		f.watchStore(v, a, f.now.Add(a.MaxWait))
	}
}

// fetch delivers the update of a peer or a timeout to v, exactly one of them.
func (f *fleet) fetch(v *vm, a wqconfig.Fetch) {
	f.fetches++
	done := false
	to := f.findVM(a.Peer.ID)
	f.send(to, func() {
		u := to.History().UpdateSince(a.AfterRevision)
		f.transferred += len(u.Notes)
		if u.Full != nil {
			f.transferred += 1000
		}
		f.send(v, func() {
			if !done {
				done = true
				v.Handle(f.now, wqconfig.FetchSucceeded{Peer: a.Peer.ID, Update: u})
			}
		})
	})
	f.schedule(fetchTimeout, func() {
		f.deliver(v, func() {
			if !done {
				done = true
				v.Handle(f.now, wqconfig.FetchFailed{Peer: a.Peer.ID})
			}
		})
	})
}

func (f *fleet) readStore(v *vm, a wqconfig.ReadStore) {
	latest := len(f.accepted) - 1
	if f.staleReads && a.Linearizable || f.storeDown {
		v.Handle(f.now, wqconfig.StoreCallFailed{})
		return
	}
	if f.staleReads {
		latest = f.random.IntN(latest + 1)
	}
	v.Handle(f.now, wqconfig.StoreCallSucceeded{History: f.accepted[latest], Revision: uint64(latest), Bytes: 4096})
}

func (f *fleet) watchStore(v *vm, a wqconfig.WatchStore, deadline time.Time) {
	f.schedule(step, func() {
		f.deliver(v, func() {
			latest := len(f.accepted) - 1
			switch {
			case f.storeDown:
				v.Handle(f.now, wqconfig.StoreCallFailed{})
			case uint64(latest) > a.AfterRevision && !f.staleReads && !f.watchesMissChanges:
				v.Handle(f.now, wqconfig.StoreCallSucceeded{History: f.accepted[latest], Revision: uint64(latest), Bytes: 4096})
			case !f.now.Before(deadline):
				v.Handle(f.now, wqconfig.StoreCallSucceeded{})
			default:
				f.watchStore(v, a, deadline)
			}
		})
	})
}

// publish makes v accept the next note and write it to the store.
func (f *fleet) publish(v *vm) {
	n := wqnote.ZoneOut(fmt.Sprintf("n%d", len(f.accepted)), "a")
	if len(f.accepted) == 1 {
		n = &wqnote.Note{ID: "first", Added: wqnote.Entries{Zones: []wqtopology.Zone{{ID: "a", Region: "r"}}}}
	}
	h, err := f.accepted[len(f.accepted)-1].ApplyNote(n)
	must.NoError(f.t, err)
	f.accepted = append(f.accepted, h)
	v.Handle(f.now, wqconfig.NoteAccepted{History: h, StoreRevision: uint64(len(f.accepted) - 1)})
}

func (f *fleet) converged(revision uint64) bool {
	for _, v := range f.vms {
		if v.History().Revision() != revision {
			return false
		}
	}
	return true
}

// Guards against a VM that reverts, or that starts with a lower revision than a
// live peer, while messages are lost, VMs pause or are replaced, and the store is
// down or returns stale values. Once messages arrive again, all VMs have to
// converge within the bound on the highest revision that survived.
func TestFleetNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(r, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 12).Draw(r, "size"))
		f.publish(f.vms[0])
		f.run(10 * time.Second)
		must.True(r, f.converged(1))
		f.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "loss")
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(r, "vm")
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				if !f.storeDown && !f.vms[i].paused {
					f.publish(f.vms[i])
				}
			case 3:
				f.storeDown = !f.storeDown
			case 4:
				f.staleReads = !f.staleReads
			case 5:
				f.replaceVM(i)
			default:
				f.vms[i].paused = !f.vms[i].paused
			}
			f.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "steps")) * step)
		}
		f.lossRate, f.staleReads = 0, false
		latest := uint64(0)
		for _, v := range f.vms {
			v.paused = false
			latest = max(latest, v.History().Revision())
		}
		if !f.storeDown {
			latest = uint64(len(f.accepted) - 1)
		}
		f.run(maxPropagation + f.vms[0].Timing.MaxBackoff)
		must.True(r, f.converged(latest))
	})
}

// The store fails right after it accepted a note, and a tenth of the messages is
// lost.
func TestAcceptedNoteReachesAllVMsWithoutTheStore(t *testing.T) {
	for _, size := range []int{8, 50, 200} {
		f := newFleet(t, 3, size)
		f.publish(f.vms[0])
		f.run(3 * time.Second)
		f.lossRate, f.storeDown, f.fetches, f.transferred = 0.1, true, 0, 0
		f.publish(f.vms[size-1])
		startedAt := f.now
		for !f.converged(2) && f.now.Sub(startedAt) < maxPropagation {
			f.run(step)
		}
		t.Logf("%d VMs: in force after %s, %d fetches, %d notes sent", size, f.now.Sub(startedAt), f.fetches, f.transferred)
		must.True(t, f.converged(2), must.Sprintf("%d VMs, bound %s", size, maxPropagation))
		must.LessEq(t, 2*size, f.fetches)
		must.LessEq(t, 2*size, f.transferred)
	}
}

// Guards against losing the configuration when all VMs are replaced, one by one,
// while the store is down.
func TestConfigurationSurvivesReplacingAllVMsDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 4, 8)
	f.publish(f.vms[0])
	f.run(10 * time.Second)
	f.storeDown = true
	for i := range f.vms {
		f.replaceVM(i)
		f.run(2 * time.Second)
	}
	must.True(t, f.converged(1))
}

// Guards against a note that no VM finds: the VM that accepted it crashes before
// it announces the revision, and the watches miss the change. The periodic reads
// of the watchers have to find it.
func TestAcceptedNoteIsFoundAfterPublisherCrash(t *testing.T) {
	f := newFleet(t, 5, 8)
	f.publish(f.vms[0])
	f.run(10 * time.Second)
	f.watchesMissChanges = true
	f.publish(f.vms[1])
	f.replaceVM(1)
	f.run(maxPropagation)
	must.True(t, f.converged(2))
}

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
	step         = 50 * time.Millisecond
	heartbeat    = 500 * time.Millisecond
	fetchTimeout = 500 * time.Millisecond
	bound        = 7 * time.Second // bound is the longest time from acceptance until a change is in force everywhere.
)

// fleet drives machines through a network and a store that misbehave.
type fleet struct {
	t        must.T
	random   *rand.Rand
	now      time.Time
	vms      []*vm
	accepted []*wqhistory.History // accepted is by revision.
	pending  []delivery
	loss     float64 // loss is the share of messages lost, and of messages doubled.
	down     bool    // down is true while the store fails every call.
	stale    bool    // stale lets the store's reads answer from the past.
	mute     bool    // mute lets watches miss every change.
	fetches  int
	bytes    int // bytes counts changes sent as notes, and whole histories as 1,000.
}

type vm struct {
	*machine
	member   wqmember.Member
	paused   bool
	revision uint64 // revision is the highest seen in force.
	listed   uint64 // listed is the highest revision of its latest member list.
}

type delivery struct {
	at time.Time
	do func()
}

func newFleet(t must.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, accepted: []*wqhistory.History{nil}}
	for i := range size {
		f.vms = append(f.vms, &vm{})
		f.boot(i)
	}
	return f
}

// boot replaces a VM by one that knows nothing.
func (f *fleet) boot(i int) {
	member := wqmember.Member{ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%3), Epoch: uint64(f.now.UnixMilli())}
	m := &machine{Self: member, Policy: wqconfig.WatchersPerZone{Count: 2}, Timing: wqconfig.DefaultTiming(), Random: f.random}
	m.Start(f.now)
	f.vms[i] = &vm{machine: m, member: member}
	f.list(f.vms[i])
}

// list tells a VM the members with the revisions that they have in force.
func (f *fleet) list(v *vm) {
	var members []wqmember.Member
	v.listed = 0
	for _, o := range f.vms {
		e := o.member
		if o.machine != nil && o != v {
			e.Revision = o.History().Revision()
			v.listed = max(v.listed, e.Revision)
			members = append(members, e)
		}
	}
	v.SetMembers(f.now, members)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, delivery{f.now.Add(d), do})
}

// send delivers something to a VM late, twice or never, unless the VM was
// replaced meanwhile; a paused VM gets it when it wakes.
func (f *fleet) send(to *vm, do func()) {
	for range 2 {
		if f.random.Float64() >= f.loss {
			f.after(time.Duration(f.random.IntN(100))*time.Millisecond, func() { f.deliver(to, do) })
		}
		if f.random.Float64() >= f.loss {
			return
		}
	}
}

func (f *fleet) deliver(to *vm, do func()) {
	if !slices.Contains(f.vms, to) {
		return
	}
	if to.paused {
		f.after(step, func() { f.deliver(to, do) })
		return
	}
	do()
}

func (f *fleet) find(id string) *vm {
	for _, v := range f.vms {
		if v.member.ID == id {
			return v
		}
	}
	return nil
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		due := f.pending
		f.pending = nil
		for _, p := range due {
			if p.at.After(f.now) {
				f.pending = append(f.pending, p)
				continue
			}
			p.do()
		}
		beat := f.now.Sub(start)%heartbeat == 0
		for _, v := range f.vms {
			if v.paused {
				continue
			}
			if beat {
				f.list(v)
				f.tell(v, 2)
			}
			for _, a := range v.Tick(f.now) {
				f.act(v, a)
			}
			f.check(v)
		}
	}
}

// check holds what must always be true of a VM.
func (f *fleet) check(v *vm) {
	h := v.History()
	if h.Revision() == 0 {
		return
	}
	must.True(f.t, h.Revision() >= v.revision, must.Sprint("a VM reverted"))
	must.Eq(f.t, f.accepted[h.Revision()].Topology.NoteID, h.Topology.NoteID)
	if v.revision == 0 {
		must.True(f.t, h.Revision() >= v.listed, must.Sprint("a VM booted with less than a live peer has"))
	}
	v.revision = h.Revision()
}

// tell sends a VM's revision to some others.
func (f *fleet) tell(v *vm, count int) {
	id, revision := v.member.ID, v.History().Revision()
	for range count {
		to := f.vms[f.random.IntN(len(f.vms))]
		f.send(to, func() { to.Handle(f.now, wqconfig.RevisionReported{Peer: id, Revision: revision}) })
	}
}

func (f *fleet) act(v *vm, a wqconfig.Action) {
	switch a := a.(type) {
	case wqconfig.Announce:
		f.tell(v, 4)
	case wqconfig.Fetch:
		f.fetch(v, a)
	case wqconfig.ReadStore:
		f.after(10*time.Millisecond, func() { f.deliver(v, func() { f.read(v, a) }) })
	case wqconfig.WatchStore:
		f.watch(v, a, f.now.Add(a.MaxWait))
	}
}

// fetch asks a peer; exactly one answer or failure comes back, an answer
// perhaps twice.
func (f *fleet) fetch(v *vm, a wqconfig.Fetch) {
	f.fetches++
	done := false
	to := f.find(a.Peer.ID)
	f.send(to, func() {
		u := to.History().UpdateSince(a.AfterRevision)
		f.bytes += len(u.Notes)
		if u.Full != nil {
			f.bytes += 1000
		}
		f.send(v, func() {
			if !done {
				done = true
				v.Handle(f.now, wqconfig.FetchSucceeded{Peer: a.Peer.ID, Update: u})
			}
		})
	})
	f.after(fetchTimeout, func() {
		f.deliver(v, func() {
			if !done {
				done = true
				v.Handle(f.now, wqconfig.FetchFailed{Peer: a.Peer.ID})
			}
		})
	})
}

func (f *fleet) read(v *vm, a wqconfig.ReadStore) {
	newest := len(f.accepted) - 1
	if f.stale && a.Linearizable || f.down {
		v.Handle(f.now, wqconfig.StoreCallFailed{})
		return
	}
	if f.stale {
		newest = f.random.IntN(newest + 1)
	}
	v.Handle(f.now, wqconfig.StoreCallSucceeded{History: f.accepted[newest], Revision: uint64(newest), Bytes: 4096})
}

func (f *fleet) watch(v *vm, a wqconfig.WatchStore, until time.Time) {
	f.after(step, func() {
		f.deliver(v, func() {
			newest := len(f.accepted) - 1
			switch {
			case f.down:
				v.Handle(f.now, wqconfig.StoreCallFailed{})
			case uint64(newest) > a.AfterRevision && !f.stale && !f.mute:
				v.Handle(f.now, wqconfig.StoreCallSucceeded{History: f.accepted[newest], Revision: uint64(newest), Bytes: 4096})
			case !f.now.Before(until):
				v.Handle(f.now, wqconfig.StoreCallSucceeded{})
			default:
				f.watch(v, a, until)
			}
		})
	})
}

// publish lets a VM accept the next note by a swap.
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

// Whatever messages, VMs and the store do, no VM reverts or boots with less
// than a live peer has; once messages arrive again, all VMs agree within the
// bound on the newest revision that is left.
func TestFleetNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(r, rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 12).Draw(r, "size"))
		f.publish(f.vms[0])
		f.run(10 * time.Second)
		must.True(r, f.converged(1))
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "loss")
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(r, "vm")
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0, 1, 2:
				if !f.down && !f.vms[i].paused {
					f.publish(f.vms[i])
				}
			case 3:
				f.down = !f.down
			case 4:
				f.stale = !f.stale
			case 5:
				f.boot(i)
			default:
				f.vms[i].paused = !f.vms[i].paused
			}
			f.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "steps")) * step)
		}
		f.loss, f.stale = 0, false
		newest := uint64(0)
		for _, v := range f.vms {
			v.paused = false
			newest = max(newest, v.History().Revision())
		}
		if !f.down {
			newest = uint64(len(f.accepted) - 1)
		}
		f.run(bound + f.vms[0].Timing.MaxBackoff)
		must.True(r, f.converged(newest))
	})
}

// The store dies right after accepting, a tenth of the messages is lost.
func TestAcceptedNoteSpreadsWithoutTheStore(t *testing.T) {
	for _, size := range []int{8, 50, 200} {
		f := newFleet(t, 3, size)
		f.publish(f.vms[0])
		f.run(3 * time.Second)
		f.loss, f.down, f.fetches, f.bytes = 0.1, true, 0, 0
		f.publish(f.vms[size-1])
		began := f.now
		for !f.converged(2) && f.now.Sub(began) < bound {
			f.run(step)
		}
		t.Logf("%d VMs: in force after %s, %d fetches, %d notes sent", size, f.now.Sub(began), f.fetches, f.bytes)
		must.True(t, f.converged(2), must.Sprintf("%d VMs, bound %s", size, bound))
		must.LessEq(t, 2*size, f.fetches)
		must.LessEq(t, 2*size, f.bytes)
	}
}

// All VMs are replaced, one by one, while the store is down.
func TestConfigurationOutlivesAllVMsDuringAnOutage(t *testing.T) {
	f := newFleet(t, 4, 8)
	f.publish(f.vms[0])
	f.run(10 * time.Second)
	f.down = true
	for i := range f.vms {
		f.boot(i)
		f.run(2 * time.Second)
	}
	must.True(t, f.converged(1))
}

// The VM that accepted a note dies before it told anybody, and watches miss
// the change: the watchers' reads find it.
func TestAcceptedNoteSurvivesItsPublisher(t *testing.T) {
	f := newFleet(t, 5, 8)
	f.publish(f.vms[0])
	f.run(10 * time.Second)
	f.mute = true
	f.publish(f.vms[1])
	f.boot(1)
	f.run(bound)
	must.True(t, f.converged(2))
}

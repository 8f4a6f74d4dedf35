package wqcontroller_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqcontroller"
)

// statusStore keeps the status of one rollout, as the store does.
type statusStore struct {
	mutex    sync.Mutex
	revision uint64
	phases   []wqrollout.Phase
	down     bool
}

func (s *statusStore) WriteStatus(_ context.Context, _ wqrollout.Order, statusRevision uint64, p wqrollout.Phase) ([]wqmirror.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, errors.New("no response")
	}
	if statusRevision == s.revision {
		s.revision = max(s.revision, 20) + 10
		s.phases = append(s.phases, p)
	}
	return []wqmirror.Item{{Key: "status", Value: []byte{byte(s.phases[len(s.phases)-1])}, Revision: s.revision}}, nil
}

func (s *statusStore) written() []wqrollout.Phase {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]wqrollout.Phase(nil), s.phases...)
}

// decodeRollout decodes the order under the key order, whose value is its duration, and
// the status that statusStore returns.
func decodeRollout(i wqmirror.Item) wqchange.Change {
	if version, ok := strings.CutPrefix(i.Key, "searcher/"); ok {
		return wqchange.Change{Kind: wqchange.Registered, Registration: wqdirectory.Registration{ID: version, Service: "s", Version: version, Address: "192.0.2.1:80", Zone: "a", Slots: 3}}
	}
	switch i.Key {
	case "order", "order v3":
		if i.Removed {
			return wqchange.Change{Kind: wqchange.RolloutWithdrawn, Service: "s"}
		}
		version := "v2"
		if i.Key == "order v3" {
			version = "v3"
		}
		d, _ := time.ParseDuration(string(i.Value)) // The tests write valid durations.
		return wqchange.Change{Kind: wqchange.RolloutOrdered, Service: "s", Order: wqrollout.Order{Service: "s", Version: version, Duration: d, Revision: i.Revision}}
	case "status":
		if i.Removed {
			return wqchange.Change{Kind: wqchange.RolloutStatus, Service: "s", Status: wqrollout.Status{Service: "s"}}
		}
		return wqchange.Change{Kind: wqchange.RolloutStatus, Service: "s", Status: wqrollout.Status{Service: "s", Version: "v2", Phase: wqrollout.Phase(i.Value[0]), Revision: i.Revision}}
	}
	return wqchange.Change{}
}

// rolloutVM is a controller whose requests end at once.
type rolloutVM struct {
	*wqcontroller.Controller
	meter *wqcanary.Meter
}

func newRolloutVM(ctx context.Context, id string, store *statusStore) *rolloutVM {
	v := &rolloutVM{Controller: wqcontroller.New(wqmember.Member{ID: id, Epoch: 1}, decodeRollout), meter: &wqcanary.Meter{Random: func() float64 { return 0.5 }}}
	v.Rollouts = wqcontroller.Rollouts{Limits: wqbound.Rollout{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}, Meter: v.meter, Status: store}
	go v.Run(ctx)
	v.Deliver(ctx, wqmirror.Batch{Full: true, StoreRevision: 1})
	return v
}

// order delivers an order.
func (v *rolloutVM) order(ctx context.Context, key string, revision uint64) {
	v.Deliver(ctx, wqmirror.Batch{Items: []wqmirror.Item{{Key: key, Value: []byte("20s"), Revision: revision}}, StoreRevision: revision})
}

// serve sends 50 requests a second until ctx ends; those to the new version have this
// outcome.
func (v *rolloutVM) serve(ctx context.Context, outcome wqsend.Outcome) {
	var targets []*wqdirectory.Target
	for i, version := range []string{"v1", "v2"} {
		targets = append(targets, &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: fmt.Sprint(i), Service: "s"}, Version: version})
	}
	p := wqcanary.Picker[firstPicker]{Meter: v.meter, Route: "r", Directives: func() wqrollout.Directives { return v.Plan().Rollouts }}
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		t := p.Pick(time.Now(), targets, nil, 0, 0)
		if t == nil {
			continue
		}
		v.meter.Sent(t, "r")
		result := wqsend.Answered
		if t.Version == "v2" {
			result = outcome
		}
		v.meter.Ended(time.Now(), wqcanary.Outcome{Target: t, Route: "r", Result: result, Elapsed: 5 * time.Millisecond})
	}
}

// firstPicker picks the first target.
type firstPicker struct{}

func (firstPicker) Pick(_ time.Time, targets []*wqdirectory.Target, _ []string, _ time.Duration, _ uint64) *wqdirectory.Target {
	if len(targets) == 0 {
		return nil
	}
	return targets[0]
}

func (firstPicker) Unresponsive(time.Time, string) bool { return false }

// Guards against two verdicts on one order: two VMs that don't see each other coordinate
// it, and the version is bad for one of them only.
func TestTwoCoordinatorsWriteOneVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &statusStore{}
		good, bad := newRolloutVM(ctx, "good", store), newRolloutVM(ctx, "bad", store)
		good.order(ctx, "order", 2)
		bad.order(ctx, "order", 2)
		go good.serve(ctx, wqsend.Answered)
		go bad.serve(ctx, wqsend.Failed)
		time.Sleep(22 * time.Second)
		must.Eq(t, []wqrollout.Phase{wqrollout.Running, wqrollout.RolledBack}, store.written())
		for _, v := range []*rolloutVM{good, bad} {
			must.Eq(t, wqrollout.RolledBack, v.Plan().Rollouts["s"].Phase)
		}
		cancel()
		time.Sleep(time.Second) // For the goroutines of the test.
	})
}

// Guards against a coordinator that forgets its verdict while the store is down, or writes
// it never.
func TestVerdictIsWrittenOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &statusStore{down: true}
		v := newRolloutVM(ctx, "a", store)
		v.order(ctx, "order", 2)
		go v.serve(ctx, wqsend.Failed)
		time.Sleep(8 * time.Second)
		must.Eq(t, wqrollout.RolledBack, v.Plan().Rollouts["s"].Phase)
		must.True(t, strings.Contains(v.Plan().Rollouts["s"].Reason, "failures"), must.Sprint(v.Plan().Rollouts["s"].Reason))
		store.mutex.Lock()
		store.down = false
		store.mutex.Unlock()
		time.Sleep(5 * time.Second)
		must.Eq(t, []wqrollout.Phase{wqrollout.RolledBack}, store.written())
		cancel()
		time.Sleep(time.Second) // For the goroutines of the test.
	})
}

// Guards against a version that gets half of the requests between its registration and its
// order, and against one that waits for an order for ever.
func TestVersionWithoutAnOrderIsHeldForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		v := newRolloutVM(ctx, "a", &statusStore{})
		register := func(version string, revision uint64) {
			v.Deliver(ctx, wqmirror.Batch{Items: []wqmirror.Item{{Key: "searcher/" + version, Value: []byte(version), Revision: revision}}, StoreRevision: revision})
		}
		register("v1", 4)
		time.Sleep(2 * time.Second)
		must.MapLen(t, 0, v.Plan().Rollouts)
		register("v2", 5)
		must.Eq(t, wqrollout.Held, v.Plan().Rollouts["s"].Phase)
		must.Eq(t, "v2", v.Plan().Rollouts["s"].Version)
		time.Sleep(8 * time.Second)
		must.MapLen(t, 0, v.Plan().Rollouts)
		cancel()
		synctest.Wait()
	})
}

// Guards against a service that is refused because an order names the version that it has
// been moved to already.
func TestRepeatedOrderOfACompletedVersionIsCompletedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &statusStore{revision: 20, phases: []wqrollout.Phase{wqrollout.Completed}}
		v := newRolloutVM(ctx, "a", store)
		v.Deliver(ctx, wqmirror.Batch{Items: []wqmirror.Item{{Key: "status", Value: []byte{byte(wqrollout.Completed)}, Revision: 20}}, StoreRevision: 20})
		v.order(ctx, "order", 21)
		must.Eq(t, wqrollout.Completed, v.Plan().Rollouts["s"].Phase)
		time.Sleep(2 * time.Second)
		must.Eq(t, []wqrollout.Phase{wqrollout.Completed, wqrollout.Completed}, store.written())
		cancel()
		synctest.Wait()
	})
}

// Guards against a version whose order was replaced and that counts as an old one from then
// on.
func TestVersionOfAReplacedOrderIsBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		v := newRolloutVM(ctx, "a", &statusStore{})
		v.order(ctx, "order", 2)
		v.order(ctx, "order v3", 9)
		must.Eq(t, "v3", v.Plan().Rollouts["s"].Version)
		must.Eq(t, []string{"v2"}, v.Plan().Rollouts["s"].Barred)
		cancel()
		synctest.Wait()
	})
}

// Guards against an order that takes effect in a VM that hears nothing from a coordinator:
// the new version must not be used.
func TestNewVersionIsUnusedWithoutACoordinator(t *testing.T) {
	now := time.Now()
	d := wqrollout.Directive{Phase: wqrollout.Running, Share: 0.07, ValidUntil: now}
	must.False(t, d.AllowsNew(now))
	d.Phase = wqrollout.Switching
	must.False(t, d.AllowsNew(now))
	must.False(t, d.PrefersNew(now))
}

package wqcanary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcanary"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
)

type firstPicker struct{}

func (firstPicker) Pick(_ time.Time, targets []*wqdirectory.Target, _ []string, _ time.Duration, _ uint64) *wqdirectory.Target {
	if len(targets) == 0 {
		return nil
	}
	return targets[0]
}

func (firstPicker) Unresponsive(time.Time, string) bool { return false }

var now = time.Unix(1000, 0)

func target(version string) *wqdirectory.Target {
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: version, Service: "s"}, Version: version}
}

// newPicker returns the picker of one VM under a directive.
func newPicker(d wqrollout.Directive, random float64) wqcanary.Picker[firstPicker] {
	d.Service, d.Version, d.OrderRevision = "s", "v2", 5
	directives := wqrollout.Directives{"s": d}
	m := &wqcanary.Meter{Random: func() float64 { return random }}
	m.SetDirectives(directives)
	return wqcanary.Picker[firstPicker]{Meter: m, Route: "r", Directives: func() wqrollout.Directives { return directives }}
}

func running(share float64) wqrollout.Directive {
	return wqrollout.Directive{Phase: wqrollout.Running, Share: share, ValidUntil: now.Add(time.Second)}
}

// send plays one send and returns the version it went to.
func send(p wqcanary.Picker[firstPicker], targets []*wqdirectory.Target, o wqsend.Outcome) string {
	t := p.Pick(now, targets, nil, 0, 0)
	if t == nil {
		return ""
	}
	p.Meter.Sent(t, p.Route)
	p.Meter.Ended(now, wqcanary.Outcome{Target: t, Route: p.Route, Result: o, Elapsed: time.Millisecond})
	return t.Version
}

// Guards against a sum over many VMs that is off, though each VM sends only a few requests.
func TestShareHoldsOverVMsWithFewRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	targets := []*wqdirectory.Target{target("v1"), target("v2")}
	sentNew, sent := 0, 0
	for range 3000 {
		p := newPicker(running(0.07), random.Float64())
		for range 1 + random.IntN(4) {
			sent++
			if send(p, targets, wqsend.Answered) == "v2" {
				sentNew++
			}
		}
	}
	must.Between(t, 0.063, float64(sentNew)/float64(sent), 0.077)
}

// Guards against credit for sends that did not reach the service.
func TestSendsThatDidNotReachTheServiceEarnNothing(t *testing.T) {
	p := newPicker(running(0.1), 0.5)
	targets := []*wqdirectory.Target{target("v1"), target("v2")}
	for range 100 {
		must.Eq(t, "v1", send(p, targets, wqsend.Unreachable))
	}
}

// Guards against requests to a version that the directive does not allow.
func TestPickerObeysTheDirective(t *testing.T) {
	both := []*wqdirectory.Target{target("v1"), target("v2")}
	valid := now.Add(time.Second)
	for name, c := range map[string]struct {
		directive              wqrollout.Directive
		both, onlyNew, onlyOld string
	}{
		"running with credit":       {running(1), "v2", "v2", "v1"},
		"running without credit":    {running(0.01), "v1", "", "v1"},
		"without the coordinator":   {wqrollout.Directive{Phase: wqrollout.Running, Share: 1, ValidUntil: now}, "v1", "", "v1"},
		"switching":                 {wqrollout.Directive{Phase: wqrollout.Switching, Share: 1, ValidUntil: valid}, "v2", "v2", "v1"},
		"switching, no coordinator": {wqrollout.Directive{Phase: wqrollout.Switching, Share: 1, ValidUntil: now}, "v1", "", "v1"},
		"completed":                 {wqrollout.Directive{Phase: wqrollout.Completed}, "v2", "v2", "v1"},
		"rolled back":               {wqrollout.Directive{Phase: wqrollout.RolledBack}, "v1", "", "v1"},
		"held":                      {wqrollout.Directive{Phase: wqrollout.Held}, "v1", "v2", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.both, send(newPicker(c.directive, 0.5), both, wqsend.Answered))
			must.Eq(t, c.onlyNew, send(newPicker(c.directive, 0.5), both[1:], wqsend.Answered))
			must.Eq(t, c.onlyOld, send(newPicker(c.directive, 0.5), both[:1], wqsend.Answered))
		})
	}
}

// Guards against a VM that goes on sending to a failing version until a coordinator, which
// may be gone, stops it.
func TestVMStopsOnItsOwnEvidence(t *testing.T) {
	p := newPicker(running(1), 0.5)
	sentNew := 0
	for range 50 {
		if send(p, []*wqdirectory.Target{target("v1"), target("v2")}, wqsend.Failed) == "v2" {
			sentNew++
		}
	}
	must.Eq(t, 6, sentNew)
}

// The cost for each request of a service without a rollout.
func BenchmarkWithoutRollout(b *testing.B) {
	m := &wqcanary.Meter{Random: func() float64 { return 0.5 }}
	p := wqcanary.Picker[firstPicker]{Meter: m, Route: "r", Directives: func() wqrollout.Directives { return nil }}
	targets := []*wqdirectory.Target{target("v1"), target("v2")}
	b.ReportAllocs()
	for b.Loop() {
		t := p.Pick(now, targets, nil, 0, 0)
		m.Sent(t, p.Route)
		m.Ended(now, wqcanary.Outcome{Target: t, Route: p.Route, Result: wqsend.Answered})
	}
}

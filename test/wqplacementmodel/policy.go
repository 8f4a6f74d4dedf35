package wqplacementmodel

import (
	"slices"
	"time"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqselector"
	"wisteriaquay/core/wqsend"
)

// Policy is a policy to compare.
type Policy interface {
	// NewVM returns the policy's state on one VM.
	NewVM(m *Model, index int, zone string) VMPolicy
}

// VMPolicy places the requests of one VM.
type VMPolicy interface {
	// Delay returns the time that the policy needs before it can place a request.
	Delay(q *request) time.Duration
	// Picker returns the picker of one request.
	Picker(q *request) wqgather.Picker
	// Start records a send and returns the function that records its end.
	Start(q *request, s wqgather.Send) func(now time.Time, o wqsend.Outcome)
}

// LeastLatency is the policy that decides by latencies. If Shared is true, all VMs see
// all sends, at once and at no cost.
type LeastLatency struct {
	Shared  bool
	tracker *wqselector.Tracker
}

type leastLatencyVM struct {
	model   *Model
	tracker *wqselector.Tracker
	zone    string
}

// NewVM implements Policy.
func (l *LeastLatency) NewVM(m *Model, index int, zone string) VMPolicy {
	if index == 0 || !l.Shared {
		l.tracker = wqselector.New()
	}
	return &leastLatencyVM{model: m, tracker: l.tracker, zone: zone}
}

func (*leastLatencyVM) Delay(*request) time.Duration { return 0 }

func (v *leastLatencyVM) Picker(*request) wqgather.Picker {
	return wqselector.LeastLatency{Tracker: v.tracker, Zone: v.zone, SenderCount: v.model.Fleet.VMs}
}

func (v *leastLatencyVM) Start(q *request, s wqgather.Send) func(time.Time, wqsend.Outcome) {
	inFlight := v.tracker.Start(v.model.now, s.Target.Searcher.ID)
	return func(now time.Time, o wqsend.Outcome) { inFlight.Done(now, o, q.latency.MeanLatency()) }
}

// Oracle knows the work of each request, the queues and the future speeds.
type Oracle struct{}

// NewVM implements Policy.
func (Oracle) NewVM(m *Model, _ int, zone string) VMPolicy { return oracleVM{model: m, zone: zone} }

type oracleVM struct {
	model *Model
	zone  string
}

func (oracleVM) Delay(*request) time.Duration { return 0 }

func (v oracleVM) Picker(q *request) wqgather.Picker { return oraclePicker{oracleVM: v, request: q} }

func (oracleVM) Start(*request, wqgather.Send) func(time.Time, wqsend.Outcome) {
	return func(time.Time, wqsend.Outcome) {}
}

type oraclePicker struct {
	oracleVM
	request *request
}

// Pick returns the searcher that would end the request first.
func (p oraclePicker) Pick(now time.Time, targets []*wqdirectory.Target, tried []string, _ time.Duration, _ uint64) *wqdirectory.Target {
	var best *wqdirectory.Target
	var bestEnd time.Time
	work := p.request.work[slices.Index(p.model.services, targets[0].Searcher.Service)]
	for _, t := range targets {
		if slices.Contains(tried, t.Searcher.ID) {
			continue
		}
		delay := networkDelay(p.zone, t.Searcher.Zone)
		end, ok := p.model.searchers[t.Searcher.ID].finishOfNext(now.Add(delay), work)
		end = end.Add(delay)
		if !ok {
			end = end.Add(time.Minute)
		}
		if best == nil || end.Before(bestEnd) {
			best, bestEnd = t, end
		}
	}
	return best
}

func (oraclePicker) Unresponsive(time.Time, string) bool { return false }

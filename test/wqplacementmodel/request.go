package wqplacementmodel

import (
	"time"

	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqlatency"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqretryquota"
	"wisteriaquay/core/wqsend"
)

// request is one request of a client, driven as io/wqrelay drives it.
type request struct {
	model   *Model
	vm      *vm
	client  int
	kind    int
	arrived time.Time
	work    []time.Duration // for each service

	gather  *wqgather.Gather[wqgather.Picker, hedgePolicy]
	latency *wqlatency.Estimator
	wakeAt  time.Time
	sends   map[int]*send
	ended   bool
	advice  wqplacer.Advice // of the placing VM, and the send that it is for
	placed  *wqplacer.Request
}

// send is one send of a request, with the searcher's job.
type send struct {
	job      *job
	searcher *searcher
	done     func(now time.Time, o wqsend.Outcome)
}

// hedgePolicy is the one of io/wqrelay.
type hedgePolicy struct {
	*wqlatency.Estimator
	quota *wqretryquota.Quota
	vms   int
}

func (p hedgePolicy) TrySpend(now time.Time, service string) bool {
	return p.quota.TrySpend(now, service, p.vms)
}

// begin sends the request once the policy has what it needs.
func (q *request) begin() {
	m := q.model
	if d := q.vm.placement.Delay(q); d > 0 {
		m.at(m.now.Add(d), q.place)
		return
	}
	q.place()
}

func (q *request) place() {
	m := q.model
	if q.advice.Refuse {
		q.gather = &wqgather.Gather[wqgather.Picker, hedgePolicy]{}
		q.end(wqgather.Refused)
		return
	}
	for _, s := range m.services {
		q.vm.quota.CountRequest(m.now, s)
	}
	q.latency = q.vm.latencies.Estimator(m.route.Name, m.route.Objective)
	q.sends = make(map[int]*send)
	q.gather = &wqgather.Gather[wqgather.Picker, hedgePolicy]{
		Route: m.route, Services: m.services, Random: m.random.Uint64, Picker: q.vm.placement.Picker(q),
		HedgePolicy: hedgePolicy{Estimator: q.latency, quota: q.vm.quota, vms: m.Fleet.VMs},
		Deadline:    q.arrived.Add(m.Fleet.Timeout),
	}
	if m.route.FanOut() {
		q.gather.PartialAfter = q.arrived.Add(m.Fleet.Objective - partialMargin)
	}
	q.startSends(q.gather.Start(m.now, m.pools))
	q.advance()
}

// advance ends the request if it has a result, and else sets the next wake.
func (q *request) advance() {
	if q.ended {
		return
	}
	m := q.model
	if s := q.gather.State(m.now); s != wqgather.Pending {
		q.end(s)
		return
	}
	next := q.gather.NextWake(m.now)
	if !q.wakeAt.IsZero() && !next.Before(q.wakeAt) {
		return
	}
	q.wakeAt = next
	m.at(next, func() {
		if q.ended || !q.wakeAt.Equal(next) {
			return
		}
		q.wakeAt = time.Time{}
		q.startSends(q.gather.Wake(m.now, m.pools))
		q.advance()
	})
}

func (q *request) end(s wqgather.State) {
	q.ended = true
	for id := range q.sends {
		q.cancel(id)
	}
	if q.arrived.Sub(q.model.start) < warmUp {
		return
	}
	answered := 0
	for i := range q.gather.Services {
		if q.gather.Answered(i) {
			answered++
		}
	}
	q.model.report.add(q, s, float64(answered)/float64(max(len(q.gather.Services), 1)))
}

func (q *request) startSends(sends []wqgather.Send) {
	m := q.model
	for _, s := range sends {
		to := m.searchers[s.Target.Searcher.ID]
		delay := networkDelay(q.vm.zone, s.Target.Searcher.Zone)
		x := &send{searcher: to, job: &job{work: q.work[s.ServiceIndex]}}
		x.done = q.vm.placement.Start(q, s)
		x.job.finished = func(answered bool) {
			m.at(m.now.Add(delay), func() { q.handleResult(s, answered) })
		}
		q.sends[s.ID] = x
		to.inTransit = append(to.inTransit, x.job)
		m.report.sends++
		if s.Extra {
			m.report.extra++
		}
		sentAt := m.now
		previous := x.done
		x.done = func(now time.Time, o wqsend.Outcome) {
			previous(now, o)
			switch o {
			case wqsend.Answered:
				q.latency.Observe(now, now.Sub(sentAt))
			case wqsend.Cancelled:
				q.latency.ObserveAbandoned(now, now.Sub(sentAt))
			}
		}
		m.at(m.now.Add(delay), func() { to.arrive(m, x.job) })
	}
}

func (q *request) handleResult(s wqgather.Send, answered bool) {
	m := q.model
	x := q.sends[s.ID]
	if x == nil {
		return
	}
	delete(q.sends, s.ID)
	outcome := wqsend.Declined
	if answered {
		outcome = wqsend.Answered
	}
	x.done(m.now, outcome)
	if q.ended {
		return
	}
	q.startSends(q.gather.HandleResult(m.now, m.pools, s, wqsend.Result{Outcome: outcome, Signature: "s"}))
	if q.gather.Answered(s.ServiceIndex) {
		for _, id := range q.gather.RemoveInFlight(s.ServiceIndex) {
			q.cancel(id)
		}
	}
	q.advance()
}

// cancel withdraws a send whose result is not needed any more.
func (q *request) cancel(id int) {
	m := q.model
	x := q.sends[id]
	delete(q.sends, id)
	x.done(m.now, wqsend.Cancelled)
	delay := networkDelay(q.vm.zone, x.searcher.target.Searcher.Zone)
	m.at(m.now.Add(delay), func() { x.searcher.cancel(x.job) })
}

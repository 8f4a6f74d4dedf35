// Package wqrollout decides on the rollout of a version of searchers: which share of a
// service's requests the new version gets, when all requests move to it, and when it is
// given up. One VM, the coordinator, runs a Rollout on the evidence that all VMs report.
//
// The new version gets a small share until shortly before the deadline, since everything
// it gets after the move counts against the limit if it turns out to be bad. Then the
// share rises in steps, which uses the part of the limit that was left for the purpose,
// so that faults that appear under load only are seen within the limit. In doubt the
// version is rolled back: a good version that is not completed costs less than a bad one
// that gets too many requests.
//
// Load handled: 920 VMs that report twice a second, 5 to 500 requests a second.
//
// # Usage
//
//	r := wqrollout.New(order, limits, now)
//	r.HandleReport(now, report)
//	r.Tick(now, liveVMs)
//	directive := r.Directive()
package wqrollout

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqverdict"
)

const (
	// ContactTimeout is the time without the coordinator after which a VM stops using
	// the new version.
	ContactTimeout = 2 * time.Second
	// MinDuration is the shortest time from an order to its deadline in which a version
	// can be judged and all requests moved.
	MinDuration = 12 * time.Second

	runningShare   = 0.6  // runningShare is the part of the limit's share that is used while nothing else is known.
	provenShare    = 0.3  // provenShare is that part once there is much evidence; the rest is left for the steps.
	provenFrom     = 300  // provenFrom is the number of responses from which provenShare is used.
	slackShare     = 0.12 // slackShare is the part of the slack that few requests may use before the steps.
	cautionShare   = 0.8  // cautionShare of the limit's share and of the slack; beyond it nothing more is spent.
	maxBoost       = 0.5  // maxBoost bounds the share of the new version before the steps.
	minResponses   = 15   // minResponses is the least evidence for completion.
	minReporting   = 0.6  // minReporting is the part of the VMs with traffic that must have reported lately.
	freshFor       = 1800 * time.Millisecond
	forgetAfter    = 10 * time.Second // forgetAfter is the time without a report after which a VM counts as gone.
	minForWeights  = 20               // minForWeights is the number of responses from which the routes are weighted.
	maxWeight      = 4.0              // maxWeight bounds the weight of a route, and its inverse.
	maxVMs         = 4096             // maxVMs and maxRowsPerVM bound the memory for reports.
	maxRowsPerVM   = 512
	maxRoutes      = 256 // maxRoutes bounds the memory for weights.
	rateHalfLife   = 4 * time.Second
	stepTime       = 1500 * time.Millisecond // stepTime lets evidence of a step arrive before the next.
	completionLead = 3 * time.Second         // completionLead is the time for the write before the deadline.
	switchTime     = 1500 * time.Millisecond // switchTime is the time in which requests in flight on the old version end.
	minLead        = 8 * time.Second         // minLead is the least time before the deadline at which the steps begin.
	maxLead        = 9 * time.Second
	leadShare      = 0.2 // leadShare is the part of the duration for the steps, within minLead and maxLead.
)

// steps are the shares on the way to the move. The last one keeps some requests on the
// old version, as the comparison for faults that hit both.
var steps = [...]float64{0.25, 0.5, 0.9}

// Rollout is the state of one rollout at its coordinator. Create it with New.
type Rollout struct {
	Order     Order
	Limits    wqbound.Rollout
	FleetSize int  // FleetSize is the number of VMs that send to the service, with those that are not reached.
	Recovered bool // Recovered is true while no VM knows the time of the order.

	phase      Phase
	share      float64
	reason     string
	moved      bool      // moved is true once nothing keeps the rollout from being completed.
	firstSeen  time.Time // firstSeen is the time of the order as far as it is known.
	createdAt  time.Time
	step       int // step counts the steps begun, 0 before the first.
	stepAt     time.Time
	vms        map[string]*vmState
	test       *wqverdict.Test
	pending    []wqverdict.Row
	routeSends map[string]float64 // routeSends counts the responses of the old version.
	sentNew    uint64
	sentOld    uint64
	rate       float64 // rate is the moving average of sends a second.
	countedAt  time.Time
	counted    uint64
}

// vmState is the latest report of one process.
type vmState struct {
	epoch       uint64
	rows        map[wqverdict.Key]wqverdict.Row
	sentNew     uint64
	sentOld     uint64
	oldInFlight int
	reportedAt  time.Time
	sequence    uint64 // sequence is the latest report whose rows are all known, 0 for none.
}

// New returns a rollout that begins at now. Its start is corrected by reports of VMs
// that know the order for longer.
func New(o Order, limits wqbound.Rollout, now time.Time) *Rollout {
	if limits.Share <= 0 {
		limits = DefaultLimits()
	}
	return &Rollout{
		Order: o, Limits: limits, Recovered: true, phase: Running, firstSeen: now, createdAt: now, countedAt: now,
		vms: make(map[string]*vmState), routeSends: make(map[string]float64), test: wqverdict.New(), share: runningShare * limits.Share,
	}
}

// Phase returns the phase and, for RolledBack, the reason.
func (r *Rollout) Phase() (Phase, string) { return r.phase, r.reason }

// Due returns the state that has to be in the store: Running, RolledBack or Completed.
// Until Completed is in the store, evidence may still change it to RolledBack.
func (r *Rollout) Due() Phase {
	switch {
	case r.phase == RolledBack:
		return RolledBack
	case r.moved:
		return Completed
	}
	return Running
}

// Sent returns the reported sends to the new and to the old version.
func (r *Rollout) Sent() (sentNew, sentOld uint64) { return r.sentNew, r.sentOld }

// Responses returns the number of responses of the new version that were compared.
func (r *Rollout) Responses() uint64 { return r.test.Responses() }

// Directive returns what the VMs have to do; its ValidUntil is not set.
func (r *Rollout) Directive() Directive {
	d := Directive{
		Service: r.Order.Service, Version: r.Order.Version, OrderRevision: r.Order.Revision,
		Phase: r.phase, Share: r.share, Step: r.step, Reason: r.reason,
	}
	if r.phase == Running && r.step == 0 {
		d.Weights = r.weights()
	}
	return d
}

// weights returns factors on the share with which all routes get about the same number of
// requests to the new version. Their mean over the requests of the old version is 1.
func (r *Rollout) weights() map[string]float64 {
	total := 0.0
	for _, n := range r.routeSends {
		total += n
	}
	if len(r.routeSends) < 2 || total < minForWeights {
		return nil
	}
	weights := make(map[string]float64, len(r.routeSends))
	mean := 0.0
	for name, n := range r.routeSends {
		w := min(max(total/(n+1)/float64(len(r.routeSends)), 1/maxWeight), maxWeight)
		weights[name] = w
		mean += w * n / total
	}
	for name := range weights {
		weights[name] /= mean
	}
	return weights
}

// RollBack gives the version up.
func (r *Rollout) RollBack(reason string) {
	if r.phase.Final() {
		return
	}
	r.phase, r.share, r.reason, r.moved = RolledBack, 0, reason, false
}

// HandleReport takes in the evidence of one VM. It reports false if rows are missing, so
// that the VM has to send all of them.
func (r *Rollout) HandleReport(now time.Time, report *Report) bool {
	if report.OrderRevision != r.Order.Revision {
		return true
	}
	if report.RolledBack != "" {
		r.RollBack(report.RolledBack)
	}
	if report.Witnessed {
		r.Recovered = false
		age := time.Duration(min(max(report.AgeMillis, 0), time.Hour.Milliseconds())) * time.Millisecond
		if at := now.Add(-age); at.Before(r.firstSeen) {
			r.firstSeen = at
		}
	}
	r.continueAt(now, report.Step)
	v := r.vms[report.VM]
	if v == nil && len(r.vms) >= maxVMs {
		return true
	}
	if v == nil || v.epoch != report.Epoch {
		v = &vmState{epoch: report.Epoch, rows: make(map[wqverdict.Key]wqverdict.Row)}
		r.vms[report.VM] = v
	}
	r.addRows(v, report.Rows)
	r.sentNew += max(report.SentNew, v.sentNew) - v.sentNew
	r.sentOld += max(report.SentOld, v.sentOld) - v.sentOld
	v.sentNew, v.sentOld = max(report.SentNew, v.sentNew), max(report.SentOld, v.sentOld)
	v.oldInFlight, v.reportedAt = report.OldInFlight, now
	if v.sequence < report.Base {
		return false
	}
	v.sequence = max(v.sequence, report.Sequence)
	return true
}

// addRows adds the growth of the rows of one VM to the evidence.
func (r *Rollout) addRows(v *vmState, rows []wqverdict.Row) {
	for i := range rows {
		row := &rows[i]
		if _, known := v.rows[row.Key()]; !known && len(v.rows) >= maxRowsPerVM {
			continue
		}
		before := v.rows[row.Key()]
		growth := row.Since(&before)
		r.pending = append(r.pending, growth)
		if !row.New && (len(r.routeSends) < maxRoutes || r.routeSends[row.Route] > 0) {
			r.routeSends[row.Route] += float64(growth.Answered + growth.Failed + growth.Lost)
		}
		v.rows[row.Key()] = *row
	}
}

// continueAt goes on at the step that another coordinator had reached.
func (r *Rollout) continueAt(now time.Time, step int) {
	if r.phase.Final() || step <= r.step || step > len(steps) {
		return
	}
	r.step, r.share, r.stepAt = step, steps[step-1], now
}

// Resume makes all reports count as old, after a time in which the coordinator did not run:
// those that arrived since then may have waited.
func (r *Rollout) Resume() {
	for _, v := range r.vms {
		v.reportedAt = time.Time{}
	}
}

// Tick evaluates the evidence and takes the steps that are due.
func (r *Rollout) Tick(now time.Time) {
	r.updateRate(now)
	if r.phase.Final() {
		r.pending = nil
		return
	}
	r.test.LatencyFrozen = r.step > 0
	r.test.Add(now, r.pending)
	r.pending = nil
	if reason := r.test.Bad(); reason != "" {
		r.RollBack(reason)
		return
	}
	switch {
	case r.Order.Duration < MinDuration:
		r.RollBack(fmt.Sprintf("duration %s is too short for a verdict; order at least %s", r.Order.Duration, MinDuration))
	case r.phase == Switching:
		r.finish(now)
	case r.step == 0 && now.Before(r.stepsAt()):
		r.share = r.quietShare(now)
	default:
		r.advance(now)
	}
}

// Deadline returns the time at which the rollout has to be completed. Without the time
// of the order, it assumes that two thirds of the duration are over.
func (r *Rollout) Deadline() time.Time {
	if r.Recovered {
		return r.createdAt.Add(max(r.Order.Duration/3, MinDuration))
	}
	return r.firstSeen.Add(r.Order.Duration)
}

// stepsAt returns when the steps begin.
func (r *Rollout) stepsAt() time.Time {
	lead := min(max(time.Duration(leadShare*float64(r.Order.Duration)), minLead), maxLead)
	return r.Deadline().Add(-lead)
}

// quietShare returns the share of the new version before the steps. Few requests use a
// part of the slack, as their share alone gives too little evidence.
func (r *Rollout) quietShare(now time.Time) float64 {
	usual := runningShare * r.Limits.Share
	caution := cautionShare * (r.Limits.Share*float64(r.sentNew+r.sentOld) + r.Limits.Slack)
	switch {
	case float64(r.sentNew) > caution:
		return 0
	case r.test.Responses() >= provenFrom:
		return provenShare * r.Limits.Share
	case r.Recovered || r.rate <= 0 || now.Sub(r.createdAt) < rateHalfLife:
		return usual
	}
	total := r.rate * r.stepsAt().Sub(r.firstSeen).Seconds()
	// Other coordinators may exist, so each uses the slack for the VMs that report to it.
	part := min(1, float64(r.fresh(now))/float64(max(r.FleetSize, 1)))
	return min(usual+part*slackShare*r.Limits.Slack/max(total, 1), maxBoost)
}

// advance takes the next step if the evidence allows it.
func (r *Rollout) advance(now time.Time) {
	finishAt := r.Deadline().Add(-completionLead - switchTime)
	switch {
	case r.test.Responses() < minResponses/2 && r.step == 0:
		r.RollBack(r.tooLittle(minResponses / 2))
	case !now.Before(r.Deadline().Add(-completionLead / 2)):
		r.RollBack("the evidence stayed unclear until the deadline")
	case r.test.Suspicious() || !r.informed(now):
	case r.step < len(steps) && (r.step == 0 || now.Sub(r.stepAt) >= stepTime):
		r.share = steps[r.step]
		r.step, r.stepAt = r.step+1, now
	case r.step < len(steps) || now.Before(finishAt) || now.Sub(r.stepAt) < stepTime:
	case r.test.Responses() < minResponses:
		r.RollBack(r.tooLittle(minResponses))
	default:
		r.phase, r.share, r.stepAt = Switching, 1, now
	}
}

func (r *Rollout) tooLittle(needed int) string {
	return fmt.Sprintf("too little evidence: %d responses of the new version, %d needed", r.test.Responses(), needed)
}

// finish completes the rollout once nothing is in flight on the old version, or at the
// latest while there is time for the write.
func (r *Rollout) finish(now time.Time) {
	lastCall := !now.Before(r.Deadline().Add(-completionLead / 2))
	switch {
	case r.moved:
	case !r.informed(now) && lastCall:
		r.RollBack("too few VMs reported before the deadline")
	case r.test.Suspicious() && lastCall:
		r.RollBack("the evidence stayed unclear until the deadline")
	case !r.informed(now) || r.test.Suspicious() || now.Sub(r.stepAt) < switchTime:
	case r.oldInFlight(now) == 0 || lastCall:
		r.moved = true
	}
}

// informed reports whether most of the fleet has reported lately, and most of the VMs with
// traffic. A coordinator that was frozen or cut off must not act on old evidence.
func (r *Rollout) informed(now time.Time) bool {
	fresh, known := 0, 0
	for _, v := range r.vms {
		if v.sentNew+v.sentOld == 0 || now.Sub(v.reportedAt) > forgetAfter {
			continue
		}
		known++
		if now.Sub(v.reportedAt) <= freshFor {
			fresh++
		}
	}
	return fresh > 0 && float64(fresh) >= minReporting*float64(known) && 2*r.fresh(now) > r.FleetSize
}

// fresh returns the number of VMs that have reported lately.
func (r *Rollout) fresh(now time.Time) int {
	n := 0
	for _, v := range r.vms {
		if now.Sub(v.reportedAt) <= freshFor {
			n++
		}
	}
	return n
}

func (r *Rollout) oldInFlight(now time.Time) int {
	n := 0
	for _, v := range r.vms {
		if now.Sub(v.reportedAt) <= freshFor {
			n += v.oldInFlight
		}
	}
	return n
}

func (r *Rollout) updateRate(now time.Time) {
	elapsed := now.Sub(r.countedAt)
	if elapsed < time.Second {
		return
	}
	sent := r.sentNew + r.sentOld
	current := float64(sent-r.counted) / elapsed.Seconds()
	if r.counted == 0 {
		r.rate = current
	}
	weight := min(1, float64(elapsed)/float64(2*rateHalfLife))
	r.rate += weight * (current - r.rate)
	r.countedAt, r.counted = now, sent
}

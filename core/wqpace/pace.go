// Package wqpace spaces the requests that a VM sends to a searcher which takes a limited
// rate from all VMs together.
//
// Each of the VMs that share the rate uses an equal part of it, without messages. What a
// VM did not use within the last second it may still use, so that requests that arrive
// unevenly use the whole part. A VM sends its first request at a random time, since all
// VMs learn of a limit at about the same moment.
//
// # Usage
//
//	p := &wqpace.Pace{}
//	if p.Take(now, limit/float64(vms), random) { ... send ... }
//	wait := p.Wait(now) // 0 if Take may succeed
package wqpace

import "time"

const (
	// maxCredit is the time for which an unused part of the rate may still be used. With
	// it, the VMs send up to a quarter more than the rate in 4 s, and one request each.
	maxCredit = time.Second
	// maxInterval bounds the time between two sends whatever the rate.
	maxInterval = 24 * time.Hour
)

// Pace holds what one VM has sent to one searcher. The zero value is ready to use. It is
// not safe for concurrent use.
type Pace struct {
	exhausted time.Time // exhausted is when a VM without credit may send its next request.
	interval  time.Duration
}

// Wait returns the time until the next request may be sent, 0 if one may be now.
func (p *Pace) Wait(now time.Time) time.Duration {
	return max(0, p.exhausted.Add(-maxCredit).Sub(now))
}

// Interval returns the time between two requests without credit, 0 before the first Take.
func (p *Pace) Interval() time.Duration { return p.interval }

// Take counts a request and returns true if it may be sent now. Rate is this VM's part, in
// requests per second; random is any random number.
func (p *Pace) Take(now time.Time, rate float64, random uint64) bool {
	p.setRate(now, rate, random)
	if p.Wait(now) > 0 {
		return false
	}
	if p.exhausted.Before(now) {
		p.exhausted = now
	}
	p.exhausted = p.exhausted.Add(p.interval)
	return true
}

// setRate changes the time between two requests. The wait for the next one changes in
// proportion.
func (p *Pace) setRate(now time.Time, rate float64, random uint64) {
	interval := maxInterval
	if seconds := 1 / rate; seconds < maxInterval.Seconds() { // Also false for a rate of 0.
		interval = time.Duration(seconds * float64(time.Second))
	}
	switch {
	case p.exhausted.IsZero():
		phase := float64(random>>11) / (1 << 53)
		p.exhausted = now.Add(maxCredit + time.Duration(phase*float64(interval)))
	case interval != p.interval && p.interval > 0:
		wait := p.Wait(now)
		scaled := time.Duration(float64(wait) * float64(interval) / float64(p.interval))
		p.exhausted = p.exhausted.Add(scaled - wait)
	}
	p.interval = interval
}

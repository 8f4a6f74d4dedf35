package wqrelay

import (
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqretryafter"
	"wisteriaquay/core/wqstatement"
)

// refusedReply returns the reply for a request that did not run because no searcher
// accepted it. If all searchers of a service want no requests for some time, the caller
// is told to come back after that.
func (d *driver[S, P]) refusedReply() wqcall.Reply {
	wait := d.unavailableTime(time.Now())
	if wait == 0 {
		return wqcall.Reply{Status: wqcall.NotRun, Reason: d.describeMissing("no searcher accepted the request"), RetryAfter: wqretryafter.NoCapacity}
	}
	if wait == wqstatement.Never { // Until other searchers register.
		wait = wqretryafter.NoCapacity
	}
	return wqcall.Reply{
		Status: wqcall.NotRun, Reason: d.describeMissing("all searchers of a service reject requests, are at their limit or are leaving"),
		RetryAfter: wqretryafter.Spread(wait, rand.Uint64()),
	}
}

// unavailableTime returns the longest time that any service without an answer still
// can't be sent requests, 0 if all can.
func (d *driver[S, P]) unavailableTime(now time.Time) time.Duration {
	pools, longest := d.relay.Plan().Pools, time.Duration(0)
	for i, service := range d.gather.Services {
		if !d.gather.Answered(i) {
			wait, _ := d.relay.Statements.Wait(now, pools[service])
			longest = max(longest, wait)
		}
	}
	return longest
}

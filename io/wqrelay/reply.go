package wqrelay

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqgather"
	"wisteriaquay/core/wqmerge"
	"wisteriaquay/core/wqretryafter"
	"wisteriaquay/core/wqsend"
)

const (
	recordBytes      = 16 // size of one record in a searcher's body
	maxNamedServices = 3  // services named in one reason
)

// greatestFirst orders records by their bytes in descending order.
type greatestFirst struct{}

// Before reports whether a is greater than b.
func (greatestFirst) Before(a, b *[]byte) bool { return bytes.Compare(*a, *b) > 0 }

// reply returns the reply to the caller for a final state.
func (d *driver[S, P]) reply(s wqgather.State) wqcall.Reply {
	switch s {
	case wqgather.Complete, wqgather.Partial:
		if d.gather.Route.FanOut() {
			return d.mergedReply()
		}
		return searcherReply(&d.gather.Results[0], wqcall.Answered)
	case wqgather.Refused:
		if !d.gather.LastSendAt.IsZero() && time.Now().Before(d.gather.Deadline) {
			return wqcall.Reply{Status: wqcall.NotRun, Reason: d.describeMissing(errStopping.Error()), RetryAfter: wqretryafter.Stopping}
		}
		return d.refusedReply()
	case wqgather.Expired:
		return wqcall.Reply{Status: wqcall.TimedOut, Reason: d.describeMissing("the deadline passed")}
	}
	return d.failedReply()
}

// mergedReply merges the records of all searchers that answered, up to the route's
// limit, and counts the missing shards.
func (d *driver[S, P]) mergedReply() wqcall.Reply {
	top := wqmerge.Top[[]byte, greatestFirst]{Limit: d.gather.Route.Top}
	reply := wqcall.Reply{Status: wqcall.Answered}
	for i := range d.gather.Results {
		if !d.gather.Answered(i) {
			reply.Missing++
			continue
		}
		part := &d.gather.Results[i]
		reply.Stamps = append(reply.Stamps, part.Signature)
		for b := part.Body; len(b) >= recordBytes; b = b[recordBytes:] {
			top.Add(b[:recordBytes:recordBytes])
		}
	}
	for _, record := range top.Sorted() {
		reply.Body = append(reply.Body, record...)
	}
	if reply.Missing > 0 {
		reply.Reason = d.describeMissing("shards are missing")
	}
	return reply
}

// failedReply returns the searcher's own error response if the request was for one
// service and the searcher signed the response. A status code that callers take to
// mean "not run" is replaced by Unavailable, because the searcher ran the request.
func (d *driver[S, P]) failedReply() wqcall.Reply {
	if r := &d.gather.Results[0]; !d.gather.Route.FanOut() && r.Outcome == wqsend.Failed && r.Signature != "" && !meansNotRun(r.Code) {
		return searcherReply(r, wqcall.Answered)
	}
	return wqcall.Reply{Status: wqcall.Unavailable, Reason: d.describeMissing("the searchers failed")}
}

// meansNotRun reports whether callers take an HTTP status code to mean that the
// request was not run.
func meansNotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// describeMissing appends to summary, for each of the first maxNamedServices
// services without an answer, its last failure and its pending searchers.
func (d *driver[S, P]) describeMissing(summary string) string {
	count := 0
	for i, service := range d.gather.Services {
		if d.gather.Answered(i) || count == maxNamedServices {
			continue
		}
		count++
		summary += "; " + service + ":"
		if r := d.gather.Results[i].Reason; r != "" {
			summary += " " + r
		}
		if pending := d.gather.PendingSearchers(i); len(pending) > 0 {
			summary += " pending " + strings.Join(pending, " ")
		} else if d.gather.Results[i].Reason == "" {
			summary += " no searcher"
		}
	}
	return summary
}

func searcherReply(r *wqsend.Result, s wqcall.Status) wqcall.Reply {
	return wqcall.Reply{Status: s, Code: r.Code, Header: r.Header, Body: r.Body}
}

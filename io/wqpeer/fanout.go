package wqpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqhttp"
	"wisteriaquay/io/wqrelay"
)

const (
	fanOutPath     = "/v1/fan"              // fanOutPath is the path for requests (POST) and pings (GET) to hubs.
	pingTimeout    = 80 * time.Millisecond  // pingTimeout bounds a ping; it allows for a busy hub in another zone.
	pingSkipWindow = 500 * time.Millisecond // pingSkipWindow is the time after a hub's reply in which it is not pinged.
	acceptTimeout  = 300 * time.Millisecond // acceptTimeout bounds the time from sending a request to a hub until its response header.
	maxFanOutBytes = 8 << 20                // maxFanOutBytes bounds the body of a request and of a reply.
	maxFanOutTime  = 24 * time.Hour         // maxFanOutTime bounds the times in a request; callers wait for seconds.
	replyTransit   = 2 * time.Millisecond   // replyTransit is the part of the timeout reserved for the way to a hub and back, beside the network latency.
	assumedLatency = 8 * time.Millisecond   // assumedLatency is the round trip to a hub of another zone that has not been measured.
)

// fanOutRequest is the JSON form of a call that a hub runs for another VM.
type fanOutRequest struct {
	ID            string              `json:"id"`
	Method        string              `json:"method"`
	Host          string              `json:"host"`
	Path          string              `json:"path"`
	Query         string              `json:"query,omitempty"`
	Header        map[string][]string `json:"header,omitempty"`
	Body          []byte              `json:"body,omitempty"`
	ElapsedMicros int64               `json:"elapsed_micros"` // ElapsedMicros is the time since the call arrived plus that reserved for the way back.
	WaitMicros    int64               `json:"wait_micros"`    // WaitMicros is the timeout from the arrival of the call; 0 means the limit of the route.
	Route         *wqroute.Route      `json:"route"`
	Caller        caller              `json:"caller"`
}

// valid reports whether a hub can run the request.
func (r *fanOutRequest) valid() bool {
	inRange := func(micros int64) bool { return micros >= 0 && micros <= maxFanOutTime.Microseconds() }
	return r.Route != nil && r.Route.FanOut() && r.Route.Problem() == "" && inRange(r.ElapsedMicros) && inRange(r.WaitMicros)
}

// FanOut has a hub run a call and returns its reply. The hub is pinged first,
// since a call that a hub may have begun must not be sent to another one. An
// error that is wqrelay.ErrHubRefused means that the hub has not begun.
func (c *Client) FanOut(ctx context.Context, hub *wqdirectory.Target, call *wqcall.Call, route *wqroute.Route) (wqcall.Reply, error) {
	latency, err := c.ping(ctx, hub)
	if err != nil {
		return wqcall.Reply{}, err
	}
	// The hub counts the time from the arrival of this request, and its reply still has
	// to travel back: together one round trip.
	data, err := json.Marshal(fanOutRequest{
		ID: call.ID, Method: call.Method, Host: call.Host, Path: call.Path, Query: call.Query, Header: call.Header, Body: call.Body,
		ElapsedMicros: (time.Since(call.Arrived) + latency + replyTransit).Microseconds(), WaitMicros: call.Timeout.Microseconds(),
		Route: route, Caller: encodeCaller(call),
	})
	if err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "encode a request for a hub")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	acceptTimer := time.AfterFunc(acceptTimeout, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hub.Searcher.Address+fanOutPath, bytes.NewReader(data))
	if err != nil {
		return wqcall.Reply{}, err
	}
	request.GetBody = nil // Without GetBody the transport can't send the request a second time.
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "the hub did not accept the request")
	}
	acceptTimer.Stop() // The response header shows that the hub runs the request.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqcall.Reply{}, wqrelay.ErrHubRefused
	}
	var reply wqcall.Reply
	received := &countingReader{reader: response.Body}
	defer func() { c.countBytes("fan_out", hub.Searcher.Zone, len(data)+received.count) }()
	if err := json.NewDecoder(io.LimitReader(received, maxFanOutBytes)).Decode(&reply); err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "the hub's reply is incomplete")
	}
	c.hubs.Store(hub.Searcher.ID, hubContact{repliedAt: time.Now(), latency: latency})
	return reply, nil
}

// hubContact is what this VM knows of the way to a hub.
type hubContact struct {
	repliedAt time.Time
	latency   time.Duration // latency is the round trip time.
}

// ping checks that a hub answers, unless it replied within pingSkipWindow, and
// returns the round trip time. For a hub that does not answer the error is
// wqrelay.ErrHubRefused.
func (c *Client) ping(ctx context.Context, hub *wqdirectory.Target) (time.Duration, error) {
	known := hubContact{latency: c.assumedLatency(hub)}
	if v, ok := c.hubs.Load(hub.Searcher.ID); ok {
		known = v.(hubContact)
	}
	if time.Since(known.repliedAt) < pingSkipWindow {
		return known.latency, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var connectedAt atomic.Pointer[time.Time] // Connecting to a hub is no part of later round trips.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		now := time.Now()
		connectedAt.Store(&now)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+hub.Searcher.Address+fanOutPath, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, eris.Wrap(wqrelay.ErrHubRefused, err.Error())
	}
	// A slow ping shows a busy hub, not a longer way.
	latency := min(time.Since(*connectedAt.Load()), max(2*known.latency, c.assumedLatency(hub)))
	return latency, response.Body.Close()
}

// assumedLatency returns the round trip time to a hub that has not been measured.
func (c *Client) assumedLatency(hub *wqdirectory.Target) time.Duration {
	if hub.Searcher.Zone == c.Zone {
		return 0
	}
	return assumedLatency
}

// serveFanOut runs a call for another VM. It sends the response header before
// the fan-out, as the sign for the sender that the call has begun.
func (h *Handler) serveFanOut(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var request fanOutRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFanOutBytes)).Decode(&request)
	switch {
	case errors.Is(err, wqhttp.ErrNoMemory):
		refuseForMemory(w)
		return
	case err != nil || !request.valid():
		http.Error(w, "the request for a fan-out is malformed; run the same release on all VMs", http.StatusBadRequest)
		return
	}
	if b, ok := r.Body.(*meteredBody); ok {
		b.end() // The decoder doesn't read to the end.
	}
	if h.RefusesFanOuts != nil && h.RefusesFanOuts() {
		http.Error(w, "this VM stops; send the fan-out to another hub", http.StatusServiceUnavailable)
		return
	}
	conn, cost := wqhttp.ConnectionOf(r.Context()), fanOutCost(&request)
	if !conn.Reserve(cost) {
		refuseForMemory(w)
		return
	}
	defer conn.Release(cost)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return // The sender has closed the connection.
	}
	h.runFanOut(w, r, &request, arrived)
}

// runFanOut runs a call for another VM and sends the reply.
func (h *Handler) runFanOut(w http.ResponseWriter, r *http.Request, request *fanOutRequest, arrived time.Time) {
	call := &wqcall.Call{
		ID: request.ID, Method: request.Method, Host: request.Host, Path: request.Path, Query: request.Query, Header: request.Header, Body: request.Body,
		Arrived: arrived.Add(-time.Duration(request.ElapsedMicros) * time.Microsecond), Timeout: time.Duration(request.WaitMicros) * time.Microsecond,
	}
	request.Caller.decodeInto(call)
	reply := h.ServeRoute(r.Context(), call, request.Route)
	conn, held := wqhttp.ConnectionOf(r.Context()), decodedFactor*int64(len(reply.Body))
	if reply.Status == wqcall.CallerGone || !conn.Charge(held) {
		panic(http.ErrAbortHandler)
	}
	defer conn.Release(held)
	conn.SetPhase(wqmemorybudget.Replying)
	_ = json.NewEncoder(w).Encode(reply) // On an error the sender gets an incomplete reply.
}

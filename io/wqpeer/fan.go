package wqpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqrelay"
)

const (
	fanPath     = "/v1/fan"              // fanPath is where a hub takes requests.
	pingTimeout = 80 * time.Millisecond  // pingTimeout bounds how long a hub takes to say that it is there: a zone away, on a busy VM.
	pingAfter   = 500 * time.Millisecond // pingAfter is how long after an answer a hub is asked again whether it is there.
	takeTimeout = 300 * time.Millisecond // takeTimeout bounds how long a hub that is there takes to accept a request.
	mostFan     = 8 << 20                // mostFan bounds a request and a reply, in bytes.
	wayBack     = 2 * time.Millisecond   // wayBack is kept of the time for a hub's reply to come back within a zone.
	farWayBack  = 9 * time.Millisecond   // farWayBack is the same from another zone, 3.4 to 4.5 ms away.
)

// fan is a request that another VM is asked to run.
type fan struct {
	ID            string              `json:"id"`
	Method        string              `json:"method"`
	Host          string              `json:"host"`
	Path          string              `json:"path"`
	Query         string              `json:"query,omitempty"`
	Header        map[string][]string `json:"header,omitempty"`
	Body          []byte              `json:"body,omitempty"`
	ElapsedMicros int64               `json:"elapsed_micros"` // ElapsedMicros is the time since the request arrived, and that of the way back.
	WaitMicros    int64               `json:"wait_micros"`
	Route         *wqroute.Route      `json:"route"`
}

// FanOut has a hub run a request. The hub is asked first whether it is there, since
// a request that it may have begun can't be given to another one.
func (c *Client) FanOut(ctx context.Context, hub *wqdirectory.Target, call *wqcall.Call, route *wqroute.Route) (wqcall.Reply, error) {
	back := wayBack
	if hub.Searcher.Zone != c.Zone {
		back = farWayBack
	}
	data, err := json.Marshal(fan{
		ID: call.ID, Method: call.Method, Host: call.Host, Path: call.Path, Query: call.Query, Header: call.Header, Body: call.Body,
		ElapsedMicros: (time.Since(call.Arrived) + back).Microseconds(), WaitMicros: call.Timeout.Microseconds(),
		Route: route,
	})
	if err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "encode a request for a hub")
	}
	if err := c.ping(ctx, hub); err != nil {
		return wqcall.Reply{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(takeTimeout, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hub.Searcher.Address+fanPath, bytes.NewReader(data))
	if err != nil {
		return wqcall.Reply{}, err
	}
	request.GetBody = nil // Keeps the transport from sending it a second time.
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "the hub did not accept the request")
	}
	timer.Stop() // The header is the hub's word that it works on the request.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqcall.Reply{}, wqrelay.ErrHubRefused
	}
	var reply wqcall.Reply
	if err := json.NewDecoder(io.LimitReader(response.Body, mostFan)).Decode(&reply); err != nil {
		return wqcall.Reply{}, eris.Wrap(err, "the hub's reply broke off")
	}
	c.heard.Store(hub.Searcher.ID, time.Now())
	return reply, nil
}

// ping makes sure that a hub is there, unless it answered a moment ago.
func (c *Client) ping(ctx context.Context, hub *wqdirectory.Target) error {
	if at, ok := c.heard.Load(hub.Searcher.ID); ok && time.Since(at.(time.Time)) < pingAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hub.Searcher.Address+fanPath, http.NoBody)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return eris.Wrap(wqrelay.ErrHubRefused, err.Error())
	}
	return response.Body.Close()
}

// fan runs a request for another VM. Its header goes out at once.
func (h *Handler) fan(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var in fan
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostFan)).Decode(&in); err != nil || in.Route == nil {
		http.Error(w, "the request for a fan-out is malformed; run the same release on all VMs", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return // The other VM has left.
	}
	reply := h.ServeRoute(r.Context(), &wqcall.Call{
		ID: in.ID, Method: in.Method, Host: in.Host, Path: in.Path, Query: in.Query, Header: in.Header, Body: in.Body,
		Arrived: arrived.Add(-time.Duration(in.ElapsedMicros) * time.Microsecond), Timeout: time.Duration(in.WaitMicros) * time.Microsecond,
	}, in.Route)
	if reply.Status == wqcall.CallerGone {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(reply) // The other VM sees a broken reply when this fails.
}

package wqtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
)

// Search sends a batch of sub-queries in one request. Without an error the reply
// has one result for each query, in the order of the batch. The error is a Failure.
func (c *Client) Search(ctx context.Context, s *wqtopology.Searcher, batch []Query) (SearchReply, error) {
	body, err := json.Marshal(struct {
		Queries []Query `json:"queries"`
	}{batch})
	if err != nil {
		return SearchReply{}, newFailure(wqobservation.NotRun, false, err.Error())
	}
	x := exchange{client: c, searcher: s}
	raw, err := x.do(ctx, http.MethodPost, "/v1/search", body)
	if err != nil {
		return SearchReply{}, err
	}
	return x.decodeSearch(raw, batch)
}

// Write sends one write-like request. It begins to write only before ctx ends, and
// waits for the reply until WriteReplyGrace after that. The error is a Failure;
// its NotRun method reports whether the request is proved not to have run.
func (c *Client) Write(ctx context.Context, s *wqtopology.Searcher, w WriteRequest) (WriteReply, error) {
	body, err := json.Marshal(w)
	if err != nil {
		return WriteReply{}, newFailure(wqobservation.NotRun, false, err.Error())
	}
	x := exchange{client: c, searcher: s, id: w.RequestID}
	running, end := x.withReplyGrace(ctx)
	defer end()
	raw, err := x.do(running, http.MethodPost, "/v1/write", body)
	if err != nil {
		return WriteReply{}, err
	}
	return x.decodeWrite(raw, w)
}

// Health probes the searcher's health endpoint. The error is a Failure.
func (c *Client) Health(ctx context.Context, s *wqtopology.Searcher) (Health, error) {
	x := exchange{client: c, searcher: s}
	raw, err := x.do(ctx, http.MethodGet, "/v1/health", nil)
	if err != nil {
		return Health{}, err
	}
	var h Health
	if err := json.Unmarshal(raw, &h); err != nil {
		return Health{}, x.protocolFailure("the health reply is not valid: " + err.Error())
	}
	x.conn.endRequest(x.number)
	return h, nil
}

// exchange is one request and its reply.
type exchange struct {
	client            *Client
	searcher          *wqtopology.Searcher
	id                string             // of the request, the same for all its tries; empty for none
	beforeWrite       func()             // nil for none; see ForwardRequest
	maySend           func() bool        // nil for always; see ForwardRequest
	cancel            context.CancelFunc // ends the exchange while it waits for a connection; nil if maySend is
	withdrawn         atomic.Bool        // maySend was false
	conn              *connection
	number            uint64 // request number on conn
	status            int
	currentConnection atomic.Pointer[requestConnection] // the current conn and number, for the goroutine of withReplyGrace
}

// requestConnection is the connection of a request and its number there.
type requestConnection struct {
	conn   *connection
	number uint64
}

// mayBeSent reports whether the request may still be sent.
func (x *exchange) mayBeSent() bool {
	if x.maySend == nil || x.maySend() {
		return true
	}
	x.withdrawn.Store(true)
	return false
}

// withReplyGrace returns a context for a request and its reply. When ctx ends, the
// returned context ends immediately if no byte was sent, and WriteReplyGrace later
// otherwise: after a pause of this process the reply may already be in the socket
// buffer.
func (x *exchange) withReplyGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if c := x.currentConnection.Load(); c == nil || !c.conn.preventWrite(c.number) {
			end()
			return
		}
		time.AfterFunc(x.client.WriteReplyGrace, end)
	})
	return running, func() {
		stop()
		end()
	}
}

// do writes the request once and returns the body of a reply with status 200 or
// 503, at most MaxReplyBytes long. Other replies are a Failure.
func (x *exchange) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	p := x.client.poolOf(x.searcher)
	defer p.closeExcess()
	response, err := x.roundTrip(ctx, p, func() (*http.Request, error) {
		return jsonRequest(method, p.baseURL+path, body)
	})
	if err != nil {
		return nil, x.transportFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	x.status = response.StatusCode
	if x.status != http.StatusOK && x.status != http.StatusServiceUnavailable {
		return nil, x.protocolFailure(fmt.Sprintf("unexpected status %d", x.status))
	}
	return x.readBody(ctx, response)
}

// jsonRequest returns a request that the transport must not repeat.
func jsonRequest(method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body)) //nolint:noctx // The context is set when it is sent.
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// roundTrip sends the request and returns the response. It tries again only while
// no byte was written because this client itself had closed the connection.
func (x *exchange) roundTrip(ctx context.Context, p *connectionPool, make func() (*http.Request, error)) (*http.Response, error) {
	response, err := x.sendOnce(ctx, p, make)
	for err != nil && x.conn != nil && x.conn.closedByClient.Load() && !x.conn.preventWrite(x.number) {
		response, err = x.sendOnce(ctx, p, make)
	}
	return response, err
}

// sendOnce builds a new request, sends it on one connection and returns the
// response.
func (x *exchange) sendOnce(ctx context.Context, p *connectionPool, make func() (*http.Request, error)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if x.maySend != nil {
			x.client.waiting.remove(x)
		}
		x.conn = i.Conn.(*connection)
		x.number = x.conn.beginRequest(x.mayBeSent)
		x.currentConnection.Store(&requestConnection{x.conn, x.number})
		if x.id != "" && !x.conn.unsuccessful.mayCarry(x.id) {
			x.closeConnection() // Nothing was written, so roundTrip takes another one.
			return
		}
		if x.beforeWrite != nil {
			x.beforeWrite()
		}
	}}
	x.conn = nil
	request, err := make()
	if err != nil {
		return nil, err
	}
	if x.maySend != nil {
		x.client.waiting.add(x, x.cancel)
		defer x.client.waiting.remove(x)
		if !x.mayBeSent() {
			return nil, errWithdrawn
		}
	}
	return p.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// readBody returns the body of a reply. What exceeds unbudgetedReplyBytes counts
// against MaxBufferedBytes; the reply fails when that is used up.
func (x *exchange) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	maxBytes := x.client.MaxReplyBytes
	if response.ContentLength > maxBytes {
		return nil, x.protocolFailure(fmt.Sprintf("the reply of %d bytes exceeds the bound of %d", response.ContentLength, maxBytes))
	}
	var buffer bytes.Buffer
	budgeted := int64(0)
	defer func() { x.client.bufferedBytes.Add(-budgeted) }()
	for limit := max(min(unbudgetedReplyBytes, maxBytes), response.ContentLength); ; limit = min(2*limit, maxBytes) {
		growth := max(0, limit-unbudgetedReplyBytes-budgeted)
		if !x.client.reserveBuffer(growth) {
			return nil, x.protocolFailure(fmt.Sprintf("the replies that are being read exceed %d bytes in total", x.client.MaxBufferedBytes))
		}
		budgeted += growth
		if response.ContentLength > 0 {
			buffer.Grow(int(response.ContentLength) + bytes.MinRead)
		}
		if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1-int64(buffer.Len()))); err != nil {
			return nil, x.transportFailure(ctx, err)
		}
		switch n := int64(buffer.Len()); {
		case n <= limit:
			return buffer.Bytes(), nil
		case n > maxBytes:
			return nil, x.protocolFailure(fmt.Sprintf("the reply exceeds the bound of %d bytes", maxBytes))
		}
	}
}

// reserveBuffer takes n bytes of MaxBufferedBytes and reports whether so many are left.
// A reservation that fails takes none, not even for a moment: others would fail with it.
func (c *Client) reserveBuffer(n int64) bool {
	for n > 0 {
		used := c.bufferedBytes.Load()
		if used+n > c.MaxBufferedBytes {
			return false
		}
		if c.bufferedBytes.CompareAndSwap(used, used+n) {
			return true
		}
	}
	return true
}

// transportFailure closes the connection and returns the Failure of a transport
// error, by whether a byte of the request may have been sent.
func (x *exchange) transportFailure(ctx context.Context, cause error) error {
	sent := x.conn != nil && x.conn.preventWrite(x.number)
	x.closeConnection()
	status := wqobservation.Unreachable
	switch {
	case !sent && x.withdrawn.Load():
		f := newFailure(wqobservation.NotRun, false, errWithdrawn.Error())
		f.Withdrawn = true
		return x.wrapFailure(f)
	case ctx.Err() != nil:
		status = wqobservation.Expired
	case errors.Is(cause, errNoConnection), !sent && x.conn != nil && x.conn.sendForbidden.Load():
		status = wqobservation.NotRun
	case sent:
		status = wqobservation.Broken
	}
	return x.wrapFailure(newFailure(status, sent, cause.Error()))
}

// protocolFailure closes the connection of a reply that violates the protocol and
// returns the Failure.
func (x *exchange) protocolFailure(message string) error {
	x.closeConnection()
	return x.wrapFailure(newFailure(wqobservation.Broken, true, message))
}

// recordUnsuccessful keeps further tries of the request off its connection.
func (x *exchange) recordUnsuccessful() {
	if x.id != "" {
		x.conn.unsuccessful.add(x.id)
	}
}

func (x *exchange) closeConnection() {
	if x.conn != nil {
		x.conn.closedByClient.Store(true)
		_ = x.conn.Close()
	}
}

func (x *exchange) wrapFailure(f *Failure) error {
	return eris.Wrapf(f, "searcher %s", x.searcher.ID)
}

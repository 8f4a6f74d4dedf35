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

// Search sends a batch of sub-queries in one request. The error is a Failure;
// the results of a nil error are as many as the queries and in their order.
func (c *Client) Search(ctx context.Context, s *wqtopology.Searcher, batch []Query) (SearchReply, error) {
	body, err := json.Marshal(struct {
		Queries []Query `json:"queries"`
	}{batch})
	if err != nil {
		return SearchReply{}, newFailure(wqobservation.NotRun, false, err.Error())
	}
	x := exchange{client: c, searcher: s}
	raw, err := x.run(ctx, http.MethodPost, "/v1/search", body)
	if err != nil {
		return SearchReply{}, err
	}
	return x.finishSearch(raw, batch)
}

// Write sends one write-like request before ctx ends, and waits for the reply
// up to LateReply longer. The error is a Failure whose NotRun tells whether it is
// proved that nothing ran.
func (c *Client) Write(ctx context.Context, s *wqtopology.Searcher, w WriteRequest) (WriteReply, error) {
	body, err := json.Marshal(w)
	if err != nil {
		return WriteReply{}, newFailure(wqobservation.NotRun, false, err.Error())
	}
	x := exchange{client: c, searcher: s}
	running, end := x.waitLonger(ctx)
	defer end()
	raw, err := x.run(running, http.MethodPost, "/v1/write", body)
	if err != nil {
		return WriteReply{}, err
	}
	return x.finishWrite(raw, w)
}

// Health asks the searcher about itself. The error is a Failure.
func (c *Client) Health(ctx context.Context, s *wqtopology.Searcher) (Health, error) {
	x := exchange{client: c, searcher: s}
	raw, err := x.run(ctx, http.MethodGet, "/v1/health", nil)
	if err != nil {
		return Health{}, err
	}
	var h Health
	if err := json.Unmarshal(raw, &h); err != nil {
		return Health{}, x.broken("the health reply is not valid: " + err.Error())
	}
	x.conn.end(x.number)
	return h, nil
}

// exchange is one request and its reply.
type exchange struct {
	client   *Client
	searcher *wqtopology.Searcher
	conn     *connection
	number   uint64 // number is the request's on its connection.
	status   int
	claim    atomic.Pointer[claim]
}

// claim is the connection of a request, for the goroutine that ends it.
type claim struct {
	conn   *connection
	number uint64
}

// waitLonger returns a context for a request and its reply. Once ctx ends, it
// ends at once if no byte has left, and LateReply later otherwise: after a pause
// of this process the reply may be waiting to be read.
func (x *exchange) waitLonger(ctx context.Context) (context.Context, context.CancelFunc) {
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	forget := context.AfterFunc(ctx, func() {
		if c := x.claim.Load(); c == nil || !c.conn.seal(c.number) {
			end()
			return
		}
		time.AfterFunc(x.client.WriteReplyGrace, end)
	})
	return running, func() {
		forget()
		end()
	}
}

// run writes the request once and returns the bounded body of a reply with
// status 200 or 503.
func (x *exchange) run(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	l := x.client.link(x.searcher)
	defer l.trim()
	response, err := x.roundTrip(ctx, l, func() (*http.Request, error) {
		return jsonRequest(method, l.base+path, body)
	})
	if err != nil {
		return nil, x.failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	x.status = response.StatusCode
	if x.status != http.StatusOK && x.status != http.StatusServiceUnavailable {
		return nil, x.broken(fmt.Sprintf("unexpected status %d", x.status))
	}
	return x.read(ctx, response)
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

// roundTrip writes the request. Only a request of which nothing was written,
// since this client itself had dropped the connection, may be written again.
func (x *exchange) roundTrip(ctx context.Context, l *link, make func() (*http.Request, error)) (*http.Response, error) {
	response, err := x.write(ctx, l, make)
	for err != nil && x.conn != nil && x.conn.dropped.Load() && !x.conn.seal(x.number) {
		response, err = x.write(ctx, l, make)
	}
	return response, err
}

// write makes the request anew and sends it on one connection.
func (x *exchange) write(ctx context.Context, l *link, make func() (*http.Request, error)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		x.conn = i.Conn.(*connection)
		x.number = x.conn.begin()
		x.claim.Store(&claim{x.conn, x.number})
	}}
	x.conn = nil
	request, err := make()
	if err != nil {
		return nil, err
	}
	return l.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// read returns the body of a reply. A body beyond smallReply bytes is buffered as
// far as the replies that are being read have room together.
func (x *exchange) read(ctx context.Context, response *http.Response) ([]byte, error) {
	bound := x.client.MaxReplyBytes
	if response.ContentLength > bound {
		return nil, x.broken(fmt.Sprintf("the reply of %d bytes is over the bound of %d", response.ContentLength, bound))
	}
	var buffer bytes.Buffer
	held := int64(0)
	defer func() { x.client.buffered.Add(-held) }()
	for limit := max(min(smallReply, bound), response.ContentLength); ; limit = min(2*limit, bound) {
		more := max(0, limit-smallReply-held)
		held += more
		if x.client.buffered.Add(more) > x.client.MaxBufferedBytes {
			return nil, x.broken(fmt.Sprintf("the replies that are being read are over %d bytes together", x.client.MaxBufferedBytes))
		}
		if response.ContentLength > 0 {
			buffer.Grow(int(response.ContentLength) + bytes.MinRead)
		}
		if _, err := buffer.ReadFrom(io.LimitReader(response.Body, limit+1-int64(buffer.Len()))); err != nil {
			return nil, x.failed(ctx, err)
		}
		switch n := int64(buffer.Len()); {
		case n <= limit:
			return buffer.Bytes(), nil
		case n > bound:
			return nil, x.broken(fmt.Sprintf("the reply is over the bound of %d bytes", bound))
		}
	}
}

// failed classifies an error of the transport by what left the process.
func (x *exchange) failed(ctx context.Context, cause error) error {
	sent := x.conn != nil && x.conn.seal(x.number)
	x.drop()
	status := wqobservation.Unreachable
	switch {
	case ctx.Err() != nil:
		status = wqobservation.Expired
	case errors.Is(cause, errNoConnection), !sent && x.conn != nil && x.conn.barred.Load():
		status = wqobservation.NotRun
	case sent:
		status = wqobservation.Broken
	}
	return x.wrap(newFailure(status, sent, cause.Error()))
}

// broken closes the connection of a reply that breaks the protocol.
func (x *exchange) broken(message string) error {
	x.drop()
	return x.wrap(newFailure(wqobservation.Broken, true, message))
}

func (x *exchange) drop() {
	if x.conn != nil {
		x.conn.dropped.Store(true)
		_ = x.conn.Close()
	}
}

func (x *exchange) wrap(f *Failure) error {
	return eris.Wrapf(f, "searcher %s", x.searcher.ID)
}

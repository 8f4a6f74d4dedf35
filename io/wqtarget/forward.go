package wqtarget

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"wisteriaquay/core/wqtopology"
)

// ForwardRequest is one HTTP request to pass on as it is.
type ForwardRequest struct {
	Method string
	Host   string // Host is sent as the Host header.
	Path   string // Path is sent as it is, escapes included.
	Query  string
	Header http.Header
	Body   []byte
	// Matches reports whether the header of an answer is that of this request's.
	// It is asked before the body is read; the connection of an answer that does
	// not match is closed.
	Matches func(code int, header http.Header) bool
}

// ForwardResponse is a whole answer to a Message, whatever its status.
type ForwardResponse struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// Forward passes one request on and returns the searcher's whole answer. The
// request is written once at most. The error is a Failure.
func (c *Client) Forward(ctx context.Context, s *wqtopology.Searcher, m ForwardRequest) (ForwardResponse, error) {
	x := exchange{client: c, searcher: s}
	l := c.link(s)
	defer l.trim()
	response, err := x.roundTrip(ctx, l, func() (*http.Request, error) { return m.request(l.base) })
	if err != nil {
		return ForwardResponse{}, x.failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if !m.Matches(response.StatusCode, response.Header) {
		return ForwardResponse{}, x.broken("the answer is not that of this request")
	}
	body, err := x.read(ctx, response)
	if err != nil {
		return ForwardResponse{}, err
	}
	x.conn.end(x.number)
	return ForwardResponse{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
}

// request returns the message in the form that net/http writes.
func (m ForwardRequest) request(base string) (*http.Request, error) {
	to, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	to.Opaque, to.RawQuery = m.Path, m.Query
	request := &http.Request{
		Method: m.Method, URL: to, Host: m.Host, Header: m.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(m.Body)),
		Body:          once{bytes.NewReader(m.Body)},
	}
	if len(m.Body) == 0 && !m.repeatable() {
		request.Body = http.NoBody
	}
	return request, nil
}

// repeatable reports whether the transport would repeat the request by itself if
// it had no body.
func (m ForwardRequest) repeatable() bool {
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return m.Header.Get("Idempotency-Key") != "" || m.Header.Get("X-Idempotency-Key") != ""
}

// once is a body that the transport can't get a second time, so that it does not
// repeat the request.
type once struct{ io.Reader }

// Close does nothing.
func (once) Close() error { return nil }

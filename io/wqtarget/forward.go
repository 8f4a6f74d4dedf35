package wqtarget

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"wisteriaquay/core/wqtopology"
)

// ForwardRequest is an HTTP request that is passed on unchanged.
type ForwardRequest struct {
	// ID identifies the request over all its tries; empty for none. A connection on which
	// a try had no success carries no other try of the same request.
	ID     string
	Method string
	Host   string // Value of the Host header.
	Path   string // Path with its escapes, sent unchanged.
	Query  string
	Header http.Header
	Body   []byte
	// BeforeWrite, if set, may change Header. It is called once the request has a
	// connection, right before it is written.
	BeforeWrite func()
	// MaySend, if set, reports whether the request may still be sent to this searcher.
	// It is called while the request waits for a connection and right before its first
	// byte, on any goroutine; it must not block.
	MaySend func() bool
	// Matches reports whether a response with this status code and header belongs
	// to this request. It is called before the body is read; the connection of a
	// response that does not match is closed.
	Matches func(code int, header http.Header) bool
}

// ForwardResponse is a complete response to a ForwardRequest, with a status code from
// 200 to 599.
type ForwardResponse struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// Forward passes one request on and returns the searcher's complete response. The
// request is written at most once. The error is a Failure.
func (c *Client) Forward(ctx context.Context, s *wqtopology.Searcher, m ForwardRequest) (ForwardResponse, error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	x := exchange{client: c, searcher: s, id: m.ID, beforeWrite: m.BeforeWrite, maySend: m.MaySend, cancel: cancel}
	p := c.poolOf(s)
	defer p.closeExcess()
	response, err := x.roundTrip(running, p, func() (*http.Request, error) { return m.httpRequest(p.baseURL) })
	if err != nil {
		return ForwardResponse{}, x.transportFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if !isFinalStatus(response.StatusCode) {
		return ForwardResponse{}, x.protocolFailure(fmt.Sprintf("the response has the invalid status %03d", response.StatusCode))
	}
	if !m.Matches(response.StatusCode, response.Header) {
		return ForwardResponse{}, x.protocolFailure("the response does not belong to this request")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		x.recordUnsuccessful()
	}
	body, err := x.readBody(ctx, response)
	if err != nil {
		return ForwardResponse{}, err
	}
	x.conn.endRequest(x.number)
	return ForwardResponse{StatusCode: response.StatusCode, Header: response.Header, Body: body}, nil
}

// isFinalStatus reports whether code can end an HTTP request. The transport passes on
// any three digits, and the unrequested status 101.
func isFinalStatus(code int) bool { return code >= 200 && code <= 599 }

// httpRequest returns the net/http form of the request.
func (m ForwardRequest) httpRequest(baseURL string) (*http.Request, error) {
	target, err := url.Parse(baseURL)
	if err != nil {
		return nil, err
	}
	target.Opaque, target.RawQuery = m.Path, m.Query
	request := &http.Request{
		Method: m.Method, URL: target, Host: m.Host, Header: m.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(m.Body)),
		Body:          unrepeatableBody{bytes.NewReader(m.Body)},
	}
	if len(m.Body) == 0 && !m.repeatedByTransport() {
		request.Body = http.NoBody
	}
	return request, nil
}

// repeatedByTransport reports whether net/http would send the request again by
// itself if it had no body.
func (m ForwardRequest) repeatedByTransport() bool {
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return m.Header.Get("Idempotency-Key") != "" || m.Header.Get("X-Idempotency-Key") != ""
}

// unrepeatableBody hides from net/http that the body could be read again, so that
// the transport does not repeat the request.
type unrepeatableBody struct{ io.Reader }

// Close does nothing.
func (unrepeatableBody) Close() error { return nil }

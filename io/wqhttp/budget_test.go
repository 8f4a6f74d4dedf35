package wqhttp_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/io/wqhttp"
)

func noTimeouts() wqhttp.Timeouts { return wqhttp.Timeouts{} }

// serveLimited serves with a header limit of 8 KB and a budget of these sizes.
func serveLimited(t *testing.T, bytes int64, connections int, h http.HandlerFunc) (*wqhttp.Server, string) {
	s := &wqhttp.Server{
		Handler: h, Timeouts: noTimeouts, MaxHeaderBytes: func() int { return 8 << 10 }, Log: slog.New(slog.DiscardHandler),
		Budget: &wqmemorybudget.Budget[*wqhttp.Connection]{Limit: bytes, MaxConnections: connections, ConnectionCost: wqhttp.ConnectionCost},
	}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s, l.Addr().String()
}

// Guards against a header limit that differs from the configured one, for headers that
// end and for such that don't.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	called := 0
	s, address := serveLimited(t, 1<<20, 10, func(http.ResponseWriter, *http.Request) { called++ })
	for length, code := range map[int]int{7 << 10: 200, 8 << 10: 431, 11 << 10: 431, 40 << 10: 431} {
		for _, end := range []string{"\r\n\r\n", ""} {
			if end == "" && length < 13<<10 {
				continue // The end may still come within the limit.
			}
			c, r := dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", length)+end)
			must.NoError(t, err)
			response, err := http.ReadResponse(r, nil)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Eq(t, code, response.StatusCode, must.Sprintf("%d bytes", length))
		}
	}
	must.Eq(t, 1, called)
	must.Eq(t, 4, s.TooLargeHeaders())
}

// Guards against a first request whose header may take as long as an idle connection.
func TestSlowHeaderOfTheFirstRequestClosesTheConnection(t *testing.T) {
	_, address := startServer(t, func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: 200 * time.Millisecond, Idle: time.Hour} }, func(http.ResponseWriter, *http.Request) {})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HT")
	must.NoError(t, err)
	_, err = r.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// readBody is a handler that holds a body until release is closed.
func readBody(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := wqhttp.ConnectionOf(r.Context())
		conn.SetPhase(wqmemorybudget.Receiving)
		if _, _, err := wqhttp.ReadBody(conn, r.Body, r.ContentLength); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		conn.SetPhase(wqmemorybudget.Running)
		<-release
	}
}

// Guards against bodies that stop short and hold the memory that a whole request needs.
func TestStalledBodiesMakeRoomForAWholeRequest(t *testing.T) {
	const size = 256 << 10
	release := make(chan struct{})
	close(release)
	_, address := serveLimited(t, 1<<20, 100, readBody(release))
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	for range 20 {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, head+strings.Repeat("x", size-1)) // It may be refused midway.
	}
	code := 0
	for end := time.Now().Add(5 * time.Second); code != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, r := dial(t, address)
		_, _ = io.WriteString(c, head+strings.Repeat("x", size))
		if response, err := http.ReadResponse(r, nil); err == nil {
			code = response.StatusCode
			_ = response.Body.Close()
		}
	}
	must.Eq(t, http.StatusOK, code)
}

// Guards against memory that is not given back after requests and closed connections.
func TestNothingIsHeldAfterTheConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	close(release)
	s, address := serveLimited(t, 8<<20, 100, readBody(release))
	for range 20 {
		c, r := dial(t, address)
		for range 2 {
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("x", 10000))
			must.NoError(t, err)
			response, err := http.ReadResponse(r, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.NoError(t, response.Body.Close())
		}
		must.NoError(t, c.Close())
	}
	for end := time.Now().Add(5 * time.Second); s.Budget.Counts().Used > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	must.Eq(t, wqmemorybudget.Counts{}, s.Budget.Counts())
}

// Guards against idle connections that keep others out, and against the end of one that
// runs a request.
func TestNewConnectionTakesThePlaceOfAnIdleOne(t *testing.T) {
	release := make(chan struct{})
	_, address := serveLimited(t, 8<<20, 2, readBody(release))
	busy, busyReader := dial(t, address)
	_, err := io.WriteString(busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	must.NoError(t, err)
	_, idle := dial(t, address)
	time.Sleep(50 * time.Millisecond) // Both are accepted.
	third, thirdReader := dial(t, address)
	_, err = idle.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	close(release)
	must.NoError(t, get(t, third, thirdReader))
	response, err := http.ReadResponse(busyReader, nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
}

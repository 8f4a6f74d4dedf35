package wqhttp_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqhttp"
)

func startServer(t *testing.T, timeouts func() wqhttp.Timeouts, h http.HandlerFunc) (*wqhttp.Server, string) {
	s := &wqhttp.Server{Handler: h, Timeouts: timeouts, Log: slog.New(slog.DiscardHandler)}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func get(t *testing.T, c net.Conn, r *bufio.Reader) error {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(r, nil)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

func TestIdleTimeoutMayChangeWhileConnectionsAreOpen(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	_, address := startServer(t, func() wqhttp.Timeouts { return wqhttp.Timeouts{Idle: time.Duration(idle.Load())} }, func(http.ResponseWriter, *http.Request) {})
	c, r := dial(t, address)
	must.NoError(t, get(t, c, r))
	time.Sleep(400 * time.Millisecond)
	must.NoError(t, get(t, c, r))
	idle.Store(int64(time.Millisecond))
	_, err := r.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

func TestSlowHeaderClosesTheConnectionAndSlowReplyDoesNot(t *testing.T) {
	timeouts := func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: 300 * time.Millisecond, Idle: time.Hour} }
	_, address := startServer(t, timeouts, func(http.ResponseWriter, *http.Request) { time.Sleep(800 * time.Millisecond) })
	c, r := dial(t, address)
	must.NoError(t, get(t, c, r))
	_, err := io.WriteString(c, "GET / HT")
	must.NoError(t, err)
	_, err = r.ReadByte()
	must.Error(t, err)
}

func TestStopWaitsForRequestsInProgress(t *testing.T) {
	started := make(chan struct{})
	s, address := startServer(t, func() wqhttp.Timeouts { return wqhttp.Timeouts{} }, func(http.ResponseWriter, *http.Request) {
		close(started)
		time.Sleep(300 * time.Millisecond)
	})
	c, r := dial(t, address)
	ended := make(chan error, 1)
	go func() { ended <- get(t, c, r) }()
	<-started
	must.Eq(t, 1, s.InFlight())
	must.NoError(t, s.Stop(t.Context()))
	must.NoError(t, <-ended)
}

// slowListener accepts connections whose writes wait until released is closed.
type slowListener struct {
	net.Listener
	released <-chan struct{}
}

type slowConn struct {
	net.Conn
	released <-chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.released}, err
}

func (c slowConn) Write(b []byte) (int, error) {
	<-c.released
	return c.Conn.Write(b)
}

// Guards against a stop that ends while the last bytes of a reply are still unwritten.
func TestReplyInProgressIsInFlightUntilItIsWritten(t *testing.T) {
	released, handled := make(chan struct{}), make(chan struct{})
	s := &wqhttp.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(handled) }), Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{} }, Log: slog.New(slog.DiscardHandler)}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(slowListener{l, released}) }()
	c, r := dial(t, l.Addr().String())
	got := make(chan error, 1)
	go func() { got <- get(t, c, r) }()
	<-handled
	time.Sleep(50 * time.Millisecond) // The handler has returned.
	must.Eq(t, 1, s.InFlight())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(released)
	must.NoError(t, <-got)
	must.NoError(t, <-stopped)
	must.Eq(t, 0, s.InFlight())
}

// Guards against a stop that closes a connection right after it has read a request.
func TestRequestOnANewConnectionIsServedWhileStopping(t *testing.T) {
	busy := make(chan struct{})
	s, address := startServer(t, func() wqhttp.Timeouts { return wqhttp.Timeouts{} }, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			<-busy
		}
	})
	first, _ := dial(t, address)
	_, err := io.WriteString(first, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	second, reader := dial(t, address)
	time.Sleep(50 * time.Millisecond) // Both connections are accepted.
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	must.NoError(t, get(t, second, reader))
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	close(busy)
	must.NoError(t, <-stopped)
}

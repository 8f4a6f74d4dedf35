package wqtarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

// raw answers each request on a connection by a function that may do what no
// sound server does. It counts the requests that it read.
func raw(t *testing.T, answer func(c net.Conn, n int64, r *http.Request)) (*wqtopology.Searcher, *atomic.Int64) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer(c, requests.Add(1), r)
				}
			}()
		}
	}()
	return &wqtopology.Searcher{ID: "x", Address: l.Addr().String(), Connections: 4}, &requests
}

func message(id string) wqtarget.Message {
	return wqtarget.Message{
		Method: http.MethodGet, Host: "h", Path: "/a%2Fb", Query: "q=1", Header: http.Header{"Request-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Request-Id") == id },
	}
}

func write(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func client(t *testing.T) *wqtarget.Client {
	c, release := wqtarget.New()
	t.Cleanup(release)
	return c
}

// net/http repeats a GET by itself when a kept connection ends before an answer.
func TestGetOnAConnectionThatDiesIsWrittenOnce(t *testing.T) {
	s, requests := raw(t, func(c net.Conn, n int64, r *http.Request) {
		if n > 1 {
			_ = c.Close()
			return
		}
		write(c, r.Header.Get("Request-Id"), "x")
	})
	c := client(t)
	_, err := c.Forward(t.Context(), s, message("1"))
	must.NoError(t, err)
	_, err = c.Forward(t.Context(), s, message("2"))
	must.Error(t, err)
	must.False(t, wqtarget.FailureOf(err).NotRun())
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 2, requests.Load())
}

func TestSecondAnswerIsNobodysAnswer(t *testing.T) {
	s, _ := raw(t, func(c net.Conn, _ int64, r *http.Request) {
		id := r.Header.Get("Request-Id")
		write(c, id, "x")
		write(c, id, "x")
	})
	c := client(t)
	for i := range 20 {
		id := fmt.Sprint(i)
		answer, err := c.Forward(t.Context(), s, message(id))
		if err == nil {
			must.Eq(t, id, answer.Header.Get("Request-Id"))
		}
	}
}

func TestAnswersThatBreakOffAreNotComplete(t *testing.T) {
	for name, text := range map[string]string{
		"too short":          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunk missing":      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"header broken":      "HTTP/1.1 200 OK\r\nRequest-Id: 1",
		"not HTTP":           "garbage\r\n\r\n",
		"length contradicts": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := raw(t, func(c net.Conn, _ int64, _ *http.Request) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			_, err := client(t).Forward(t.Context(), s, message("1"))
			must.Error(t, err)
			must.False(t, wqtarget.FailureOf(err).NotRun())
		})
	}
}

func TestAnswerWithoutLengthThatIsResetIsNotComplete(t *testing.T) {
	s, _ := raw(t, func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := client(t).Forward(t.Context(), s, message("1"))
	must.Error(t, err)
}

// An answer that comes before a long body is read leaves the rest of that body
// on the connection, which must not carry another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	s, requests := raw(t, func(c net.Conn, _ int64, r *http.Request) {
		write(c, r.Header.Get("Request-Id"), "early")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	c := client(t)
	m := message("1")
	m.Method, m.Body = http.MethodPost, make([]byte, 32<<20)
	_, _ = c.Forward(t.Context(), s, m) // It may be answered or broken; what counts is what follows.
	answer, err := c.Forward(t.Context(), s, message("2"))
	must.NoError(t, err)
	must.Eq(t, "2", answer.Header.Get("Request-Id"))
	must.Eq(t, 2, requests.Load())
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s, _ := raw(t, func(c net.Conn, _ int64, r *http.Request) {
		got <- r
		write(c, "1", "")
	})
	_, err := client(t).Forward(t.Context(), s, message("1"))
	must.NoError(t, err)
	r := <-got
	must.Eq(t, "/a%2Fb?q=1", r.RequestURI)
	must.Eq(t, "h", r.Host)
	must.Eq(t, 0, r.ContentLength)
}

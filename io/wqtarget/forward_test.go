package wqtarget_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

// startRawSearcher starts a searcher on which answer writes the raw bytes of each
// response, so that it can violate HTTP. It returns the number of requests read.
func startRawSearcher(t *testing.T, answer func(c net.Conn, n int64, r *http.Request)) (*wqtopology.Searcher, *atomic.Int64) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requestCount atomic.Int64
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
					answer(c, requestCount.Add(1), r)
				}
			}()
		}
	}()
	return &wqtopology.Searcher{ID: "x", Address: l.Addr().String(), Connections: 4}, &requestCount
}

func forwardRequest(id string) wqtarget.ForwardRequest {
	return wqtarget.ForwardRequest{
		Method: http.MethodGet, Host: "h", Path: "/a%2Fb", Query: "q=1", Header: http.Header{"Request-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Request-Id") == id },
	}
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTestClient(t *testing.T) *wqtarget.Client {
	c, release := wqtarget.New()
	t.Cleanup(release)
	return c
}

// By default net/http sends a GET again when a persistent connection closes before
// the response.
func TestGetIsNotRepeatedOnClosedConnection(t *testing.T) {
	s, requests := startRawSearcher(t, func(c net.Conn, n int64, r *http.Request) {
		if n > 1 {
			_ = c.Close()
			return
		}
		writeResponse(c, r.Header.Get("Request-Id"), "x")
	})
	c := newTestClient(t)
	_, err := c.Forward(t.Context(), s, forwardRequest("1"))
	must.NoError(t, err)
	_, err = c.Forward(t.Context(), s, forwardRequest("2"))
	must.Error(t, err)
	must.False(t, wqtarget.FailureOf(err).NotRun())
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 2, requests.Load())
}

func TestExtraResponseIsNotTakenForNextRequest(t *testing.T) {
	s, _ := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) {
		id := r.Header.Get("Request-Id")
		writeResponse(c, id, "x")
		writeResponse(c, id, "x")
	})
	c := newTestClient(t)
	for i := range 20 {
		id := fmt.Sprint(i)
		answer, err := c.Forward(t.Context(), s, forwardRequest(id))
		if err == nil {
			must.Eq(t, id, answer.Header.Get("Request-Id"))
		}
	}
}

func TestTruncatedResponseFails(t *testing.T) {
	for name, text := range map[string]string{
		"too short":          "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunk missing":      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"header broken":      "HTTP/1.1 200 OK\r\nRequest-Id: 1",
		"not HTTP":           "garbage\r\n\r\n",
		"length contradicts": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			_, err := newTestClient(t).Forward(t.Context(), s, forwardRequest("1"))
			must.Error(t, err)
			must.False(t, wqtarget.FailureOf(err).NotRun())
		})
	}
}

// A response that ends at any byte before its last one is no response, whatever its
// framing, on a new connection as on one that has served a request. A body without a
// framing ends with its connection, so only its head can be seen to be cut.
func TestResponseCutAtAnyByteFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: stamp\r\n"
	for name, response := range map[string]string{
		"length":    head + "Content-Length: 16\r\n\r\n0123456789abcdef",
		"chunks":    head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
		"trailer":   head + "Transfer-Encoding: chunked\r\nTrailer: Part\r\n\r\n10\r\n0123456789abcdef\r\n0\r\nPart: 1\r\n\r\n",
		"unframed":  head + "\r\n",
		"no length": head + "Connection: close\r\n\r\n",
	} {
		for cut := range len(response) {
			for _, kept := range []bool{false, true} {
				s, _ := startRawSearcher(t, func(c net.Conn, n int64, _ *http.Request) {
					if kept && n == 1 {
						writeResponse(c, "1", "x")
						return
					}
					_, _ = io.WriteString(c, response[:cut])
					_ = c.Close()
				})
				c := newTestClient(t)
				if kept {
					_, err := c.Forward(t.Context(), s, forwardRequest("1"))
					must.NoError(t, err)
				}
				_, err := c.Forward(t.Context(), s, forwardRequest("1"))
				must.Error(t, err, must.Sprintf("%s cut after %d bytes, kept connection %v", name, cut, kept))
				must.True(t, wqtarget.FailureOf(err).MaybeSent)
			}
		}
	}
}

func TestResetResponseWithoutLengthFails(t *testing.T) {
	s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := newTestClient(t).Forward(t.Context(), s, forwardRequest("1"))
	must.Error(t, err)
}

// After a response that is sent before a long request body was read, the rest of
// that body is still on the connection, so no other request may use it.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	s, requests := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) {
		writeResponse(c, r.Header.Get("Request-Id"), "early")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	c := newTestClient(t)
	m := forwardRequest("1")
	m.Method, m.Body = http.MethodPost, make([]byte, 32<<20)
	_, _ = c.Forward(t.Context(), s, m) // The result does not matter; the next request must not use the connection.
	answer, err := c.Forward(t.Context(), s, forwardRequest("2"))
	must.NoError(t, err)
	must.Eq(t, "2", answer.Header.Get("Request-Id"))
	must.Eq(t, 2, requests.Load())
}

func TestForwardKeepsRequestUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s, _ := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) {
		got <- r
		writeResponse(c, "1", "")
	})
	_, err := newTestClient(t).Forward(t.Context(), s, forwardRequest("1"))
	must.NoError(t, err)
	r := <-got
	must.Eq(t, "/a%2Fb?q=1", r.RequestURI)
	must.Eq(t, "h", r.Host)
	must.Eq(t, 0, r.ContentLength)
}

// writeEndless writes prefix and then filler repeatedly until the other side closes
// the connection, and returns the number of bytes written.
func writeEndless(c net.Conn, prefix, filler string) int {
	n, err := io.WriteString(c, prefix)
	for err == nil {
		var more int
		more, err = io.WriteString(c, filler)
		n += more
	}
	return n
}

func TestEndlessResponseClosesConnection(t *testing.T) {
	line := strings.Repeat("a", 1000)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
	for name, text := range map[string][2]string{
		"first line":    {"HTTP/1.1 200 ", line},
		"no HTTP":       {"", "\x00\x01\x02\x03"},
		"header lines":  {head, "X: " + line + "\r\n"},
		"one header":    {head + "X: ", line},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nX: " + line + "\r\n\r\n"},
		"body":          {head + "\r\n", line},
		"chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"chunk size":    {head + "Transfer-Encoding: chunked\r\n\r\n3", line},
		"trailer":       {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "X: " + line + "\r\n"},
		"long length":   {head + "Content-Length: 1000000000000\r\n\r\n", line},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) { written <- writeEndless(c, text[0], text[1]) })
			_, err := newTestClient(t).Forward(t.Context(), s, forwardRequest("1"))
			must.Error(t, err)
			must.False(t, wqtarget.FailureOf(err).NotRun())
			must.Less(t, 64<<20, <-written, must.Sprint("bytes until the connection was closed"))
		})
	}
}

// All searchers of a fan-out may send endless bodies at once. A VM with 284 MB has
// to keep within its memory.
func TestEndlessBodiesStayWithinMemory(t *testing.T) {
	const (
		searchers = 100
		maxHeap   = 96 << 20 // bytes; a third of the VM's memory
	)
	s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
		writeEndless(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", strings.Repeat("a", 32<<10))
	})
	s.Connections = searchers
	c := newTestClient(t)
	var highestHeap uint64
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		for range searchers {
			wait.Go(func() {
				_, err := c.Forward(t.Context(), s, forwardRequest("1"))
				must.Error(t, err)
			})
		}
		wait.Wait()
	}()
	var stats runtime.MemStats
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Millisecond):
		}
		runtime.GC() // So that HeapAlloc holds no garbage.
		runtime.ReadMemStats(&stats)
		highestHeap = max(highestHeap, stats.HeapAlloc)
	}
	must.Less(t, maxHeap, highestHeap)
}

// FuzzForwardResponse reads arbitrary bytes as a searcher's response. What is accepted
// must be a whole response to the request.
func FuzzForwardResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
			_, _ = c.Write(response)
			_ = c.Close()
		})
		c := newTestClient(t)
		c.MaxReplyBytes = 1 << 16
		r, err := c.Forward(t.Context(), s, forwardRequest("1"))
		if err != nil {
			return
		}
		if r.Header.Get("Request-Id") != "1" || int64(len(r.Body)) > c.MaxReplyBytes || r.StatusCode < 200 {
			t.Fatalf("a response that is not whole, or of another request, was accepted: %+v", r)
		}
		if length := r.Header.Get("Content-Length"); length != "" && length != strconv.Itoa(len(r.Body)) {
			t.Fatalf("a body of %d bytes was accepted where the head says %s", len(r.Body), length)
		}
	})
}

// Guards against an answer without a valid status that reaches a caller as a success:
// net/http accepts any three digits, and ends a request with an unrequested 101.
func TestResponseWithInvalidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999"} {
		t.Run(status, func(t *testing.T) {
			s, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s \r\nRequest-Id: 1\r\nServer-Stamp: stamp\r\nContent-Length: 1\r\n\r\nx", status)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := newTestClient(t).Forward(ctx, s, forwardRequest("1"))
			must.Error(t, err)
			must.NoError(t, ctx.Err(), must.Sprint("the response is refused at once"))
			must.False(t, wqtarget.FailureOf(err).NotRun(), must.Sprint("the searcher may have run the request"))
		})
	}
}

// Guards against requests that reach a searcher although it left while they waited for a
// connection to it.
func TestWaitingRequestIsWithdrawn(t *testing.T) {
	busy := make(chan struct{})
	s, requests := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) {
		<-busy
		writeResponse(c, r.Header.Get("Request-Id"), "x")
	})
	s.Connections = 1
	c := newTestClient(t)
	var left atomic.Bool
	forward := func(id string) error {
		m := forwardRequest(id)
		m.MaySend = func() bool { return !left.Load() }
		_, err := c.Forward(t.Context(), s, m)
		return err
	}
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- forward("1") }()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool { return requests.Load() == 1 })))
	go func() { second <- forward("2") }()
	select {
	case err := <-second:
		t.Fatalf("a request that may be sent did not wait: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	c.WithdrawWaiting()
	left.Store(true)
	c.WithdrawWaiting()
	for _, err := range []error{<-second, forward("3")} {
		must.Error(t, err)
		must.True(t, wqtarget.FailureOf(err).Withdrawn)
		must.True(t, wqtarget.FailureOf(err).NotRun())
	}
	close(busy)
	must.NoError(t, <-first, must.Sprint("a request that was sent is not withdrawn"))
	must.Eq(t, 1, requests.Load())
}

func TestSearcherThatLeavesRightBeforeTheFirstByteGetsNothing(t *testing.T) {
	s, requests := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) { writeResponse(c, r.Header.Get("Request-Id"), "x") })
	c := newTestClient(t)
	for _, kept := range []bool{false, true} {
		m, left := forwardRequest("1"), false
		m.BeforeWrite = func() { left = true }
		m.MaySend = func() bool { return !left }
		_, err := c.Forward(t.Context(), s, m)
		must.True(t, wqtarget.FailureOf(err).Withdrawn, must.Sprintf("on a kept connection: %v", kept))
		if !kept {
			_, err = c.Forward(t.Context(), s, forwardRequest("2"))
			must.NoError(t, err)
		}
	}
	must.Eq(t, 1, requests.Load())
}

// rejection returns the bytes of a rejection that proves that the request did not run.
func rejection(id string) string {
	return "HTTP/1.1 503 Full\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against requests that run twice: a searcher sends a late copy of its rejection
// on a connection that is in use again, and all tries of a request have the same id.
func TestLateCopyOfARejectionIsNotTakenForTheNextTry(t *testing.T) {
	var mu sync.Mutex
	requestsOn := make(map[net.Conn]int)
	s, _ := startRawSearcher(t, func(c net.Conn, n int64, r *http.Request) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		requestsOn[c]++
		isReused := requestsOn[c] > 1
		mu.Unlock()
		if n == 1 || isReused {
			_, _ = io.WriteString(c, rejection(id))
		}
		if n > 1 {
			writeResponse(c, id, "x")
		}
	})
	c := newTestClient(t)
	m := forwardRequest("1")
	m.ID, m.Method = "1", http.MethodPost
	r, err := c.Forward(t.Context(), s, m)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, r.StatusCode)
	time.Sleep(20 * time.Millisecond) // The connection is idle again.
	r, err = c.Forward(t.Context(), s, m)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, r.StatusCode, must.Sprint("the copy of the first answer was taken for the second"))
}

func TestConnectionIsReusedForOtherRequestsAfterARejection(t *testing.T) {
	var connections sync.Map
	s, requests := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) {
		connections.Store(c, true)
		_, _ = io.WriteString(c, rejection(r.Header.Get("Request-Id")))
	})
	c := newTestClient(t)
	const requestCount = 300
	for i := range requestCount {
		m := forwardRequest(fmt.Sprint(i))
		m.ID = fmt.Sprint(i)
		_, err := c.Forward(t.Context(), s, m)
		must.NoError(t, err)
		time.Sleep(time.Millisecond) // The connection is idle again.
	}
	count := 0
	connections.Range(func(any, any) bool { count++; return true })
	must.Eq(t, requestCount, requests.Load())
	must.Eq(t, 2, count, must.Sprint("a connection remembers 256 ids"))
}

// Guards against sound answers that fail because other searchers send bodies without end:
// they use up the memory for replies again and again.
func TestShortRepliesNeedNoneOfTheSharedMemory(t *testing.T) {
	const endless, sound = 50, 3000
	faulty, _ := startRawSearcher(t, func(c net.Conn, _ int64, _ *http.Request) {
		writeEndless(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", strings.Repeat("a", 32<<10))
	})
	faulty.ID, faulty.Connections = "faulty", endless
	healthy, _ := startRawSearcher(t, func(c net.Conn, _ int64, r *http.Request) { writeResponse(c, r.Header.Get("Request-Id"), "x") })
	c := newTestClient(t)
	c.MaxBufferedBytes = 1 << 20
	done := make(chan struct{})
	var g sync.WaitGroup
	for range endless {
		g.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_, _ = c.Forward(t.Context(), faulty, forwardRequest("1")) // Fails in any case.
				}
			}
		})
	}
	failed := make(map[string]int)
	for range sound {
		if _, err := c.Forward(t.Context(), healthy, forwardRequest("2")); err != nil {
			failed[err.Error()]++
		}
	}
	close(done)
	g.Wait()
	must.MapEmpty(t, failed)
}

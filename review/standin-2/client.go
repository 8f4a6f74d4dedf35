package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, target string
	extra          string // further header lines, each with its end
	deadline       time.Duration
}

// result is a request with its answer.
type result struct {
	request
	id     string
	vm     string
	sentAt time.Time
	endAt  time.Time
	code   int // 0 without a complete answer
	header http.Header
	body   string
	err    error
}

// crowd is a number of clients. Each keeps its connection and sends one request after the
// other.
type crowd struct {
	fleet *fleet
	rec   *record

	sequence atomic.Int64
	mu       sync.Mutex
	results  []result
	wait     sync.WaitGroup
}

// add starts a client that sends next() to a VM, one request each interval, until the end.
func (c *crowd) add(v *vm, interval time.Duration, end time.Time, next func() request) {
	n := c.sequence.Add(1)
	c.wait.Go(func() {
		var conn net.Conn
		var reader *bufio.Reader
		defer func() {
			if conn != nil {
				_ = conn.Close()
			}
		}()
		time.Sleep(time.Duration(n%16) * interval / 16)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for time.Now().Before(end) {
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, c.fleet.front), time.Second); err != nil {
					conn = nil
					c.rec.add("client=%d %s can't be reached: %s", n, v.name, err)
					<-ticker.C
					continue
				}
				reader = bufio.NewReader(conn)
			}
			if !c.send(v, conn, reader, next()) {
				_ = conn.Close()
				conn = nil
			}
			<-ticker.C
		}
	})
}

// send sends one request and reads its answer. It returns false if the connection can't be
// used any more.
func (c *crowd) send(v *vm, conn net.Conn, reader *bufio.Reader, q request) bool {
	r := result{request: q, id: fmt.Sprintf("q%06d", c.sequence.Add(1)), vm: v.name, sentAt: time.Now()}
	_ = conn.SetDeadline(r.sentAt.Add(q.deadline))
	c.rec.add("sent id=%s to=%s %s %s", r.id, v.name, q.method, q.target)
	length := ""
	if q.method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, r.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s%s\r\n", q.method, q.target, hostName, r.id, q.deadline.Milliseconds(), length, q.extra)
	mayKeep := false
	if r.err == nil {
		var response *http.Response
		if response, r.err = http.ReadResponse(reader, &http.Request{Method: q.method}); r.err == nil {
			var body []byte
			body, r.err = io.ReadAll(response.Body)
			if r.err == nil {
				r.code, r.header, r.body, mayKeep = response.StatusCode, response.Header, string(body), !response.Close
			}
		}
	}
	r.endAt = time.Now()
	if r.err != nil {
		c.rec.add("none id=%s after %d ms: %s", r.id, r.endAt.Sub(r.sentAt).Milliseconds(), r.err)
	} else {
		c.rec.add("answer id=%s after %d ms: %d stamp=%s", r.id, r.endAt.Sub(r.sentAt).Milliseconds(), r.code, r.header.Get("Server-Stamp"))
	}
	c.mu.Lock()
	c.results = append(c.results, r)
	c.mu.Unlock()
	return mayKeep
}

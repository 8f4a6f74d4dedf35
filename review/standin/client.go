package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	ID     string
	Sent   time.Time
	Done   time.Time
	Code   int // 0 where no complete answer came.
	Header http.Header
	Body   []byte
	Err    error
}

// client keeps one connection to a VM.
type client struct {
	world  *world
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
}

// send sends one request, on a new connection if there is none, and waits for the
// answer until the deadline and a second more. It records both.
func (c *client) send(method, target, body string, deadline time.Duration) answer {
	return c.sendAs(c.world.nextID(), method, target, body, deadline)
}

func (c *client) sendAs(id, method, target, body string, deadline time.Duration) answer {
	a := answer{ID: id, Sent: time.Now()}
	if c.conn == nil {
		if c.conn, a.Err = net.DialTimeout("tcp", c.vm.callers(), time.Second); a.Err != nil {
			c.conn, a.Done = nil, time.Now()
			return a
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.world.record("sent", "id", id, "vm", c.vm.Name, "request", method+" "+target)
	a = exchangeWith(c.conn, c.reader, method, target, host, id, body, deadline)
	if a.Err != nil || a.Header.Get("Connection") == "close" {
		_ = c.conn.Close()
		c.conn = nil
	}
	c.world.record("answered", "id", id, "vm", c.vm.Name, "code", a.Code, "after_ms", a.Done.Sub(a.Sent).Milliseconds(), "error", a.Err)
	return a
}

func exchangeOn(c net.Conn, method, target, hostname, id, body string, deadline time.Duration) answer {
	return exchangeWith(c, bufio.NewReader(c), method, target, hostname, id, body, deadline)
}

func exchangeWith(c net.Conn, reader *bufio.Reader, method, target, hostname, id, body string, deadline time.Duration) answer {
	a := answer{ID: id, Sent: time.Now()}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, hostname, id, deadline.Milliseconds())
	if body != "" {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, a.Err = io.WriteString(c, request+"\r\n"+body); a.Err == nil {
		var response *http.Response
		if response, a.Err = http.ReadResponse(reader, &http.Request{Method: method}); a.Err == nil {
			a.Header = response.Header
			if response.Close {
				a.Header.Set("Connection", "close")
			}
			if a.Body, a.Err = io.ReadAll(response.Body); a.Err == nil {
				a.Code = response.StatusCode
			}
		}
	}
	a.Done = time.Now()
	return a
}

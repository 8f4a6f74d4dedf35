// Package crowd_test runs one VM against many clients that exceed its limits, one kind
// of abuse in each test. It checks nothing that depends on the speed of the machine:
// the process is alive, its peak memory and its open descriptors are within the memory
// and the descriptors of its settings, and an ordinary request is answered afterwards.
//
// # Usage
//
// The tests run on their own, after all other packages:
//
//	go test -count=1 ./test/crowd
package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// The settings and limits of the VM, and the load. They never change.
const (
	memoryMegabytes = 96
	maxDescriptors  = 512
	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 256 << 10
	clients         = 400
	load            = 3 * time.Second
	answerTime      = 20 * time.Second // answerTime bounds the wait for the answer to the ordinary request.
)

// vm is the VM under test. Its settings and its configuration state the limits above.
type vm struct {
	*wqfakeplatform.VM
	t               *testing.T
	fleet           *wqfakeplatform.Fleet
	peakDescriptors atomic.Int64
}

func startVM(t *testing.T) *vm {
	t.Helper()
	const shards = 2
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shards, MemoryMegabytes: memoryMegabytes, MaxDescriptors: maxDescriptors})
	c := f.Configuration(1, wqfakeplatform.Shards(1, shards))
	c.Limits.MaxHeaderBytes, c.Limits.MaxBodyBytes, c.Limits.HeaderTimeoutMs = maxHeaderBytes, maxBodyBytes, 10_000
	for i := range c.Routes {
		c.Routes[i].TimeoutMs = 30_000 // Bodies that stop short stay open until the end of the test.
	}
	f.PutConfiguration(c)
	f.WaitReady()
	return &vm{VM: f.VMs[0], t: t, fleet: f}
}

// watchDescriptors records the largest number of open descriptors until stop is called.
func (v *vm) watchDescriptors() (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for v.Running() {
			v.peakDescriptors.Store(max(v.peakDescriptors.Load(), int64(v.OpenDescriptors())))
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return func() {
		close(done)
		g.Wait()
	}
}

// abuse has n clients run one kind of abuse at the same time, on new connections when
// theirs are closed, and keeps the last connections open while the VM is checked.
func (v *vm) abuse(address string, n int, run func(io.Writer) error) {
	v.t.Helper()
	stopWatching := v.watchDescriptors()
	end := time.Now().Add(load)
	var g sync.WaitGroup
	open := make(chan net.Conn, n)
	for range n {
		g.Go(func() {
			for time.Now().Before(end) {
				c, err := net.DialTimeout("tcp", address, time.Until(end))
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(end)
				if err := run(c); err == nil {
					_, err = io.Copy(io.Discard, c)
					if timeout, ok := err.(net.Error); ok && timeout.Timeout() { //nolint:errorlint // The error of a connection is not wrapped.
						open <- c
						return
					}
				}
				_ = c.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	g.Wait()
	close(open)
	v.check()
	for c := range open {
		_ = c.Close()
	}
	stopWatching()
	must.LessEq(v.t, maxDescriptors, v.peakDescriptors.Load(), must.Sprint("open descriptors"))
}

// check checks everything but the descriptors.
func (v *vm) check() {
	v.t.Helper()
	must.True(v.t, v.Running(), must.Sprint("the process has ended"))
	defer func() { v.t.Logf("peak memory %d bytes, %d descriptors", v.PeakMemory(), v.peakDescriptors.Load()) }()
	v.fleet.Eventually(answerTime, func() bool {
		return v.fleet.Send(v.VM, http.MethodPost, "/write/x", "order", 5*time.Second).Code == http.StatusOK
	})
	must.True(v.t, v.Running(), must.Sprint("the process has ended"))
	must.LessEq(v.t, memoryMegabytes*1_000_000, v.PeakMemory(), must.Sprint("peak memory"))
}

// requestHead returns the request line and the header of a POST, without the empty line
// at its end.
func requestHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + wqfakeplatform.Host + "\r\nRequest-Id: abuse\r\nDeadline-Ms: 30000\r\n"
}

const (
	pieceBytes = 16 << 10
	pieceDelay = 10 * time.Millisecond // pieceDelay spares the machine of the test.
)

// writeEndless writes head, and pieces without end, until the VM closes the connection
// or the load ends.
func writeEndless(w io.Writer, head string, piece func(i int) string) error {
	_, err := io.WriteString(w, head)
	for i := 0; err == nil; i++ {
		_, err = io.WriteString(w, piece(i))
		time.Sleep(pieceDelay)
	}
	return err
}

// repeat returns a function that returns s as often as it fits in one piece.
func repeat(s string) func(int) string {
	whole := strings.Repeat(s, pieceBytes/len(s))
	return func(int) string { return whole }
}

// writePieces writes head, and n pieces with a pause after each.
func writePieces(w io.Writer, head string, n int, piece string) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for range n {
		if _, err := io.WriteString(w, piece); err != nil {
			return err
		}
		time.Sleep(pieceDelay)
	}
	return nil
}

// chunk returns one chunk of a chunked body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

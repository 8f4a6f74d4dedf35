package tier_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// startBusyFleet returns one VM with one connection to each searcher, whose searchers of
// writes never answer.
func startBusyFleet(t *testing.T, timeout time.Duration) *wqfakeplatform.Fleet {
	t.Helper()
	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shardCount})
	configuration := f.Configuration(1, initialShards)
	configuration.Routes[2].TimeoutMs = int(timeout.Milliseconds())
	for i := range configuration.Services {
		configuration.Services[i].MaxConnections = 2
	}
	f.PutConfiguration(configuration)
	f.WaitReady()
	setBehaviour(f, "invoices", wqfakeplatform.Behaviour{Hang: true})
	return f
}

// Guards against a planned stop that cuts requests that it has read: those that wait for a
// searcher are refused as not run, those that run get a reply too.
func TestStopRepliesToRequestsThatCanNotFinish(t *testing.T) {
	t.Parallel()
	const callers, deadline = 12, 9 * time.Second
	f := startBusyFleet(t, deadline)
	codes := make(chan int, callers)
	var g sync.WaitGroup
	for range callers {
		g.Go(func() { codes <- f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", deadline).Code })
	}
	time.Sleep(500 * time.Millisecond)
	f.VMs[0].Signal(syscall.SIGTERM)
	g.Wait()
	close(codes)
	counts := make(map[int]int)
	for code := range codes {
		counts[code]++
	}
	must.Eq(t, map[int]int{http.StatusServiceUnavailable: callers - 2, http.StatusBadGateway: 2}, counts)
	checkGuarantees(t, f)
}

// Guards against requests that arrive late in a planned stop, are passed on and then cut.
// A caller sends them on a connection that it has opened before.
func TestRequestLateInAStopIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const deadline = 9 * time.Second
	f := startBusyFleet(t, deadline)
	var g sync.WaitGroup
	defer g.Wait()
	g.Go(func() { f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", deadline) }) // Keeps the VM from ending early.
	time.Sleep(200 * time.Millisecond)
	f.VMs[0].Signal(syscall.SIGTERM)
	time.Sleep(2300 * time.Millisecond) // The VM still accepts connections.
	c, err := net.Dial("tcp", f.VMs[0].CallerAddress)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	time.Sleep(1900 * time.Millisecond)
	_, err = fmt.Fprintf(c, "POST /write/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: late\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", wqfakeplatform.Host, deadline.Milliseconds())
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	must.True(t, response.Close)
	for _, s := range f.SearchersOf("invoices") {
		for _, e := range s.Executions() {
			must.NotEq(t, "late", e.RequestID)
		}
	}
}

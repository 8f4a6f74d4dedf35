package wqtarget_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqobservation"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

const seed = 7

func newClient(t *testing.T) *wqtarget.Client {
	t.Helper()
	c, closeClient := wqtarget.New()
	t.Cleanup(closeClient)
	return c
}

func searcherAt(address string, connections int) *wqtopology.Searcher {
	return &wqtopology.Searcher{ID: "s-1", Address: address, Service: "bench", Shard: "b01", Slots: 3, Connections: connections}
}

// startSearcher starts a searcher that answers with h.
func startSearcher(t *testing.T, h http.HandlerFunc) *wqtopology.Searcher {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return searcherAt(strings.TrimPrefix(s.URL, "http://"), 30)
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func query(id string) wqtarget.Query {
	return wqtarget.Query{RequestID: id, Service: "bench", Shard: "b01", Snapshot: 7, Limit: 10}
}

func TestRefusedConnectionProvesNotRun(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(testContext(t), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = newClient(t).Write(testContext(t), searcherAt(l.Addr().String(), 30), wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.Unreachable, f.Status)
	must.True(t, f.NotRun())
	must.EqOp(t, wqfault.Unavailable, wqfault.KindOf(err))
}

// The availability zone may be taken out after the holder's check and before the
// first byte of the request. Nothing may be sent then.
func TestNothingIsWrittenWhenMaySendIsFalse(t *testing.T) {
	var requests atomic.Int32
	s := startSearcher(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	c := newClient(t)
	c.MaySend = func(string) bool { return false }
	_, err := c.Write(testContext(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.NotRun, f.Status)
	must.True(t, f.NotRun())
	_, err = c.Search(testContext(t), s, []wqtarget.Query{query("q-1")})
	must.EqOp(t, wqobservation.NotRun, wqtarget.FailureOf(err).Status)
	must.EqOp(t, 0, requests.Load())
}

// A searcher that closes connections at various points may have run every
// write-like request of which it received a byte, so none of these may be NotRun.
func TestNotRunOnlyWithoutBytesReceived(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 0))
	var received sync.Map
	l, err := (&net.ListenConfig{}).Listen(testContext(t), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go breakConnection(c, i%3, &received)
		}
	}()
	client := newClient(t)
	notRun := 0
	for i := range 300 {
		id := fmt.Sprintf("ticket-%04d", i)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(1500))*time.Microsecond)
		_, err := client.Write(ctx, searcherAt(l.Addr().String(), 30), wqtarget.WriteRequest{RequestID: id})
		cancel()
		if f := wqtarget.FailureOf(err); f.NotRun() {
			notRun++
			time.Sleep(time.Millisecond)
			_, ran := received.Load(id)
			must.False(t, ran, must.Sprint(id))
		}
	}
	must.Positive(t, notRun)
}

// breakConnection closes a connection without a reply, depending on mode: 0 before
// reading, 1 after the request, 2 another 2 ms later. It stores the id of the
// request in received.
func breakConnection(c net.Conn, mode int, received *sync.Map) {
	defer func() { _ = c.Close() }()
	if mode == 0 {
		return
	}
	buffer := make([]byte, 4096)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	n, _ := c.Read(buffer)
	if i := strings.Index(string(buffer[:n]), "ticket-"); i >= 0 {
		received.Store(string(buffer[i:i+11]), true)
	}
	if mode == 2 {
		time.Sleep(2 * time.Millisecond)
	}
}

func TestOnlySearchersOwnRefusalProvesNotRun(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   wqobservation.Status
		notRun bool
	}{
		{503, `{"incarnation":"a","refusal":"shed"}`, wqobservation.Shed, true},
		{503, `{"incarnation":"a","refusal":"draining"}`, wqobservation.Draining, true},
		{503, `{"incarnation":"a","refusal":"not_run"}`, wqobservation.NotRun, true},
		{503, `{"request_id":"t-1","refusal":"shed"}`, wqobservation.Shed, true},
		{503, `{"request_id":"t-2","refusal":"shed"}`, wqobservation.Broken, false}, // A late copy of the refusal of another request.
		{503, `{"refusal":"perhaps"}`, wqobservation.Broken, false},
		{503, `{}`, wqobservation.Broken, false},
		{503, `upstream connect error`, wqobservation.Broken, false},
		{500, `{"refusal":"shed"}`, wqobservation.Broken, false},
		{302, ``, wqobservation.Broken, false},
		{200, `{"request_id":"t-2"}`, wqobservation.Broken, false},
		{200, `{"request_id":`, wqobservation.Broken, false},
	} {
		var requests atomic.Int32
		s := startSearcher(t, func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		_, err := newClient(t).Write(testContext(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
		f := wqtarget.FailureOf(err)
		must.EqOp(t, c.want, f.Status, must.Sprint(c.status, c.body))
		must.EqOp(t, c.notRun, f.NotRun(), must.Sprint(c.status, c.body))
		must.EqOp(t, 1, requests.Load())
	}
}

// A persistent connection that closes during a request must not make the client
// send the request again.
func TestPostIsNeverRepeated(t *testing.T) {
	var requests atomic.Int32
	s := startSearcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"ready":true}`)
			return
		}
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})
	c := newClient(t)
	_, err := c.Health(testContext(t), s)
	must.NoError(t, err)
	_, err = c.Write(testContext(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.Broken, f.Status)
	must.False(t, f.NotRun())
	must.EqOp(t, 1, requests.Load())
}

func TestMismatchedReplyClosesConnection(t *testing.T) {
	for _, body := range []string{
		`{"results":[{"request_id":"q-2","shard":"b01","snapshot":7}]}`,
		`{"results":[{"request_id":"q-1","shard":"b02","snapshot":7}]}`,
		`{"results":[{"request_id":"q-1","shard":"b01","snapshot":8}]}`,
		`{"results":[{"request_id":"q-1","shard":"b01","snapshot":7},{"request_id":"q-1","shard":"b01","snapshot":7}]}`,
		`{"results":[{"request_id":"q-1","shard":"b01","snapshot":7,"matched":0,"rows":[{"key":"k"}]}]}`,
		`{"results":[]}`,
		`{"results":[{"request_id":"q-1","shard":"b01","refusal":"perhaps"}]}`,
		`[`,
	} {
		var peers sync.Map
		s := startSearcher(t, func(w http.ResponseWriter, r *http.Request) {
			peers.Store(r.RemoteAddr, true)
			_, _ = io.WriteString(w, body)
		})
		c := newClient(t)
		for range 2 {
			_, err := c.Search(testContext(t), s, []wqtarget.Query{query("q-1")})
			must.EqOp(t, wqobservation.Broken, wqtarget.FailureOf(err).Status, must.Sprint(body))
		}
		count := 0
		peers.Range(func(any, any) bool { count++; return true })
		must.EqOp(t, 2, count, must.Sprint(body))
	}
}

func TestReplySizeIsBounded(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := startSearcher(t, func(w http.ResponseWriter, _ *http.Request) {
			if !chunked {
				w.Header().Set("Content-Length", "2000000")
			}
			for range 2000 {
				_, _ = w.Write(make([]byte, 1000))
			}
		})
		c := newClient(t)
		c.MaxReplyBytes = 1000
		_, err := c.Search(testContext(t), s, []wqtarget.Query{query("q-1")})
		must.EqOp(t, wqobservation.Broken, wqtarget.FailureOf(err).Status)
		must.ErrorContains(t, err, "bound")
	}
}

func TestDeadlineIsNotRunOnlyBeforeSend(t *testing.T) {
	stop := make(chan struct{})
	s := startSearcher(t, func(http.ResponseWriter, *http.Request) { <-stop })
	defer close(stop)
	c := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Write(ctx, s, wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.Expired, f.Status)
	must.False(t, f.NotRun())
	_, err = c.Write(ctx, s, wqtarget.WriteRequest{RequestID: "t-2"})
	must.True(t, wqtarget.FailureOf(err).NotRun())
}

// startConnectionCounter starts a searcher that counts its open connections, and
// returns their current and highest number.
func startConnectionCounter(t *testing.T, limit int) (s *wqtopology.Searcher, open, maxOpen *atomic.Int32) {
	t.Helper()
	open, maxOpen = &atomic.Int32{}, &atomic.Int32{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_ = json.NewEncoder(w).Encode(wqtarget.Health{Ready: true})
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return searcherAt(server.Listener.Addr().String(), limit), open, maxOpen
}

func TestConnectionsFollowMaxConnections(t *testing.T) {
	s, open, maxOpen := startConnectionCounter(t, 8)
	c := newClient(t)
	c.SetMaxConnections(s, 4)
	must.NoError(t, c.Preconnect(testContext(t), s, 4))
	must.EqOp(t, 4, open.Load())
	c.SetMaxConnections(s, 2)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return open.Load() <= 2 }), wait.Timeout(2*time.Second), wait.Gap(time.Millisecond)))
	var requests sync.WaitGroup
	for range 20 {
		requests.Go(func() { _, _ = c.Health(testContext(t), s) })
	}
	requests.Wait()
	must.EqOp(t, 4, maxOpen.Load())
	must.LessEq(t, 2, open.Load())
}

func TestLostIdleConnectionIsReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"ready":true}`)
	}))
	defer server.Close()
	c := newClient(t)
	lostIDs := make(chan string, 8)
	c.OnConnectionLost = func(id string) { lostIDs <- id }
	s := searcherAt(strings.TrimPrefix(server.URL, "http://"), 30)
	must.NoError(t, c.Preconnect(testContext(t), s, 2))
	must.EqOp(t, 0, len(lostIDs))
	server.CloseClientConnections()
	select {
	case id := <-lostIDs:
		must.EqOp(t, "s-1", id)
	case <-testContext(t).Done():
		t.Fatal("the lost connection was not reported")
	}
}

func TestWriteReplyIsReadAfterDeadline(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		var in wqtarget.WriteRequest
		_ = json.NewDecoder(r.Body).Decode(&in)
		_ = json.NewEncoder(w).Encode(wqtarget.WriteReply{RequestID: in.RequestID, Body: []byte("ok")})
	}))
	defer server.Close()
	c, end := wqtarget.New()
	defer end()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, func() {
		cancel()
		close(release)
	})
	s := &wqtopology.Searcher{ID: "s1", Address: server.Listener.Addr().String(), Connections: 1}
	reply, err := c.Write(ctx, s, wqtarget.WriteRequest{RequestID: "ticket-1"})
	must.NoError(t, err)
	must.Eq(t, "ok", string(reply.Body))
}

// A connection that the searcher closes for being idle is not reported as lost
// while a connection in use stays open: the searcher did not restart.
func TestIdleTimeoutIsNotReportedAsLost(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, `{"ready":true}`)
	}))
	server.Config.IdleTimeout = 100 * time.Millisecond
	server.Start()
	defer server.Close()
	c := newClient(t)
	c.LossWindow = 50 * time.Millisecond
	lostIDs := make(chan string, 8)
	c.OnConnectionLost = func(id string) { lostIDs <- id }
	s := searcherAt(strings.TrimPrefix(server.URL, "http://"), 30)
	must.NoError(t, c.Preconnect(testContext(t), s, 3))
	for range 30 {
		_, err := c.Health(testContext(t), s)
		must.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	must.EqOp(t, 0, len(lostIDs))
	server.CloseClientConnections()
	must.EqOp(t, "s-1", <-lostIDs)
}

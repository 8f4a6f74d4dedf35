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

// serve runs a handler as a searcher.
func serve(t *testing.T, h http.HandlerFunc) *wqtopology.Searcher {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return searcherAt(strings.TrimPrefix(s.URL, "http://"), 30)
}

func soon(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func query(id string) wqtarget.Query {
	return wqtarget.Query{RequestID: id, Service: "bench", Shard: "b01", Snapshot: 7, Limit: 10}
}

func TestRefusedConnectProvesNotRun(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(soon(t), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	_, err = newClient(t).Write(soon(t), searcherAt(l.Addr().String(), 30), wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.Unreachable, f.Status)
	must.True(t, f.NotRun())
	must.EqOp(t, wqfault.Unavailable, wqfault.KindOf(err))
}

// The zone is taken out between the holder's check and the first byte.
func TestNothingIsWrittenOnceTheSearcherIsNotUsable(t *testing.T) {
	var requests atomic.Int32
	s := serve(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	c := newClient(t)
	c.MaySend = func(string) bool { return false }
	_, err := c.Write(soon(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.NotRun, f.Status)
	must.True(t, f.NotRun())
	_, err = c.Search(soon(t), s, []wqtarget.Query{query("q-1")})
	must.EqOp(t, wqobservation.NotRun, wqtarget.FailureOf(err).Status)
	must.EqOp(t, 0, requests.Load())
}

// A searcher that breaks connections at random points may have run every
// write-like request of which it got a byte.
func TestNotRunIsProved(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 0))
	var got sync.Map
	l, err := (&net.ListenConfig{}).Listen(soon(t), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for way := 0; ; way++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go breakAt(c, way%3, &got)
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
			_, ran := got.Load(id)
			must.False(t, ran, must.Sprint(id))
		}
	}
	must.Positive(t, notRun)
}

// breakAt notes the requests of a connection and closes it: at once, after a
// request, or after a while without a reply.
func breakAt(c net.Conn, way int, got *sync.Map) {
	defer func() { _ = c.Close() }()
	if way == 0 {
		return
	}
	buffer := make([]byte, 4096)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	n, _ := c.Read(buffer)
	if i := strings.Index(string(buffer[:n]), "ticket-"); i >= 0 {
		got.Store(string(buffer[i:i+11]), true)
	}
	if way == 2 {
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
		{503, `{"refusal":"perhaps"}`, wqobservation.Broken, false},
		{503, `{}`, wqobservation.Broken, false},
		{503, `upstream connect error`, wqobservation.Broken, false},
		{500, `{"refusal":"shed"}`, wqobservation.Broken, false},
		{302, ``, wqobservation.Broken, false},
		{200, `{"request_id":"t-2"}`, wqobservation.Broken, false},
		{200, `{"request_id":`, wqobservation.Broken, false},
	} {
		var requests atomic.Int32
		s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		_, err := newClient(t).Write(soon(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
		f := wqtarget.FailureOf(err)
		must.EqOp(t, c.want, f.Status, must.Sprint(c.status, c.body))
		must.EqOp(t, c.notRun, f.NotRun(), must.Sprint(c.status, c.body))
		must.EqOp(t, 1, requests.Load())
	}
}

// A kept connection that closes under a request does not repeat it.
func TestPostIsNeverRepeated(t *testing.T) {
	var requests atomic.Int32
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"ready":true}`)
			return
		}
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})
	c := newClient(t)
	_, err := c.Health(soon(t), s)
	must.NoError(t, err)
	_, err = c.Write(soon(t), s, wqtarget.WriteRequest{RequestID: "t-1"})
	f := wqtarget.FailureOf(err)
	must.EqOp(t, wqobservation.Broken, f.Status)
	must.False(t, f.NotRun())
	must.EqOp(t, 1, requests.Load())
}

func TestMismatchClosesConnection(t *testing.T) {
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
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			peers.Store(r.RemoteAddr, true)
			_, _ = io.WriteString(w, body)
		})
		c := newClient(t)
		for range 2 {
			_, err := c.Search(soon(t), s, []wqtarget.Query{query("q-1")})
			must.EqOp(t, wqobservation.Broken, wqtarget.FailureOf(err).Status, must.Sprint(body))
		}
		count := 0
		peers.Range(func(any, any) bool { count++; return true })
		must.EqOp(t, 2, count, must.Sprint(body))
	}
}

func TestReplyIsBounded(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if !chunked {
				w.Header().Set("Content-Length", "2000000")
			}
			for range 2000 {
				_, _ = w.Write(make([]byte, 1000))
			}
		})
		c := newClient(t)
		c.MaxReplyBytes = 1000
		_, err := c.Search(soon(t), s, []wqtarget.Query{query("q-1")})
		must.EqOp(t, wqobservation.Broken, wqtarget.FailureOf(err).Status)
		must.ErrorContains(t, err, "bound")
	}
}

func TestDeadlineTellsWhatWasSent(t *testing.T) {
	stop := make(chan struct{})
	s := serve(t, func(http.ResponseWriter, *http.Request) { <-stop })
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

// connections counts those open to a searcher.
func connections(t *testing.T, limit int) (s *wqtopology.Searcher, open, most *atomic.Int32) {
	t.Helper()
	open, most = &atomic.Int32{}, &atomic.Int32{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_ = json.NewEncoder(w).Encode(wqtarget.Health{Ready: true})
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return searcherAt(server.Listener.Addr().String(), limit), open, most
}

func TestConnectionsFollowShare(t *testing.T) {
	s, open, most := connections(t, 8)
	c := newClient(t)
	c.SetMaxConnections(s, 4)
	must.NoError(t, c.Preconnect(soon(t), s, 4))
	must.EqOp(t, 4, open.Load())
	c.SetMaxConnections(s, 2)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return open.Load() <= 2 }), wait.Timeout(2*time.Second), wait.Gap(time.Millisecond)))
	var requests sync.WaitGroup
	for range 20 {
		requests.Go(func() { _, _ = c.Health(soon(t), s) })
	}
	requests.Wait()
	must.EqOp(t, 4, most.Load())
	must.LessEq(t, 2, open.Load())
}

func TestLostIdleConnectionIsReported(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"ready":true}`)
	}))
	defer server.Close()
	c := newClient(t)
	lost := make(chan string, 8)
	c.OnConnectionLost = func(id string) { lost <- id }
	s := searcherAt(strings.TrimPrefix(server.URL, "http://"), 30)
	must.NoError(t, c.Preconnect(soon(t), s, 2))
	must.EqOp(t, 0, len(lost))
	server.CloseClientConnections()
	select {
	case id := <-lost:
		must.EqOp(t, "s-1", id)
	case <-soon(t).Done():
		t.Fatal("the lost connection was not reported")
	}
}

func TestLateReplyToAWriteIsWaitedFor(t *testing.T) {
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

// A searcher that closes a connection for being idle did not restart, as long
// as a connection in use stays open.
func TestIdleTimeoutIsNoLoss(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, `{"ready":true}`)
	}))
	server.Config.IdleTimeout = 100 * time.Millisecond
	server.Start()
	defer server.Close()
	c := newClient(t)
	c.LossWindow = 50 * time.Millisecond
	lost := make(chan string, 8)
	c.OnConnectionLost = func(id string) { lost <- id }
	s := searcherAt(strings.TrimPrefix(server.URL, "http://"), 30)
	must.NoError(t, c.Preconnect(soon(t), s, 3))
	for range 30 {
		_, err := c.Health(soon(t), s)
		must.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	must.EqOp(t, 0, len(lost))
	server.CloseClientConnections()
	must.EqOp(t, "s-1", <-lost)
}

package wqpeerpool

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/io/wqpb"
)

type echoPeer struct{ wqpb.PeerService }

func (echoPeer) ForwardWrite(_ context.Context, r *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return &wqpb.WriteResponse{Ticket: r.Ticket}, nil
}

type acceptCounter struct {
	net.Listener
	mu       sync.Mutex
	accepted int
}

func (a *acceptCounter) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	a.mu.Lock()
	a.accepted++
	a.mu.Unlock()
	return c, err
}

func startPeer(t *testing.T) (string, *acceptCounter) {
	t.Helper()
	s := httptest.NewUnstartedServer(wqpb.NewPeerServiceServer(echoPeer{}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols = protocols
	counter := &acceptCounter{Listener: s.Listener}
	s.Listener = counter
	s.Start()
	t.Cleanup(s.Close)
	return counter.Addr().String(), counter
}

func TestPoolBoundsConnections(t *testing.T) {
	address, counter := startPeer(t)
	pool, release := New(Settings{MaxConnsPerPeer: 2})
	defer release()
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			reply, err := pool.PeerClient(address).ForwardWrite(t.Context(), &wqpb.WriteRequest{Ticket: "a"})
			test.NoError(t, err)
			test.Eq(t, "a", reply.GetTicket())
		})
	}
	group.Wait()
	counter.mu.Lock()
	defer counter.mu.Unlock()
	test.LessEq(t, 2, counter.accepted)
}

func TestRefusedConnectIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	pool, release := New(Settings{})
	defer release()
	_, err = pool.PeerClient(l.Addr().String()).ForwardWrite(t.Context(), &wqpb.WriteRequest{})
	must.Error(t, err)
	must.True(t, IsUnsent(err))
}

func TestDroppedReplyIsNotUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_ = c.Close()
		}
	}()
	pool, release := New(Settings{})
	defer release()
	_, err = pool.PeerClient(l.Addr().String()).ForwardWrite(t.Context(), &wqpb.WriteRequest{})
	must.Error(t, err)
	must.False(t, IsUnsent(err))
}

func TestSweepRemovesIdlePeers(t *testing.T) {
	address, _ := startPeer(t)
	pool, release := New(Settings{IdleTimeout: time.Hour})
	defer release()
	_, err := pool.PeerClient(address).ForwardWrite(t.Context(), &wqpb.WriteRequest{})
	must.NoError(t, err)
	pool.removeIdlePeers(time.Now())
	must.Eq(t, 1, pool.CountPeers())
	pool.removeIdlePeers(time.Now().Add(2 * time.Hour))
	must.Eq(t, 0, pool.CountPeers())
}

func TestPoolReconnectsAfterPeerRestarts(t *testing.T) {
	pool, release := New(Settings{MaxConnsPerPeer: 1})
	defer release()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	for range 3 {
		s := &http.Server{Handler: wqpb.NewPeerServiceServer(echoPeer{}), Protocols: new(http.Protocols)}
		s.Protocols.SetUnencryptedHTTP2(true)
		go func() { _ = s.Serve(l) }()
		call := func() error {
			_, err := pool.PeerClient(address).ForwardWrite(t.Context(), &wqpb.WriteRequest{})
			return err
		}
		must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(call), wait.Timeout(3*time.Second), wait.Gap(time.Millisecond)))
		for range 20 {
			must.NoError(t, call())
		}
		must.NoError(t, s.Close())
		l, err = net.Listen("tcp", address)
		must.NoError(t, err)
	}
	must.NoError(t, l.Close())
}

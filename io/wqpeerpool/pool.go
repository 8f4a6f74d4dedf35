// Package wqpeerpool keeps the connections from this VM to its peers: one HTTP
// client for each peer address, with HTTP/2 over mutual TLS or, when the
// settings allow plain text, HTTP/2 in plain text. It bounds connections,
// notices peers that hang by pings, and forgets peers that are not called.
//
// # Usage
//
// Build one pool for the process and release it at the end:
//
//	pool, release := wqpeerpool.New(wqpeerpool.Settings{TLS: keys.PeerDial(), Connections: 2})
//	defer release()
//	reply, err := pool.PeerClient("10.0.0.7:7100").ForwardWrite(ctx, request)
//
// An error for which Unsent is true proves that the peer was sent nothing.
package wqpeerpool

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

const (
	defaultConnections = 2
	defaultDialTimeout = time.Second
	defaultIdleAfter   = time.Minute
	pingAfter          = 3 * time.Second // pingAfter is the silence after which a connection is checked; heartbeats to a neighbour come more often.
	pingTimeout        = 2 * time.Second // pingTimeout closes a connection whose peer does not answer a ping.
	maxStreamMessage   = 4 << 20         // maxStreamMessage bounds one streamed message, in bytes.
	maxReply           = 8 << 20         // maxReply bounds the body of one unary reply, in bytes.
)

// Settings are the choices of a Pool; zero values take defaults.
type Settings struct {
	TLSConfig       func() *tls.Config // TLSConfig returns the configuration for a new connection; nil connects in plain text.
	MaxConnsPerPeer int                // MaxConnsPerPeer is the most connections to one peer; 0 means 2.
	DialTimeout     time.Duration      // DialTimeout bounds connecting and the TLS handshake; 0 means 1 s.
	IdleTimeout     time.Duration      // IdleTimeout closes connections, and then forgets peers, that were not used so long; 0 means 1 min.
}

// Pool gives one kept HTTP client for each peer address. It is safe for
// concurrent use.
type Pool struct {
	settings Settings
	mu       sync.RWMutex
	peers    map[string]*peer
	stop     chan struct{}
}

type peer struct {
	stripes []*http.Client
	next    atomic.Uint64
	usedAt  atomic.Int64
	unary   wqpb.PeerService
	stream  wqpbconnect.ShardServiceClient
}

// New returns a pool and the function that closes its idle connections and ends
// its sweep.
func New(s Settings) (*Pool, func()) {
	if s.MaxConnsPerPeer <= 0 {
		s.MaxConnsPerPeer = defaultConnections
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = defaultIdleAfter
	}
	p := &Pool{settings: s, peers: make(map[string]*peer), stop: make(chan struct{})}
	go p.sweepUntilStopped()
	return p, sync.OnceFunc(p.release)
}

// PeerClient returns the client of the unary calls to the peer at host:port.
func (p *Pool) PeerClient(address string) wqpb.PeerService {
	return p.peer(address).unary
}

// ShardClient returns the client of the streamed calls to the peer at host:port.
func (p *Pool) ShardClient(address string) wqpbconnect.ShardServiceClient {
	return p.peer(address).stream
}

// Peers returns how many peers the pool remembers.
func (p *Pool) Peers() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.peers)
}

func (p *Pool) peer(address string) *peer {
	p.mu.RLock()
	e := p.peers[address]
	p.mu.RUnlock()
	if e == nil {
		e = p.addPeer(address)
	}
	e.usedAt.Store(time.Now().UnixNano())
	return e
}

func (p *Pool) addPeer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.peers[address]; e != nil {
		return e
	}
	e := p.newPeer(address)
	p.peers[address] = e
	return e
}

func (p *Pool) newPeer(address string) *peer {
	e := &peer{stripes: make([]*http.Client, p.settings.MaxConnsPerPeer)}
	e.usedAt.Store(time.Now().UnixNano())
	for i := range e.stripes {
		e.stripes[i] = &http.Client{Transport: p.transport(), CheckRedirect: refuseRedirect}
	}
	scheme := "http://"
	if p.settings.TLSConfig != nil {
		scheme = "https://"
	}
	e.unary = wqpb.NewPeerServiceProtobufClient(scheme+address, boundedClient{e})
	e.stream = wqpbconnect.NewShardServiceClient(e, scheme+address,
		connect.WithReadMaxBytes(maxStreamMessage),
		connect.WithAcceptCompression("gzip", nil, nil)) // Compression costs more processor time than the bytes that it saves.
	return e
}

// transport returns a transport that keeps one HTTP/2 connection.
func (p *Pool) transport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(p.settings.TLSConfig != nil)
	protocols.SetUnencryptedHTTP2(p.settings.TLSConfig == nil)
	d := dialer{settings: p.settings, net: net.Dialer{Timeout: p.settings.DialTimeout}}
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     d.plain,
		DialTLSContext:  d.encrypted,
		MaxConnsPerHost: 1,
		IdleConnTimeout: p.settings.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             pingAfter,
			PingTimeout:                 pingTimeout,
		},
	}
}

// Do sends a request on the next of the peer's connections.
func (e *peer) Do(r *http.Request) (*http.Response, error) {
	i := e.next.Add(1) % uint64(len(e.stripes))
	return e.stripes[i].Do(r)
}

func (p *Pool) sweepUntilStopped() {
	t := time.NewTicker(p.settings.IdleTimeout)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-t.C:
			p.sweep(now)
		}
	}
}

// sweep forgets the peers that were not called for IdleAfter. A call in flight
// keeps its own connection.
func (p *Pool) sweep(now time.Time) {
	oldest := now.Add(-p.settings.IdleTimeout).UnixNano()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.peers {
		if e.usedAt.Load() < oldest {
			e.closeIdle()
			delete(p.peers, a)
		}
	}
}

func (p *Pool) release() {
	close(p.stop)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.peers {
		e.closeIdle()
	}
	clear(p.peers)
}

func (e *peer) closeIdle() {
	for _, c := range e.stripes {
		c.CloseIdleConnections()
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

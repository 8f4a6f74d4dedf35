// Package wqpeerpool is the connection pool from this VM to its peers. A peer
// gets a small fixed number of HTTP/2 connections, over mutual TLS or, when the
// settings allow it, in plain text. The pool detects unresponsive peers by HTTP/2
// pings and removes peers that have not been called for Settings.IdleTimeout.
//
// # Usage
//
// Build one pool for the process and release it at the end:
//
//	pool, release := wqpeerpool.New(wqpeerpool.Settings{TLSConfig: credentials.PeerClientTLS(), MaxConnsPerPeer: 2})
//	defer release()
//	reply, err := pool.PeerClient("10.0.0.7:7100").ForwardWrite(ctx, request)
//
// An error for which IsUnsent is true proves that nothing was sent to the peer.
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
	defaultConnections    = 2
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = time.Minute
	pingIdleTime          = 3 * time.Second // pingIdleTime is how long a connection receives nothing before it is pinged; heartbeats to a neighbour are more frequent.
	pingTimeout           = 2 * time.Second // pingTimeout is the time to answer a ping before the connection is closed.
	maxStreamMessageBytes = 4 << 20         // maxStreamMessageBytes bounds one streamed message, in bytes.
	maxReplyBytes         = 8 << 20         // maxReplyBytes bounds the body of one unary reply, in bytes.
)

// Settings configures a Pool. Zero values take defaults.
type Settings struct {
	TLSConfig       func() *tls.Config // TLSConfig returns the configuration for a new connection; nil connects in plain text.
	MaxConnsPerPeer int                // MaxConnsPerPeer is the maximum of connections to one peer; 0 means 2.
	DialTimeout     time.Duration      // DialTimeout bounds connecting and the TLS handshake; 0 means 1 s.
	IdleTimeout     time.Duration      // IdleTimeout is how long connections and peers are kept after their last use; 0 means 1 min.
}

// Pool holds the clients of all peers by address. It is safe for concurrent use.
type Pool struct {
	settings    Settings
	mu          sync.RWMutex
	peers       map[string]*peer
	sweeperStop chan struct{}
}

type peer struct {
	httpClients      []*http.Client
	nextClient       atomic.Uint64
	lastUsedUnixNano atomic.Int64
	unaryClient      wqpb.PeerService
	streamClient     wqpbconnect.ShardServiceClient
}

// New returns a pool, and a function that closes its idle connections and stops
// the removal of idle peers.
func New(s Settings) (*Pool, func()) {
	if s.MaxConnsPerPeer <= 0 {
		s.MaxConnsPerPeer = defaultConnections
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	p := &Pool{settings: s, peers: make(map[string]*peer), sweeperStop: make(chan struct{})}
	go p.runSweeper()
	return p, sync.OnceFunc(p.release)
}

// PeerClient returns the client for unary calls to the peer at host:port.
func (p *Pool) PeerClient(address string) wqpb.PeerService {
	return p.peerFor(address).unaryClient
}

// ShardClient returns the client for streaming calls to the peer at host:port.
func (p *Pool) ShardClient(address string) wqpbconnect.ShardServiceClient {
	return p.peerFor(address).streamClient
}

// CountPeers returns the number of peers in the pool.
func (p *Pool) CountPeers() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.peers)
}

func (p *Pool) peerFor(address string) *peer {
	p.mu.RLock()
	e := p.peers[address]
	p.mu.RUnlock()
	if e == nil {
		e = p.addPeer(address)
	}
	e.lastUsedUnixNano.Store(time.Now().UnixNano())
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
	e := &peer{httpClients: make([]*http.Client, p.settings.MaxConnsPerPeer)}
	e.lastUsedUnixNano.Store(time.Now().UnixNano())
	for i := range e.httpClients {
		e.httpClients[i] = &http.Client{Transport: p.newTransport(), CheckRedirect: refuseRedirect}
	}
	scheme := "http://"
	if p.settings.TLSConfig != nil {
		scheme = "https://"
	}
	e.unaryClient = wqpb.NewPeerServiceProtobufClient(scheme+address, unaryHTTPClient{e})
	e.streamClient = wqpbconnect.NewShardServiceClient(e, scheme+address,
		connect.WithReadMaxBytes(maxStreamMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil)) // No compression: it costs more CPU time than the saved bytes are worth.
	return e
}

// newTransport returns a transport with a single HTTP/2 connection.
func (p *Pool) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(p.settings.TLSConfig != nil)
	protocols.SetUnencryptedHTTP2(p.settings.TLSConfig == nil)
	d := dialer{settings: p.settings, net: net.Dialer{Timeout: p.settings.DialTimeout}}
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     d.dialPlaintext,
		DialTLSContext:  d.dialTLS,
		MaxConnsPerHost: 1,
		IdleConnTimeout: p.settings.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             pingIdleTime,
			PingTimeout:                 pingTimeout,
		},
	}
}

// Do sends a request over the peer's connections in round-robin order.
func (e *peer) Do(r *http.Request) (*http.Response, error) {
	i := e.nextClient.Add(1) % uint64(len(e.httpClients))
	return e.httpClients[i].Do(r)
}

func (p *Pool) runSweeper() {
	t := time.NewTicker(p.settings.IdleTimeout)
	defer t.Stop()
	for {
		select {
		case <-p.sweeperStop:
			return
		case now := <-t.C:
			p.removeIdlePeers(now)
		}
	}
}

// removeIdlePeers removes the peers that have not been called for IdleTimeout. A
// call in flight keeps its connection.
func (p *Pool) removeIdlePeers(now time.Time) {
	cutoff := now.Add(-p.settings.IdleTimeout).UnixNano()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.peers {
		if e.lastUsedUnixNano.Load() < cutoff {
			e.closeIdle()
			delete(p.peers, a)
		}
	}
}

func (p *Pool) release() {
	close(p.sweeperStop)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.peers {
		e.closeIdle()
	}
	clear(p.peers)
}

func (e *peer) closeIdle() {
	for _, c := range e.httpClients {
		c.CloseIdleConnections()
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

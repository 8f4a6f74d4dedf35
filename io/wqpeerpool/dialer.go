package wqpeerpool

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
)

// connectError marks an attempt that ended before a connection was usable.
type connectError struct{ cause error }

func (e *connectError) Error() string { return "connect to peer: " + e.cause.Error() }

func (e *connectError) Unwrap() error { return e.cause }

// IsUnsent reports whether err proves that the peer was sent nothing, because no
// connection to it was made.
func IsUnsent(err error) bool {
	var c *connectError
	return errors.As(err, &c)
}

type dialer struct {
	settings Settings
	net      net.Dialer
}

func (d *dialer) plain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, &connectError{err}
	}
	return c, nil
}

// encrypted reads the TLS configuration at each connection, so that new keys
// are used without a restart.
func (d *dialer) encrypted(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DialTimeout)
	defer cancel()
	raw, err := d.plain(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := tls.Client(raw, d.settings.TLSConfig())
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, &connectError{err}
	}
	return c, nil
}

// boundedClient sends unary calls on one connection, which heartbeats keep from
// falling silent, and bounds the size of replies before they are read whole.
type boundedClient struct{ peer *peer }

func (b boundedClient) Do(r *http.Request) (*http.Response, error) {
	reply, err := b.peer.stripes[0].Do(r)
	if err != nil {
		return nil, err
	}
	reply.Body = http.MaxBytesReader(nil, reply.Body, maxReply)
	return reply, nil
}

package wqpeerpool

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
)

// connectError is a failure to connect or in the TLS handshake: no request was
// sent.
type connectError struct{ cause error }

func (e *connectError) Error() string { return "connect to peer: " + e.cause.Error() }

func (e *connectError) Unwrap() error { return e.cause }

// IsUnsent reports whether err proves that nothing was sent to the peer, because
// the connection could not be established.
func IsUnsent(err error) bool {
	var c *connectError
	return errors.As(err, &c)
}

type dialer struct {
	settings Settings
	net      net.Dialer
}

func (d *dialer) dialPlaintext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, &connectError{err}
	}
	return c, nil
}

// dialTLS reads the TLS configuration for each connection, so that replaced
// certificates are used without a restart.
func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.DialTimeout)
	defer cancel()
	raw, err := d.dialPlaintext(ctx, network, address)
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

// unaryHTTPClient sends all unary calls over one connection, which the heartbeats
// keep from becoming idle, and limits the size of replies.
type unaryHTTPClient struct{ peer *peer }

func (b unaryHTTPClient) Do(r *http.Request) (*http.Response, error) {
	reply, err := b.peer.httpClients[0].Do(r)
	if err != nil {
		return nil, err
	}
	reply.Body = http.MaxBytesReader(nil, reply.Body, maxReplyBytes)
	return reply, nil
}

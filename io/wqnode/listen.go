package wqnode

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of all listeners.
const (
	headerTimeout  = 2 * time.Second // headerTimeout bounds the time to read a request's header.
	idleTimeout    = 2 * time.Minute // idleTimeout closes connections without a request in progress.
	maxHeaderBytes = 16 << 10        // maxHeaderBytes bounds a request's header, in bytes.
	maxStreams     = 1024            // maxStreams bounds the concurrent requests on one HTTP/2 connection.
)

// listener is an HTTP server and the open socket that it serves on.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

// newListener opens the socket but accepts no requests yet, so that a bad address
// is found before anything starts. A nil tlsConfig means plain text.
func newListener(ctx context.Context, name, address string, tlsConfig *tls.Config, h http.Handler, log *slog.Logger) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s on %s; free the port or change the setting", name, address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	server := &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return &listener{name: name, server: server, net: socket}, nil
}

// serve answers requests until shutdown is called, then returns nil.
func (l *listener) serve() error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.net, "", "")
	} else {
		err = l.server.Serve(l.net)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serve %s", l.name)
}

// shutdown waits for the requests in progress until ctx ends. It then closes the
// remaining connections and returns an error.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrapf(err, "requests of %s were aborted; raise --stop-limit", l.name), l.server.Close())
	}
	return nil
}

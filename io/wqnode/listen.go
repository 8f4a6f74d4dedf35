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

// Bounds of the listeners.
const (
	headerTimeout  = 2 * time.Second // headerTimeout bounds the reading of a request's header.
	idleTimeout    = 2 * time.Minute // idleTimeout closes connections that carry no request.
	maxHeaderBytes = 16 << 10        // maxHeaderBytes bounds a request's header, in bytes.
	maxStreams     = 1024            // maxStreams bounds the requests at once on one HTTP/2 connection.
)

// listener is one HTTP server with its address.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

// listen opens an address; the caller serves on it later, so that a bad address
// is found before anything starts.
func listen(ctx context.Context, name, address string, keys *tls.Config, h http.Handler, log *slog.Logger) (*listener, error) {
	open, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s on %s; free the port or change the setting", name, address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(keys != nil)
	protocols.SetUnencryptedHTTP2(keys == nil)
	server := &http.Server{
		Handler:           h,
		TLSConfig:         keys,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return &listener{name: name, server: server, net: open}, nil
}

// serve answers requests until the listener is shut down.
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

// stop lets requests in progress finish until ctx ends, then cuts the rest.
func (l *listener) stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrapf(err, "requests of %s were cut", l.name), l.server.Close())
	}
	return nil
}

// Package wqcredentials holds the keys of one VM: the server certificate for callers
// and operators, the certificate and authority of peers for mutual TLS, and the
// operators' tokens. VMs have no disks, so every key is text in a setting; a
// setting that starts with a slash names a file, such as a mounted secret, which
// is read again while the process runs. Several tokens may be set, separated by
// white space, so that a new one is accepted before the old one is withdrawn.
//
// # Usage
//
// Load the keys once, serve with their TLS configurations, and let Run replace
// them when their files change:
//
//	keys, err := wqcredentials.New(settings.Keys)
//	server.TLSConfig = keys.CallerServer()
//	go keys.Run(ctx, hangups)
//	if err := keys.CheckOperator(r.Header.Get("Authorization")); err != nil { ... }
//
// New connections use the newest keys; connections that are open keep theirs.
// Plain text needs its own setting, which is logged as a warning.
package wqcredentials

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"wisteriaquay/io/wqsetting"
)

// PeerDNSName is the DNS name that the certificate of every peer carries.
const PeerDNSName = "peer.wisteriaquay"

// reloadEvery is how often sources that are files are read again.
const reloadEvery = time.Minute

// Credentials holds the keys in force. It is safe for concurrent use.
type Credentials struct {
	settings wqsetting.Keys
	current  atomic.Pointer[material]
}

// New reads all keys and returns them, or every fault found, joined, each with
// its remedy.
func New(s wqsetting.Keys) (*Credentials, error) {
	k := &Credentials{settings: s}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	if s.PlainText {
		slog.Warn("connections are not encrypted and peers are not checked", "remedy", "unset --plain-text and set the keys")
	}
	return k, nil
}

// Reload reads all keys again. On a fault it keeps the keys in force and
// returns every fault found, joined.
func (k *Credentials) Reload() error {
	m, err := loadMaterial(k.settings, readFile, time.Now())
	if err != nil {
		return err
	}
	k.current.Store(m)
	return nil
}

// Run reads the keys again every minute and at each hang-up signal, until
// ctx ends. A fault is logged and leaves the keys in force as they are.
func (k *Credentials) Run(ctx context.Context, hangups <-chan os.Signal) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
		}
		if err := k.Reload(); err != nil {
			slog.Error("keys are not replaced", "error", err)
		}
	}
}

// CallerServerTLS returns the configuration of the listener for callers and
// operators; nil means plain text.
func (k *Credentials) CallerServerTLS() *tls.Config {
	if k.settings.PlainText {
		return nil
	}
	return k.server(func(m *material) *tls.Config { return m.caller })
}

// PeerServerTLS returns the configuration of the listener for peers, which
// refuses clients that the authority did not sign for the peers' name; nil
// means plain text.
func (k *Credentials) PeerServerTLS() *tls.Config {
	if k.settings.PlainText {
		return nil
	}
	return k.server(func(m *material) *tls.Config { return m.peerServer })
}

// PeerClientTLS returns the function that gives the configuration for a connection
// to a peer, as wqpeerpool.Settings takes it; nil means plain text.
func (k *Credentials) PeerClientTLS() func() *tls.Config {
	if k.settings.PlainText {
		return nil
	}
	return func() *tls.Config { return k.current.Load().peerClient }
}

func (k *Credentials) server(choose func(*material) *tls.Config) *tls.Config {
	newest := func(*tls.ClientHelloInfo) (*tls.Config, error) { return choose(k.current.Load()), nil }
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols(),
		GetConfigForClient: newest,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return nil, errors.New("the keys are not loaded")
		},
	}
}

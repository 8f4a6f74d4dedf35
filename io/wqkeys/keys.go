// Package wqkeys holds the keys of one VM: the server certificate for callers
// and operators, the certificate and authority of peers for mutual TLS, and the
// digests of the operators' credentials. VMs have no disks, so every key is
// text in a setting; a setting that starts with "file:" names a file, such as a
// mounted secret, which is read again while the process runs.
//
// # Usage
//
// Load the keys once, serve with their TLS configurations, and let Run replace
// them when their files change:
//
//	keys, err := wqkeys.New(settings)
//	server.TLSConfig = keys.FrontServer()
//	go keys.Run(ctx, hangups)
//	if err := keys.CheckOperator(r.Header.Get("Authorization")); err != nil { ... }
//
// New connections use the newest keys; connections that are open keep theirs.
// Plain text needs Settings.Plain, which is logged as a warning.
package wqkeys

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// DefaultPeerName is the name that a peer's certificate carries when no other
// is set.
const DefaultPeerName = "peer.wisteriaquay"

const defaultReloadEvery = time.Minute

// Settings names the sources of the keys. A source is PEM text, or "file:" and
// a path.
type Settings struct {
	Plain           bool          // Plain serves callers, operators and peers without TLS.
	FrontCert       string        // FrontCert is the source of the certificate for callers and operators.
	FrontKey        string        // FrontKey is the source of its private key.
	PeerCert        string        // PeerCert is the source of this VM's certificate towards peers.
	PeerKey         string        // PeerKey is the source of its private key.
	PeerAuthority   string        // PeerAuthority is the source of the certificates that sign peers; it signs nothing else.
	PeerName        string        // PeerName is the DNS name that peers' certificates carry; empty means DefaultPeerName.
	OperatorDigests string        // OperatorDigests is the source of the SHA-256 digests of operators' tokens, in hexadecimal, separated by commas or white space.
	ReloadEvery     time.Duration // ReloadEvery is how often files are read again; 0 means 1 min.
}

// Keys holds the keys in force. It is safe for concurrent use.
type Keys struct {
	settings Settings
	current  atomic.Pointer[material]
}

// New reads all keys and returns them, or every fault found, joined, each with
// its remedy.
func New(s Settings) (*Keys, error) {
	if s.PeerName == "" {
		s.PeerName = DefaultPeerName
	}
	if s.ReloadEvery <= 0 {
		s.ReloadEvery = defaultReloadEvery
	}
	k := &Keys{settings: s}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	if s.Plain {
		slog.Warn("connections are not encrypted and peers are not checked", "remedy", "unset plain and set keys")
	}
	return k, nil
}

// Reload reads all keys again. On a fault it keeps the keys in force and
// returns every fault found, joined.
func (k *Keys) Reload() error {
	m, err := loadMaterial(k.settings, readFile, time.Now())
	if err != nil {
		return err
	}
	k.current.Store(m)
	return nil
}

// Run reads the keys again every ReloadEvery and at each hang-up signal, until
// ctx ends. A fault is logged and leaves the keys in force as they are.
func (k *Keys) Run(ctx context.Context, hangups <-chan os.Signal) {
	t := time.NewTicker(k.settings.ReloadEvery)
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

// FrontServer returns the configuration of the listener for callers and
// operators; nil means plain text.
func (k *Keys) FrontServer() *tls.Config {
	if k.settings.Plain {
		return nil
	}
	return k.server(func(m *material) *tls.Config { return m.front })
}

// PeerServer returns the configuration of the listener for peers, which
// refuses clients that the authority did not sign for the peers' name; nil
// means plain text.
func (k *Keys) PeerServer() *tls.Config {
	if k.settings.Plain {
		return nil
	}
	return k.server(func(m *material) *tls.Config { return m.peerServer })
}

// PeerDial returns the function that gives the configuration for a connection
// to a peer, as wqdial.Settings takes it; nil means plain text.
func (k *Keys) PeerDial() func() *tls.Config {
	if k.settings.Plain {
		return nil
	}
	return func() *tls.Config { return k.current.Load().peerClient }
}

func (k *Keys) server(choose func(*material) *tls.Config) *tls.Config {
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

package wqcredentials

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqsetting"
)

const (
	filePrefix  = "/"
	maxKeyBytes = 1 << 20 // maxKeyBytes bounds one source, in bytes.
)

// material is one immutable set of keys.
type material struct {
	caller     *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
	operators  []digest
}

type loader struct {
	read   func(path string) ([]byte, error)
	now    time.Time
	faults []error
}

func loadMaterial(s wqsetting.Keys, read func(string) ([]byte, error), now time.Time) (*material, error) {
	l := &loader{read: read, now: now}
	m := &material{operators: l.digests(s.OperatorToken)}
	if !s.PlainText {
		l.addTLS(m, s)
	}
	if err := errors.Join(l.faults...); err != nil {
		return nil, err
	}
	return m, nil
}

func (l *loader) addTLS(m *material, s wqsetting.Keys) {
	caller := l.pair("caller", s.CallerCertificate, s.CallerKey)
	peer := l.pair("peer", s.PeerCertificate, s.PeerKey)
	authority := l.authority(s.PeerAuthority)
	m.caller = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols(),
		Certificates: []tls.Certificate{caller},
	}
	m.peerServer = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       protocols(),
		Certificates:     []tls.Certificate{peer},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authority,
		VerifyConnection: checkName(PeerDNSName),
	}
	m.peerClient = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{peer},
		RootCAs:      authority,
		ServerName:   PeerDNSName,
	}
}

// checkName refuses a client whose certificate does not carry the peers' name.
func checkName(name string) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if len(c.PeerCertificates) == 0 {
			return wqfault.New(wqfault.Denied, "the peer sent no certificate", "give every VM a peer certificate")
		}
		return c.PeerCertificates[0].VerifyHostname(name)
	}
}

func (l *loader) pair(label, cert, key string) tls.Certificate {
	certText := l.text(label+" certificate", cert)
	keyText := l.text(label+" key", key)
	if certText == nil || keyText == nil {
		return tls.Certificate{}
	}
	pair, err := tls.X509KeyPair(certText, keyText)
	if err != nil {
		l.fail(fmt.Sprintf("the %s certificate and key do not load: %v", label, err), "set a PEM certificate chain and its own PEM key")
		return tls.Certificate{}
	}
	l.checkTime(label, pair.Leaf)
	return pair
}

func (l *loader) checkTime(label string, leaf *x509.Certificate) {
	if l.now.After(leaf.NotAfter) {
		l.fail(fmt.Sprintf("the %s certificate expired at %s", label, leaf.NotAfter.Format(time.RFC3339)), "issue a new certificate")
	}
	if l.now.Before(leaf.NotBefore) {
		l.fail(fmt.Sprintf("the %s certificate is valid from %s on", label, leaf.NotBefore.Format(time.RFC3339)), "check the clock or issue a new certificate")
	}
}

func (l *loader) authority(source string) *x509.CertPool {
	pool := x509.NewCertPool()
	text := l.text("peer authority", source)
	if text != nil && !pool.AppendCertsFromPEM(text) {
		l.fail("the peer authority holds no certificate", "set PEM certificates of the peers' own authority")
	}
	return pool
}

// text returns the content of a source, or nil and a fault.
func (l *loader) text(label, source string) []byte {
	if source == "" {
		l.fail("the "+label+" is not set", "set it as PEM text or as the path of a file")
		return nil
	}
	return l.content(label, source)
}

func (l *loader) content(label, source string) []byte {
	if !strings.HasPrefix(source, filePrefix) {
		return []byte(source)
	}
	content, err := l.read(source)
	if err != nil {
		l.fail(fmt.Sprintf("the %s cannot be read: %v", label, err), "make the file readable for the program")
		return nil
	}
	return content
}

func (l *loader) fail(message, remedy string) {
	l.faults = append(l.faults, wqfault.New(wqfault.BadInput, message, remedy))
}

// readFile reads a file that is at most maxKeyBytes long.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxKeyBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than %d", path, info.Size(), maxKeyBytes)
	}
	return os.ReadFile(path)
}

func protocols() []string { return []string{"h2", "http/1.1"} }

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
	filePrefix     = "/"
	maxSourceBytes = 1 << 20 // maxSourceBytes is the maximal size of a credential file, in bytes.
)

// credentialSet is the immutable result of one load. The TLS configurations are nil
// for plain text.
type credentialSet struct {
	callerServer   *tls.Config
	peerServer     *tls.Config
	peerClient     *tls.Config
	operatorTokens []tokenDigest
}

type loader struct {
	readFile func(path string) ([]byte, error)
	now      time.Time
	faults   []error
}

func loadCredentialSet(s wqsetting.Keys, read func(string) ([]byte, error), now time.Time) (*credentialSet, error) {
	l := &loader{readFile: read, now: now}
	m := &credentialSet{operatorTokens: l.tokenDigests(s.OperatorToken)}
	if !s.PlainText {
		l.loadTLS(m, s)
	}
	if err := errors.Join(l.faults...); err != nil {
		return nil, err
	}
	return m, nil
}

func (l *loader) loadTLS(m *credentialSet, s wqsetting.Keys) {
	caller := l.keyPair("caller", s.CallerCertificate, s.CallerKey)
	peer := l.keyPair("peer", s.PeerCertificate, s.PeerKey)
	authority := l.certPool(s.PeerAuthority)
	m.callerServer = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   alpnProtocols(),
		Certificates: []tls.Certificate{caller},
	}
	m.peerServer = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       alpnProtocols(),
		Certificates:     []tls.Certificate{peer},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authority,
		VerifyConnection: verifyPeerName(PeerDNSName),
	}
	m.peerClient = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{peer},
		RootCAs:      authority,
		ServerName:   PeerDNSName,
	}
}

// verifyPeerName returns a check that the client's certificate is valid for name.
func verifyPeerName(name string) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if len(c.PeerCertificates) == 0 {
			return wqfault.New(wqfault.Denied, "the peer sent no certificate", "give every VM a peer certificate")
		}
		return c.PeerCertificates[0].VerifyHostname(name)
	}
}

func (l *loader) keyPair(label, cert, key string) tls.Certificate {
	certText := l.requireSource(label+" certificate", cert)
	keyText := l.requireSource(label+" key", key)
	if certText == nil || keyText == nil {
		return tls.Certificate{}
	}
	pair, err := tls.X509KeyPair(certText, keyText)
	if err != nil {
		l.addFault(fmt.Sprintf("the %s certificate and key are not a valid pair: %v", label, err), "set a PEM certificate chain and its own PEM key")
		return tls.Certificate{}
	}
	l.checkValidity(label, pair.Leaf)
	return pair
}

func (l *loader) checkValidity(label string, leaf *x509.Certificate) {
	if l.now.After(leaf.NotAfter) {
		l.addFault(fmt.Sprintf("the %s certificate expired at %s", label, leaf.NotAfter.Format(time.RFC3339)), "issue a new certificate")
	}
	if l.now.Before(leaf.NotBefore) {
		l.addFault(fmt.Sprintf("the %s certificate is valid from %s on", label, leaf.NotBefore.Format(time.RFC3339)), "check the clock or issue a new certificate")
	}
}

func (l *loader) certPool(source string) *x509.CertPool {
	pool := x509.NewCertPool()
	text := l.requireSource("peer authority", source)
	if text != nil && !pool.AppendCertsFromPEM(text) {
		l.addFault("the peer authority has no PEM certificate", "set the PEM certificate of the authority that signs peers")
	}
	return pool
}

// requireSource returns the content of a setting. When it is empty or can't be read,
// requireSource adds a fault and returns nil.
func (l *loader) requireSource(label, source string) []byte {
	if source == "" {
		l.addFault("the "+label+" is not set", "set it as PEM text or as the path of a file")
		return nil
	}
	return l.readSource(label, source)
}

func (l *loader) readSource(label, source string) []byte {
	if !strings.HasPrefix(source, filePrefix) {
		return []byte(source)
	}
	content, err := l.readFile(source)
	if err != nil {
		l.addFault(fmt.Sprintf("the %s cannot be read: %v", label, err), "make the file readable for the process")
		return nil
	}
	return content
}

func (l *loader) addFault(message, remedy string) {
	l.faults = append(l.faults, wqfault.New(wqfault.BadInput, message, remedy))
}

// readFile returns the content of a file, or an error when it is longer than
// maxSourceBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSourceBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than the maximum of %d", path, info.Size(), maxSourceBytes)
	}
	return os.ReadFile(path)
}

func alpnProtocols() []string { return []string{"h2", "http/1.1"} }

package wqcredentials

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqsetting"
)

const (
	tokenOne = "one-token-of-operators"
	tokenTwo = "two-token-of-operators"
)

type testAuthority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM string
}

func newTestAuthority(t *testing.T) testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return testAuthority{cert, key, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))}
}

func (a testAuthority) issue(t *testing.T, name string, notAfter time.Time) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	cert := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return cert, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
}

func (a testAuthority) credentialSettings(t *testing.T, peerName string) wqsetting.Keys {
	t.Helper()
	s := wqsetting.Keys{PeerAuthority: a.certPEM, OperatorToken: tokenOne}
	s.CallerCertificate, s.CallerKey = a.issue(t, "caller", time.Now().Add(time.Hour))
	s.PeerCertificate, s.PeerKey = a.issue(t, peerName, time.Now().Add(time.Hour))
	return s
}

func newCredentials(t *testing.T, s wqsetting.Keys) *Credentials {
	t.Helper()
	k, err := New(s)
	must.NoError(t, err)
	return k
}

// handshake performs a TLS handshake over loopback and returns the joined errors of
// both sides.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			_ = c.Close()
		}
		done <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, clientErr := (&tls.Dialer{Config: client}).DialContext(ctx, "tcp", l.Addr().String())
	if clientErr == nil {
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	return errors.Join(<-done, clientErr)
}

func TestPeersOfSameAuthorityConnect(t *testing.T) {
	a := newTestAuthority(t)
	server, client := newCredentials(t, a.credentialSettings(t, PeerDNSName)), newCredentials(t, a.credentialSettings(t, PeerDNSName))
	must.NoError(t, handshake(t, server.PeerServerTLS(), client.PeerClientTLS()()))
}

func TestPeerServerRefusesUntrustedClients(t *testing.T) {
	a, other := newTestAuthority(t), newTestAuthority(t)
	server := newCredentials(t, a.credentialSettings(t, PeerDNSName)).PeerServerTLS()
	wrongAuthority := newCredentials(t, other.credentialSettings(t, PeerDNSName)).PeerClientTLS()()
	wrongAuthority.RootCAs.AddCert(a.cert)
	wrongName := newCredentials(t, a.credentialSettings(t, "front.wisteriaquay")).PeerClientTLS()()
	noCertificate := newCredentials(t, a.credentialSettings(t, PeerDNSName)).PeerClientTLS()().Clone()
	noCertificate.Certificates = nil
	expired := newCredentials(t, a.credentialSettings(t, PeerDNSName)).PeerClientTLS()().Clone()
	cert, key := a.issue(t, PeerDNSName, time.Now().Add(-time.Hour))
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	must.NoError(t, err)
	expired.Certificates = []tls.Certificate{pair}
	for name, client := range map[string]*tls.Config{
		"wrong authority": wrongAuthority, "wrong name": wrongName,
		"no certificate": noCertificate, "expired": expired,
	} {
		t.Run(name, func(t *testing.T) { test.Error(t, handshake(t, server, client)) })
	}
}

func TestPeerClientRefusesServerOfOtherAuthority(t *testing.T) {
	a, other := newTestAuthority(t), newTestAuthority(t)
	untrusted := newCredentials(t, other.credentialSettings(t, PeerDNSName)).PeerServerTLS()
	must.Error(t, handshake(t, untrusted, newCredentials(t, a.credentialSettings(t, PeerDNSName)).PeerClientTLS()()))
}

func TestNewListsEveryFault(t *testing.T) {
	a := newTestAuthority(t)
	s := a.credentialSettings(t, PeerDNSName)
	s.CallerCertificate, s.CallerKey = a.issue(t, "caller", time.Now().Add(-time.Minute))
	s.PeerKey = ""
	s.PeerAuthority = filepath.Join(t.TempDir(), "absent")
	s.OperatorToken = "12"
	_, err := New(s)
	must.ErrorContains(t, err, "caller certificate expired")
	must.ErrorContains(t, err, "peer key is not set")
	must.ErrorContains(t, err, "peer authority cannot be read")
	must.ErrorContains(t, err, "operator token 1")
}

func TestReloadReplacesFileKeys(t *testing.T) {
	a, next := newTestAuthority(t), newTestAuthority(t)
	s := a.credentialSettings(t, PeerDNSName)
	path := filepath.Join(t.TempDir(), "authority.pem")
	must.NoError(t, os.WriteFile(path, []byte(a.certPEM), 0o600))
	s.PeerAuthority = path
	k := newCredentials(t, s)
	client := newCredentials(t, next.credentialSettings(t, PeerDNSName)).PeerClientTLS()()
	client.RootCAs.AddCert(a.cert)
	server := k.PeerServerTLS()
	must.Error(t, handshake(t, server, client))
	must.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))
	must.Error(t, k.Reload())
	must.NoError(t, os.WriteFile(path, []byte(a.certPEM+next.certPEM), 0o600))
	must.NoError(t, k.Reload())
	must.NoError(t, handshake(t, server, client))
}

func TestRunReloadsOnSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "digests")
	must.NoError(t, os.WriteFile(path, []byte(tokenOne), 0o600))
	k := newCredentials(t, wqsetting.Keys{PlainText: true, OperatorToken: path})
	must.NoError(t, k.AuthorizeOperator("Bearer "+tokenOne))
	must.NoError(t, os.WriteFile(path, []byte(tokenTwo), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	reloadSignals, done := make(chan os.Signal), make(chan struct{})
	go func() { k.Run(ctx, reloadSignals); close(done) }()
	reloadSignals <- os.Interrupt
	reloadSignals <- os.Interrupt
	must.NoError(t, k.AuthorizeOperator("Bearer "+tokenTwo))
	must.Error(t, k.AuthorizeOperator("Bearer "+tokenOne))
	cancel()
	<-done
}

func TestAuthorizeOperatorRefusesUnknownTokens(t *testing.T) {
	k := newCredentials(t, wqsetting.Keys{PlainText: true, OperatorToken: tokenOne + "\n" + tokenTwo})
	must.NoError(t, k.AuthorizeOperator("Bearer "+tokenTwo))
	for _, header := range []string{"", "Bearer ", "Bearer " + tokenOne + "x", "Basic " + tokenOne, tokenOne} {
		test.Eq(t, wqfault.Denied, wqfault.KindOf(k.AuthorizeOperator(header)), test.Sprint(header))
	}
	_, err := New(wqsetting.Keys{PlainText: true})
	test.ErrorContains(t, err, "operator token is not set")
}

package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"wisteriaquay/core/wqfault"
)

// connectionOptions are the address of the tier and the authority to trust.
type connectionOptions struct {
	EntryURL      string `long:"entry" env:"WISTERIAQUAY_ENTRY" default:"http://127.0.0.1:7400" description:"URL of any entry VM or of the balancer"`
	AuthorityFile string `long:"authority" env:"WISTERIAQUAY_AUTHORITY" description:"PEM file of the authority that signed the certificate of the caller listener; empty trusts the system's authorities"`
}

// callerOptions are the options of commands that call an entry VM as a caller.
type callerOptions struct {
	connectionOptions

	Timeout time.Duration `long:"timeout" env:"WISTERIAQUAY_TIMEOUT" default:"2s" description:"longest wait for the answer"`
}

// clientTimeoutMargin is added to the caller's timeout on the client's side, so
// that the tier's own timeout error still arrives.
const clientTimeoutMargin = 500 * time.Millisecond

// newHTTPClient returns an HTTP client that trusts the given authority. It returns
// a wqfault.BadInput fault when the authority's file is unusable.
func (o *connectionOptions) newHTTPClient(timeout time.Duration) (*http.Client, error) {
	c := &http.Client{Timeout: timeout + clientTimeoutMargin}
	if o.AuthorityFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(o.AuthorityFile)
	if err != nil {
		return nil, wqfault.New(wqfault.BadInput, "--authority: "+err.Error(), "name a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, wqfault.New(wqfault.BadInput, "--authority holds no certificate", "name a file of PEM certificates")
	}
	c.Transport = &http.Transport{
		TLSClientConfig:   &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots},
		ForceAttemptHTTP2: true,
	}
	return c, nil
}

package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"wisteriaquay/core/wqfault"
)

// reachOptions say where the tier is and whom to trust.
type reachOptions struct {
	Entry     string `long:"entry" env:"WISTERIAQUAY_ENTRY" default:"http://127.0.0.1:7400" description:"URL of any entry VM or of the balancer"`
	Authority string `long:"authority" env:"WISTERIAQUAY_AUTHORITY" description:"PEM file of the authority that signs the callers' certificate; empty trusts the system's"`
}

// entryOptions say how to reach an entry VM as a caller.
type entryOptions struct {
	reachOptions

	Timeout time.Duration `long:"timeout" env:"WISTERIAQUAY_TIMEOUT" default:"2s" description:"longest wait for the answer"`
}

// slack is how much longer than the caller's timeout the connection waits, so
// that the tier's own refusal arrives.
const slack = 500 * time.Millisecond

// client returns an HTTP client that trusts the chosen authority.
func (o *reachOptions) client(timeout time.Duration) (*http.Client, error) {
	c := &http.Client{Timeout: timeout + slack}
	if o.Authority == "" {
		return c, nil
	}
	text, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, wqfault.New(wqfault.BadInput, "--authority: "+err.Error(), "name a readable PEM file")
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(text) {
		return nil, wqfault.New(wqfault.BadInput, "--authority holds no certificate", "name a file of PEM certificates")
	}
	c.Transport = &http.Transport{
		TLSClientConfig:   &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: trusted},
		ForceAttemptHTTP2: true,
	}
	return c, nil
}

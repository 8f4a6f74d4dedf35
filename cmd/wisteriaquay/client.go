package main

import (
	"net/http"
	"time"
)

// entryOptions say how to reach an entry VM as a caller.
type entryOptions struct {
	Entry   string        `long:"entry" env:"WISTERIAQUAY_ENTRY" default:"http://127.0.0.1:7400" description:"URL of any entry VM or of the balancer"`
	Timeout time.Duration `long:"timeout" env:"WISTERIAQUAY_TIMEOUT" default:"2s" description:"longest wait for the answer"`
}

// slack is how much longer than the caller's timeout the connection waits, so
// that the tier's own refusal arrives.
const slack = 500 * time.Millisecond

func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout + slack}
}

package main

import (
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqpb"
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

// asFault turns an error of the connection into a fault with the remedy that
// the entry VM gave, if it gave one.
func asFault(err error) error {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return wqfault.New(wqfault.Unavailable, err.Error(), "check --entry and try again")
	}
	for _, d := range failed.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wqpb.Refusal); ok {
			return wqfault.New(wqfault.Kind(r.GetKind()), r.GetMessage(), r.GetRemedy())
		}
	}
	return wqfault.New(wqfault.Unavailable, failed.Error(), "check --entry and try again")
}

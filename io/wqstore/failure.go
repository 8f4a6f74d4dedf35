package wqstore

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
)

// callError classifies a call without a usable reply: wqfault.Unavailable for
// reads and for calls that were never sent, which changed nothing, and
// wqfault.OutcomeUnknown for others.
func callError(method string, err error) error {
	if method == http.MethodGet || isDialError(err) {
		fault := wqfault.New(wqfault.Unavailable, "the store did not answer", "try again later")
		return eris.Wrap(fault, err.Error())
	}
	return eris.Wrap(outcomeUnknown("the store's reply is missing"), err.Error())
}

// isDialError reports whether the connection failed, so that nothing was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func outcomeUnknown(message string) error {
	return wqfault.New(wqfault.OutcomeUnknown, message+"; the change may have taken effect", "read the key before trying again")
}

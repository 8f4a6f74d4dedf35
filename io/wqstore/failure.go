package wqstore

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
)

// failure classifies a call that got no usable reply. Reads and calls that
// never reached the store changed nothing; others may have.
func failure(method string, err error) error {
	if method == http.MethodGet || refused(err) {
		fault := wqfault.New(wqfault.Unavailable, "the store did not answer", "try again later")
		return eris.Wrap(fault, err.Error())
	}
	return eris.Wrap(unknownEffect("the store's reply did not arrive"), err.Error())
}

// refused reports whether no connection was made, so that nothing was sent.
func refused(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func unknownEffect(message string) error {
	return wqfault.New(wqfault.OutcomeUnknown, message+"; the change may have taken effect", "read the key before trying again")
}

// Package wqtwirperror converts faults to Twirp errors and back, so that the kind
// and the remedy of a fault reach the calling VM.
//
// # Usage
//
// A server returns Encode(err), and a client decodes the error of a call:
//
//	return nil, wqtwirperror.Encode(err)
//	reply, err := client.ForwardWrite(ctx, request)
//	err = wqtwirperror.Decode(err)
package wqtwirperror

import (
	"errors"

	"github.com/twitchtv/twirp"

	"wisteriaquay/core/wqfault"
)

const (
	kindKey   = "kind"
	remedyKey = "remedy"
)

// Encode returns the Twirp error for the fault in err. An error without a fault is
// returned unchanged.
func Encode(err error) error {
	var f *wqfault.Fault
	if !errors.As(err, &f) {
		return err
	}
	return twirp.NewError(errorCode(f.Kind), f.Message).
		WithMeta(kindKey, string(f.Kind)).
		WithMeta(remedyKey, f.Remedy)
}

// Decode returns the fault that Encode put into a Twirp error. Any other error is
// returned unchanged.
func Decode(err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Meta(kindKey) == "" {
		return err
	}
	return wqfault.New(wqfault.Kind(twirpErr.Meta(kindKey)), twirpErr.Msg(), twirpErr.Meta(remedyKey))
}

func errorCode(k wqfault.Kind) twirp.ErrorCode {
	switch k {
	case wqfault.BadInput:
		return twirp.InvalidArgument
	case wqfault.UnknownName:
		return twirp.NotFound
	case wqfault.Conflict:
		return twirp.FailedPrecondition
	case wqfault.Denied:
		return twirp.PermissionDenied
	case wqfault.Overloaded:
		return twirp.ResourceExhausted
	case wqfault.Expired:
		return twirp.DeadlineExceeded
	default:
		return twirp.Unavailable
	}
}

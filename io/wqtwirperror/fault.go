// Package wqtwirperror carries faults over the unary calls between VMs, so that the
// kind and the remedy reach the other side.
//
// # Usage
//
// A server returns Encode(err); a client passes what it got through Decode:
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

// Encode returns the Twirp error for a fault, and any other error as it is.
func Encode(err error) error {
	var f *wqfault.Fault
	if !errors.As(err, &f) {
		return err
	}
	return twirp.NewError(code(f.Kind), f.Message).
		WithMeta(kindKey, string(f.Kind)).
		WithMeta(remedyKey, f.Remedy)
}

// Decode returns the fault that a Twirp error carries, and any other error as
// it is.
func Decode(err error) error {
	var failed twirp.Error
	if !errors.As(err, &failed) || failed.Meta(kindKey) == "" {
		return err
	}
	return wqfault.New(wqfault.Kind(failed.Meta(kindKey)), failed.Msg(), failed.Meta(remedyKey))
}

func code(k wqfault.Kind) twirp.ErrorCode {
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

// Package wqconnecterror converts faults to connect errors and back. The kind, the
// message and the remedy are sent as a detail of the connect error.
//
// # Usage
//
// A handler returns Encode(err); a client gets the fault back with Decode(err):
//
//	return nil, wqconnecterror.Encode(err)
//	fault := wqconnecterror.Decode(err)
package wqconnecterror

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqpb"
)

// retryAfterMillis is the retry delay sent to callers with an Overloaded fault.
const retryAfterMillis = 200

// Encode returns a connect error with a wqpb.Refusal detail for err. It returns nil
// for nil. An error that is not a fault gets the kind Unavailable if it is that of a
// context, else Broken.
func Encode(err error) error {
	if err == nil {
		return nil
	}
	fault := asFault(err)
	connectErr := connect.NewError(connectCode(fault.Kind), fault)
	r := &wqpb.Refusal{Kind: string(fault.Kind), Message: fault.Message, Remedy: fault.Remedy, NotRun: fault.Kind.NotRun()}
	if fault.Kind == wqfault.Overloaded {
		r.RetryAfterMillis = retryAfterMillis
	}
	if detail, err := connect.NewErrorDetail(r); err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}

// Decode returns the fault in the details of a connect error. For an error without
// one it returns a fault of kind Unavailable.
func Decode(err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return wqfault.New(wqfault.Unavailable, err.Error(), "check the address and try again")
	}
	for _, d := range connectErr.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wqpb.Refusal); ok {
			return wqfault.New(wqfault.Kind(r.GetKind()), r.GetMessage(), r.GetRemedy())
		}
	}
	return wqfault.New(wqfault.Unavailable, connectErr.Error(), "check the address and try again")
}

func asFault(err error) *wqfault.Fault {
	var f *wqfault.Fault
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &wqfault.Fault{Kind: wqfault.Unavailable, Message: "the request was cancelled or its deadline passed", Remedy: "allow more time"}
	}
	return &wqfault.Fault{Kind: wqfault.Broken, Message: err.Error(), Remedy: "report this error with the log of the VM"}
}

func connectCode(k wqfault.Kind) connect.Code {
	switch k {
	case wqfault.BadInput:
		return connect.CodeInvalidArgument
	case wqfault.UnknownName:
		return connect.CodeNotFound
	case wqfault.Overloaded:
		return connect.CodeResourceExhausted
	case wqfault.Expired:
		return connect.CodeDeadlineExceeded
	case wqfault.Leaving, wqfault.NotReady, wqfault.Unavailable, wqfault.Incomplete:
		return connect.CodeUnavailable
	case wqfault.Conflict:
		return connect.CodeAborted
	case wqfault.Denied:
		return connect.CodeUnauthenticated
	case wqfault.OutcomeUnknown:
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

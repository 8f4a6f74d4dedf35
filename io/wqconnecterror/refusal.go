// Package wqconnecterror carries faults over connect: the kind, the message and the
// remedy travel as a detail of the error.
//
// # Usage
//
// A handler returns To(err); a client reads the fault back with From(err):
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

// retryAfterMillis is the wait that a refusal for load asks for, in
// milliseconds.
const retryAfterMillis = 200

// Encode returns err as a connect error with a wqpb.Refusal detail, nil for nil.
func Encode(err error) error {
	if err == nil {
		return nil
	}
	f := fault(err)
	coded := connect.NewError(codeOf(f.Kind), f)
	r := &wqpb.Refusal{Kind: string(f.Kind), Message: f.Message, Remedy: f.Remedy, NotRun: f.Kind.NotRun()}
	if f.Kind == wqfault.Overloaded {
		r.RetryAfterMillis = retryAfterMillis
	}
	if detail, err := connect.NewErrorDetail(r); err == nil {
		coded.AddDetail(detail)
	}
	return coded
}

// Decode returns the fault that a connect error carries. Without one the kind is
// wqfault.Unavailable.
func Decode(err error) error {
	var coded *connect.Error
	if !errors.As(err, &coded) {
		return wqfault.New(wqfault.Unavailable, err.Error(), "check the address and try again")
	}
	for _, d := range coded.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wqpb.Refusal); ok {
			return wqfault.New(wqfault.Kind(r.GetKind()), r.GetMessage(), r.GetRemedy())
		}
	}
	return wqfault.New(wqfault.Unavailable, coded.Error(), "check the address and try again")
}

func fault(err error) *wqfault.Fault {
	var f *wqfault.Fault
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &wqfault.Fault{Kind: wqfault.Unavailable, Message: "the request ended early", Remedy: "allow more time"}
	}
	return &wqfault.Fault{Kind: wqfault.Broken, Message: err.Error(), Remedy: "report this with the log of the VM"}
}

func codeOf(k wqfault.Kind) connect.Code {
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

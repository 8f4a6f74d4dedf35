package wqtarget

import (
	"errors"
	"fmt"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqobservation"
)

// Failure is the error of a request without a usable reply.
type Failure struct {
	Status    wqobservation.Status
	MaybeSent bool // A byte of the request may have reached the searcher.
	Refused   bool // The searcher itself refused the request; Status says why.
	Withdrawn bool // Nothing was sent, because MaySend of the request was false.
	Fault     *wqfault.Fault
}

// Error returns the fault's message and remedy.
func (f *Failure) Error() string { return f.Fault.Error() }

// Unwrap returns the Fault, so that wqfault.KindOf works.
func (f *Failure) Unwrap() error { return f.Fault }

// NotRun reports whether the searcher certainly did not run the request.
func (f *Failure) NotRun() bool {
	return f.Refused || !f.MaybeSent
}

// FailureOf returns the first Failure in the chain of err. For an error without one
// it returns the worst case: Broken and possibly sent.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return newFailure(wqobservation.Broken, true, err.Error())
}

func newFailure(status wqobservation.Status, sent bool, message string) *Failure {
	kind, remedy := kindAndRemedy(status, sent)
	return &Failure{
		Status:    status,
		MaybeSent: sent,
		Fault:     &wqfault.Fault{Kind: kind, Message: message, Remedy: remedy},
	}
}

func newRefusal(searcherID string, r Refusal) *Failure {
	f := newFailure(r.Status(), true, fmt.Sprintf("searcher %s refused with %q", searcherID, r))
	f.Refused = true
	return f
}

func kindAndRemedy(status wqobservation.Status, sent bool) (wqfault.Kind, string) {
	switch status {
	case wqobservation.Shed, wqobservation.NotRun:
		return wqfault.Overloaded, "send the request to another replica or later"
	case wqobservation.Draining:
		return wqfault.Leaving, "send the request to another replica"
	case wqobservation.Expired:
		if !sent {
			return wqfault.Expired, "allow more time"
		}
		return wqfault.OutcomeUnknown, "allow more time; do not repeat a write-like request"
	case wqobservation.Unreachable:
		return wqfault.Unavailable, "check that the searcher runs and accepts connections; nothing was sent"
	}
	return wqfault.Broken, "check the searcher's version and the network; do not repeat a write-like request"
}

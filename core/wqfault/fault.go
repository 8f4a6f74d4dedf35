// Package wqfault defines the error type of all libraries. Front ends pass it on
// to callers and operators.
//
// # Usage
//
// A library returns a Fault with a kind, for programs, and a remedy, for people:
//
//	return wqfault.New(wqfault.BadInput, "the timeout is 0 ms", "set timeout_millis to 1 or more")
//
// A front end maps the kind, which KindOf returns, to its status codes. A caller
// may rely on the request not having run only if Kind.NotRun returns true.
package wqfault

import (
	"errors"
	"fmt"
)

// Kind classifies a Fault for programs.
type Kind string

// The kinds of fault.
const (
	BadInput       Kind = "bad_input"       // BadInput means that the request violates a documented limit or format; nothing ran.
	UnknownName    Kind = "unknown_name"    // UnknownName means that a named tenant, service, ticket or zone does not exist; nothing ran.
	Overloaded     Kind = "overloaded"      // Overloaded means that admission control refused the request; nothing ran.
	Expired        Kind = "expired"         // Expired means that the deadline passed before anything was sent; nothing ran.
	Leaving        Kind = "leaving"         // Leaving means that this VM is stopping or its zone is out; nothing ran.
	NotReady       Kind = "not_ready"       // NotReady means that this VM has no configuration yet; nothing ran.
	Incomplete     Kind = "incomplete"      // Incomplete means that the answer has less coverage than the caller requires.
	Conflict       Kind = "conflict"        // Conflict means that an earlier request excludes this one, such as another operator's release note; this one did not run.
	Unavailable    Kind = "unavailable"     // Unavailable means that a service of the platform or a peer did not answer.
	OutcomeUnknown Kind = "outcome_unknown" // OutcomeUnknown means that a write-like request may or may not have run.
	Denied         Kind = "denied"          // Denied means that the credential is missing or wrong; nothing ran.
	Broken         Kind = "broken"          // Broken means that a peer or target violated the protocol.
)

// NotRun reports whether a fault of this kind proves that nothing ran.
func (k Kind) NotRun() bool {
	switch k {
	case BadInput, UnknownName, Overloaded, Expired, Leaving, NotReady, Denied, Conflict:
		return true
	}
	return false
}

// Fault is an error with a kind, a message and a remedy for the person who
// reads it.
type Fault struct {
	Kind    Kind
	Message string
	Remedy  string
}

// New returns a Fault as an error.
func New(kind Kind, message, remedy string) error {
	return &Fault{Kind: kind, Message: message, Remedy: remedy}
}

// Error returns the kind, the message and the remedy.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s; %s", f.Kind, f.Message, f.Remedy)
}

// KindOf returns the kind of the first Fault in the chain of err, or Broken
// when there is none.
func KindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.Kind
	}
	return Broken
}

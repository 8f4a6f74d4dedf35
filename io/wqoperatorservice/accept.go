package wqoperatorservice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqconfigstore"
)

const (
	maxAttempts   = 12                    // maxAttempts bounds the read-and-swap attempts for one note.
	minRetryDelay = 30 * time.Millisecond // minRetryDelay is the minimum delay between two attempts; jitter can double it.
)

// acceptor applies one note to the stored configuration with compare-and-swap.
type acceptor[S wqconfigstore.KeyValueStore] struct {
	store          *wqconfigstore.Store[S]
	note           *wqnote.Note
	minRevision    uint64 // minRevision is a revision that is in force; a read of a lower one is stale.
	outcomeUnknown bool   // outcomeUnknown is true once the reply to a swap was missing, so that it may have taken effect.
	linearizable   bool   // linearizable is true when the next read must not be stale.
}

// acceptance is the result of an accepted note.
type acceptance struct {
	value           wqconfigstore.Value // value is the configuration that includes the note.
	revision        uint64              // revision is the configuration's revision that the note created.
	alreadyAccepted bool                // alreadyAccepted is true when an earlier call had the note accepted.
}

// attemptResult is the result of one attempt: accepted or err is set.
type attemptResult struct {
	accepted *acceptance
	err      error
	retry    bool // retry is true when another attempt may succeed.
}

// accept makes up to maxAttempts attempts to store the configuration with the
// note. An error of kind wqfault.OutcomeUnknown means that the note may have
// been accepted.
func (a *acceptor[S]) accept(ctx context.Context) (*acceptance, error) {
	lastErr := error(nil)
	for range maxAttempts {
		r := a.attempt(ctx)
		if !r.retry {
			return r.accepted, r.err
		}
		lastErr = r.err
		select {
		case <-time.After(minRetryDelay + rand.N(minRetryDelay)):
		case <-ctx.Done():
			return nil, a.unavailableError(ctx.Err())
		}
	}
	return nil, a.unavailableError(lastErr)
}

// attempt reads the configuration and tries one swap. A note that doesn't apply
// is rejected only after a linearizable read.
func (a *acceptor[S]) attempt(ctx context.Context) attemptResult {
	linearizable := a.linearizable
	v, err := a.read(ctx)
	if err != nil {
		return a.classifyError(err)
	}
	if record, found := a.findAccepted(v); found {
		accepted := acceptance{value: v, revision: record.Revision, alreadyAccepted: !a.outcomeUnknown}
		return attemptResult{accepted: &accepted}
	}
	if v.History.Revision() < a.minRevision {
		a.linearizable = true
		return attemptResult{retry: true, err: wqfault.New(wqfault.Unavailable, fmt.Sprintf("the store returned the stale revision %d; %d is in force", v.History.Revision(), a.minRevision), "")}
	}
	next, err := v.History.ApplyNote(a.note)
	if err != nil && linearizable {
		return attemptResult{err: err}
	}
	if err != nil {
		a.linearizable = true
		return a.attempt(ctx)
	}
	stored, err := a.store.CompareAndSwap(ctx, next, v.Revision)
	if err != nil {
		return a.classifyError(err)
	}
	return attemptResult{accepted: &acceptance{value: stored, revision: next.Revision()}}
}

func (a *acceptor[S]) read(ctx context.Context) (wqconfigstore.Value, error) {
	if a.linearizable {
		return a.store.ReadLinearizable(ctx)
	}
	return a.store.Read(ctx)
}

// findAccepted returns the stored record of this note; the id and the digest have
// to match. Only the most recent notes are recorded.
func (a *acceptor[S]) findAccepted(v wqconfigstore.Value) (wqtopology.AcceptedNote, bool) {
	if v.History == nil {
		return wqtopology.AcceptedNote{}, false
	}
	record, found := wqnote.FindAccepted(a.note.ID, v.History.Topology)
	return record, found && record.Digest == a.note.Digest()
}

// classifyError decides whether an attempt with a failed call is retried.
func (a *acceptor[S]) classifyError(err error) attemptResult {
	switch wqfault.KindOf(err) {
	case wqfault.Conflict:
		return attemptResult{retry: true, err: err}
	case wqfault.OutcomeUnknown:
		a.outcomeUnknown = true
		return attemptResult{retry: true, err: err}
	case wqfault.Unavailable:
		if a.outcomeUnknown {
			return attemptResult{retry: true, err: err}
		}
		return attemptResult{err: a.unavailableError(err)}
	}
	return attemptResult{err: err}
}

// unavailableError returns a wqfault.OutcomeUnknown when a swap may have taken
// effect, and a wqfault.Unavailable otherwise.
func (a *acceptor[S]) unavailableError(err error) error {
	remedy := fmt.Sprintf("publish the note again with the same id %s once the store answers; it is never applied twice", a.note.ID)
	if a.outcomeUnknown {
		return wqfault.New(wqfault.OutcomeUnknown, fmt.Sprintf("the note may have been accepted; the reply of the configuration store is missing: %v", err), remedy)
	}
	return wqfault.New(wqfault.Unavailable, fmt.Sprintf("nothing was accepted; the configuration store is unavailable: %v", err), remedy)
}

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
	maxTries = 12                    // maxTries bounds the swaps and reads for one note.
	retryGap = 30 * time.Millisecond // retryGap is the shortest time between two tries.
)

// try is the attempt to get one note accepted.
type try[S wqconfigstore.KeyValueStore] struct {
	head    *wqconfigstore.Store[S]
	note    *wqnote.Note
	floor   uint64 // floor is a revision that is known to be accepted; lower reads are from the past.
	unknown bool   // unknown is true once a swap may have taken effect without a reply.
	prove   bool   // prove is true when the next read must be proved to be the newest.
}

// acceptance is a note that is accepted.
type acceptance struct {
	value    wqconfigstore.Value
	revision uint64 // revision is the one that the note made.
	before   bool   // before is true when it had been accepted before this call.
}

// verdict is what one round came to.
type verdict struct {
	made  *acceptance
	err   error
	again bool // again asks for another round.
}

// accept swaps the note into the head, or returns why it is refused. The
// refusal says whether anything may have been accepted.
func (t *try[S]) accept(ctx context.Context) (*acceptance, error) {
	last := error(nil)
	for range maxTries {
		v := t.round(ctx)
		if !v.again {
			return v.made, v.err
		}
		last = v.err
		select {
		case <-time.After(retryGap + rand.N(retryGap)):
		case <-ctx.Done():
			return nil, t.unavailable(ctx.Err())
		}
	}
	return nil, t.unavailable(last)
}

// round reads the head and tries one swap.
func (t *try[S]) round(ctx context.Context) verdict {
	proved := t.prove
	v, err := t.read(ctx)
	if err != nil {
		return t.failed(err)
	}
	if a, found := t.find(v); found {
		made := acceptance{value: v, revision: a.Revision, before: !t.unknown}
		return verdict{made: &made}
	}
	if v.History.Revision() < t.floor {
		t.prove = true
		return verdict{again: true, err: wqfault.New(wqfault.Unavailable, fmt.Sprintf("the store answers with revision %d, but %d is in force", v.History.Revision(), t.floor), "")}
	}
	next, err := v.History.ApplyNote(t.note)
	if err != nil && proved {
		return verdict{err: err}
	}
	if err != nil {
		t.prove = true
		return t.round(ctx)
	}
	made, err := t.head.CompareAndSwap(ctx, next, v.Revision)
	if err != nil {
		return t.failed(err)
	}
	return verdict{made: &acceptance{value: made, revision: next.Revision()}}
}

func (t *try[S]) read(ctx context.Context) (wqconfigstore.Value, error) {
	if t.prove {
		return t.head.ReadLinearizable(ctx)
	}
	return t.head.Read(ctx)
}

// find returns the record of this very note, if the head remembers it.
func (t *try[S]) find(v wqconfigstore.Value) (wqtopology.AcceptedNote, bool) {
	if v.History == nil {
		return wqtopology.AcceptedNote{}, false
	}
	a, found := wqnote.FindAccepted(t.note.ID, v.History.Topology)
	return a, found && a.Digest == t.note.Digest()
}

// failed decides whether a failed call is worth another round.
func (t *try[S]) failed(err error) verdict {
	switch wqfault.KindOf(err) {
	case wqfault.Conflict:
		return verdict{again: true, err: err}
	case wqfault.OutcomeUnknown:
		t.unknown = true
		return verdict{again: true, err: err}
	case wqfault.Unavailable:
		if t.unknown {
			return verdict{again: true, err: err}
		}
		return verdict{err: t.unavailable(err)}
	}
	return verdict{err: err}
}

// unavailable says that the store can't be used now, and what that means for
// the note.
func (t *try[S]) unavailable(err error) error {
	remedy := fmt.Sprintf("publish the note again with the same id %s once the store answers; it is never applied twice", t.note.ID)
	if t.unknown {
		return wqfault.New(wqfault.OutcomeUnknown, fmt.Sprintf("the store did not say whether it accepted the note: %v", err), remedy)
	}
	return wqfault.New(wqfault.Unavailable, fmt.Sprintf("nothing was accepted, the configuration store does not serve: %v", err), remedy)
}

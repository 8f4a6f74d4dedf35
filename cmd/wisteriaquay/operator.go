package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

// operatorOptions say how to reach an entry VM as an operator.
type operatorOptions struct {
	reachOptions

	Token string `long:"operator-token" env:"WISTERIAQUAY_OPERATOR_TOKEN" description:"credential of operators" required:"true"`
}

// publishOptions say how long to wait for a release note.
type publishOptions struct {
	operatorOptions

	Wait     time.Duration `long:"wait" env:"WISTERIAQUAY_WAIT" default:"7s" description:"how long to wait until all VMs have it in force, 1s to 1m"`
	RetryFor time.Duration `long:"retry-for" env:"WISTERIAQUAY_RETRY_FOR" default:"30s" description:"how long to try again with the same id while nothing answers, 0s to 24h"`
}

const (
	acceptTime   = 30 * time.Second // acceptTime is the longest time that a VM tries to get a note accepted.
	statusTime   = 5 * time.Second  // statusTime bounds a status call.
	retryPause   = time.Second      // retryPause is the time between two tries.
	longestWait  = time.Minute
	longestRetry = 24 * time.Hour
)

// check returns a wqfault.BadInput for options out of range.
func (o *publishOptions) check() error {
	if o.Wait < time.Second || o.Wait > longestWait {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("--wait %s is out of range", o.Wait), "use 1s to 1m")
	}
	if o.RetryFor < 0 || o.RetryFor > longestRetry {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("--retry-for %s is out of range", o.RetryFor), "use 0s to 24h")
	}
	return nil
}

func (o *operatorOptions) operator(timeout time.Duration) (wqpbconnect.OperatorServiceClient, error) {
	reach, err := o.client(timeout)
	if err != nil {
		return nil, err
	}
	return wqpbconnect.NewOperatorServiceClient(reach, o.Entry), nil
}

func (o *operatorOptions) authorize(h http.Header) { h.Set("Authorization", "Bearer "+o.Token) }

// newNoteID returns an id for a note that the program writes itself.
func newNoteID(verb, zone string) string {
	return verb + "-" + zone + "-" + strings.ToLower(rand.Text()[:10])
}

// publishZone publishes the note that a verb stands for and that names one
// availability zone.
func publishZone(ctx context.Context, c console, verb string, note func(id, zone string) *wqnote.Note, args []string) error {
	o := &publishOptions{}
	rest, err := parse(o, verb+" ZONE", args, 1)
	if err != nil {
		return err
	}
	return publishNote(ctx, c, o, note(newNoteID(verb, rest[0]), rest[0]))
}

// publishNote publishes a note, again with the same id while the fleet or its
// store does not answer, and prints what became of it.
func publishNote(ctx context.Context, c console, o *publishOptions, n *wqnote.Note) error {
	if err := o.check(); err != nil {
		return err
	}
	data, err := wqdocument.EncodeNote(n)
	if err != nil {
		return err
	}
	until := time.Now().Add(o.RetryFor)
	for {
		m, err := o.publishOnce(ctx, data)
		if err == nil {
			return writePublished(c, n, m)
		}
		if !mayRetry(err) || time.Now().Add(retryPause).After(until) {
			return err
		}
		_, _ = fmt.Fprintf(c.Err, "trying again with the same id %s until %s: %s\n", n.ID, until.Format(time.TimeOnly), err)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (o *publishOptions) publishOnce(ctx context.Context, data []byte) (*wqpb.PublishResponse, error) {
	client, err := o.operator(o.Wait + acceptTime)
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(&wqpb.PublishRequest{Note: data, WaitMillis: uint32(o.Wait.Milliseconds())})
	o.authorize(r.Header())
	m, err := client.Publish(ctx, r)
	if err != nil {
		return nil, wqconnecterror.Decode(err)
	}
	return m.Msg, nil
}

// mayRetry reports whether a note may be accepted when it is published again.
func mayRetry(err error) bool {
	switch wqfault.KindOf(err) {
	case wqfault.Unavailable, wqfault.OutcomeUnknown, wqfault.NotReady, wqfault.Leaving:
		return true
	}
	return false
}

// writePublished prints what became of a note. One that is accepted but not in
// force on every VM yet is an error.
func writePublished(c console, n *wqnote.Note, m *wqpb.PublishResponse) error {
	word := "accepted"
	if m.GetAcceptedBefore() {
		word = "accepted before"
	}
	_, err := fmt.Fprintf(c.Out, "note %s %s as revision %d\nin force on %d of %d VMs\n",
		n.ID, word, m.GetRevision(), m.GetVmsInForce(), m.GetVmsTotal())
	if err != nil || len(m.GetVmsNotHeard()) == 0 {
		return err
	}
	message := fmt.Sprintf("revision %d is accepted, but not heard to be in force from %s", m.GetRevision(), strings.Join(m.GetVmsNotHeard(), ", "))
	return wqfault.New(wqfault.Incomplete, message, "run 'wisteriaquay status' to see whether they have it now; they need no new note")
}

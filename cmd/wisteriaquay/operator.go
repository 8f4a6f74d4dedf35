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

// operatorOptions are the options of commands that call an entry VM as an
// operator.
type operatorOptions struct {
	connectionOptions

	Token string `long:"operator-token" env:"WISTERIAQUAY_OPERATOR_TOKEN" description:"bearer token of operators" required:"true"`
}

// publishOptions are the options of commands that publish a release note.
type publishOptions struct {
	operatorOptions

	Wait     time.Duration `long:"wait" env:"WISTERIAQUAY_WAIT" default:"7s" description:"longest wait until the note is in force on all VMs, 1s to 1m"`
	RetryFor time.Duration `long:"retry-for" env:"WISTERIAQUAY_RETRY_FOR" default:"30s" description:"how long to retry with the same id while the fleet or its store does not answer, 0s to 24h"`
}

const (
	acceptTimeout = 30 * time.Second // Longest time in which a VM tries to get a note accepted by the store.
	statusTimeout = 5 * time.Second  // Of a status call.
	retryDelay    = time.Second      // Between two attempts to publish.
	maxWait       = time.Minute
	maxRetryFor   = 24 * time.Hour
)

// validate returns a wqfault.BadInput fault when an option is out of range.
func (o *publishOptions) validate() error {
	if o.Wait < time.Second || o.Wait > maxWait {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("--wait %s is out of range", o.Wait), "use 1s to 1m")
	}
	if o.RetryFor < 0 || o.RetryFor > maxRetryFor {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("--retry-for %s is out of range", o.RetryFor), "use 0s to 24h")
	}
	return nil
}

func (o *operatorOptions) newOperatorClient(timeout time.Duration) (wqpbconnect.OperatorServiceClient, error) {
	httpClient, err := o.newHTTPClient(timeout)
	if err != nil {
		return nil, err
	}
	return wqpbconnect.NewOperatorServiceClient(httpClient, o.EntryURL), nil
}

func (o *operatorOptions) authorize(h http.Header) { h.Set("Authorization", "Bearer "+o.Token) }

// newNoteID returns a unique id for the note of a command that names a zone.
func newNoteID(verb, zone string) string {
	return verb + "-" + zone + "-" + strings.ToLower(rand.Text()[:10])
}

// publishZone parses the arguments of the command verb, builds its note for the
// availability zone that they name, and publishes it.
func publishZone(ctx context.Context, c console, verb string, newNote func(id, zone string) *wqnote.Note, args []string) error {
	o := &publishOptions{}
	positional, err := parseOptions(o, verb+" ZONE", args, 1)
	if err != nil {
		return err
	}
	return publishNote(ctx, c, o, newNote(newNoteID(verb, positional[0]), positional[0]))
}

// publishNote publishes a note and prints the result. While the fleet or its store
// does not answer, it retries with the same id for up to RetryFor; a note that was
// already accepted under its id is not applied again.
func publishNote(ctx context.Context, c console, o *publishOptions, n *wqnote.Note) error {
	if err := o.validate(); err != nil {
		return err
	}
	data, err := wqdocument.EncodeNote(n)
	if err != nil {
		return err
	}
	retryDeadline := time.Now().Add(o.RetryFor)
	for {
		m, err := o.publishOnce(ctx, data)
		if err == nil {
			return writePublishResult(c, n, m)
		}
		if !isRetryable(err) || time.Now().Add(retryDelay).After(retryDeadline) {
			return err
		}
		_, _ = fmt.Fprintf(c.Err, "retrying with the same id %s until %s: %s\n", n.ID, retryDeadline.Format(time.TimeOnly), err)
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func (o *publishOptions) publishOnce(ctx context.Context, data []byte) (*wqpb.PublishResponse, error) {
	client, err := o.newOperatorClient(o.Wait + acceptTimeout)
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

// isRetryable reports whether publishing the same note again may succeed.
func isRetryable(err error) bool {
	switch wqfault.KindOf(err) {
	case wqfault.Unavailable, wqfault.OutcomeUnknown, wqfault.NotReady, wqfault.Leaving:
		return true
	}
	return false
}

// writePublishResult prints the revision of an accepted note and on how many VMs
// it is in force. It returns a wqfault.Incomplete fault when that is not confirmed
// by every VM.
func writePublishResult(c console, n *wqnote.Note, m *wqpb.PublishResponse) error {
	result := "accepted"
	if m.GetAcceptedBefore() {
		result = "accepted before"
	}
	_, err := fmt.Fprintf(c.Out, "note %s %s as revision %d\nin force on %d of %d VMs\n",
		n.ID, result, m.GetRevision(), m.GetVmsInForce(), m.GetVmsTotal())
	if err != nil || len(m.GetVmsNotHeard()) == 0 {
		return err
	}
	message := fmt.Sprintf("revision %d is accepted, but not yet confirmed to be in force by %s", m.GetRevision(), strings.Join(m.GetVmsNotHeard(), ", "))
	return wqfault.New(wqfault.Incomplete, message, "run 'wisteriaquay status' to see whether it is in force there now; do not publish a new note for it")
}

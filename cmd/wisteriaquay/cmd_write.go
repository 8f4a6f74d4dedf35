package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

type writeOptions struct {
	entryOptions

	Tenant  string `long:"tenant" description:"tenant of the rule that applies" required:"true"`
	Class   string `long:"class" description:"class of the rule that applies" required:"true"`
	Service string `long:"service" description:"index to change" required:"true"`
	Shard   string `long:"shard" description:"shard to change" required:"true"`
	Ticket  string `long:"ticket" description:"ticket of an earlier try; empty takes a new one"`
	Outcome bool   `long:"outcome" description:"only ask what became of --ticket, never run it"`
}

// cmdWrite runs one write-like request at most once.
var cmdWrite = &command{
	Name: "write",
	Args: "TEXT",
	Help: "run one write-like request at most once and print its outcome",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &writeOptions{}
		rest, err := parse(o, "write TEXT", args, 1)
		if err != nil {
			return err
		}
		return write(ctx, c, o, rest[0])
	},
}

func write(ctx context.Context, c console, o *writeOptions, text string) error {
	reach, err := o.client(o.Timeout)
	if err != nil {
		return err
	}
	client := wqpbconnect.NewQueryServiceClient(reach, o.Entry)
	if o.Outcome {
		r, err := client.Outcome(ctx, connect.NewRequest(&wqpb.OutcomeRequest{
			Ticket: o.Ticket, TimeoutMillis: uint32(o.Timeout.Milliseconds()),
		}))
		if err != nil {
			return wqconnecterror.Decode(err)
		}
		return writeOutcome(c, r.Msg)
	}
	if err := takeTicket(ctx, c, client, o); err != nil {
		return err
	}
	r, err := client.Write(ctx, connect.NewRequest(&wqpb.WriteRequest{
		Ticket:        o.Ticket,
		Tenant:        o.Tenant,
		Class:         o.Class,
		Service:       o.Service,
		Shard:         o.Shard,
		Body:          []byte(text),
		TimeoutMillis: uint32(o.Timeout.Milliseconds()),
	}))
	if err != nil {
		return wqconnecterror.Decode(err)
	}
	return writeOutcome(c, r.Msg)
}

// takeTicket mints a ticket when the options hold none and prints it first, so
// that it is known whatever happens next.
func takeTicket(ctx context.Context, c console, client wqpbconnect.QueryServiceClient, o *writeOptions) error {
	if o.Ticket != "" {
		return nil
	}
	r, err := client.Ticket(ctx, connect.NewRequest(&wqpb.TicketRequest{Tenant: o.Tenant, Class: o.Class, Service: o.Service}))
	if err != nil {
		return wqconnecterror.Decode(err)
	}
	o.Ticket = r.Msg.GetTicket()
	_, err = fmt.Fprintf(c.Out, "ticket %s\n", o.Ticket)
	return err
}

// writeOutcome prints an outcome; any but done is an error.
func writeOutcome(c console, m *wqpb.WriteResponse) error {
	switch m.GetOutcome() {
	case wqpb.Outcome_OUTCOME_DONE:
		_, err := fmt.Fprintf(c.Out, "done %s\n", m.GetBody())
		return err
	case wqpb.Outcome_OUTCOME_NOT_RUN:
		return wqfault.New(wqfault.Overloaded, "not run: "+m.GetReason(), m.GetRemedy())
	default:
		return wqfault.New(wqfault.OutcomeUnknown, m.GetReason(), m.GetRemedy())
	}
}

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
	callerOptions

	Tenant      string `long:"tenant" description:"tenant of the rule to apply" required:"true"`
	Class       string `long:"class" description:"class of the rule to apply" required:"true"`
	Service     string `long:"service" description:"index to change" required:"true"`
	Shard       string `long:"shard" description:"shard to change" required:"true"`
	Ticket      string `long:"ticket" description:"ticket of an earlier attempt; empty mints a new one"`
	OutcomeOnly bool   `long:"outcome" description:"query the outcome of --ticket and run nothing"`
}

// cmdWrite sends one write-like request, which runs at most once.
var cmdWrite = &command{
	Name: "write",
	Args: "TEXT",
	Help: "run one write-like request at most once and print its outcome",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &writeOptions{}
		positional, err := parseOptions(o, "write TEXT", args, 1)
		if err != nil {
			return err
		}
		return runWrite(ctx, c, o, positional[0])
	},
}

func runWrite(ctx context.Context, c console, o *writeOptions, text string) error {
	httpClient, err := o.newHTTPClient(o.Timeout)
	if err != nil {
		return err
	}
	client := wqpbconnect.NewQueryServiceClient(httpClient, o.EntryURL)
	if o.OutcomeOnly {
		r, err := client.Outcome(ctx, connect.NewRequest(&wqpb.OutcomeRequest{
			Ticket: o.Ticket, TimeoutMillis: uint32(o.Timeout.Milliseconds()),
		}))
		if err != nil {
			return wqconnecterror.Decode(err)
		}
		return writeOutcome(c, r.Msg)
	}
	if err := ensureTicket(ctx, c, client, o); err != nil {
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

// ensureTicket mints a ticket when the options hold none. It prints the ticket
// before the request is sent, so that its outcome can be queried after a failure.
func ensureTicket(ctx context.Context, c console, client wqpbconnect.QueryServiceClient, o *writeOptions) error {
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

// writeOutcome prints the outcome of a request that is done. For any other outcome
// it returns a fault.
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

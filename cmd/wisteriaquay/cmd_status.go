package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
)

type statusOptions struct {
	operatorOptions

	AsJSON bool `long:"json" description:"print one JSON document"`
}

// cmdStatus prints the state of the fleet as one VM has it.
var cmdStatus = &command{
	Name: "status",
	Help: "print the configuration, the VMs, the zones and the services as one VM has them",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &statusOptions{}
		if _, err := parseOptions(o, "status", args, 0); err != nil {
			return err
		}
		client, err := o.newOperatorClient(statusTimeout)
		if err != nil {
			return err
		}
		r := connect.NewRequest(&wqpb.StatusRequest{})
		o.authorize(r.Header())
		m, err := client.Status(ctx, r)
		if err != nil {
			return wqconnecterror.Decode(err)
		}
		if o.AsJSON {
			return writeStatusJSON(c, m.Msg)
		}
		return writeStatus(c, m.Msg)
	},
}

func writeStatusJSON(c console, m *wqpb.StatusResponse) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Indent: "  "}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Out, string(data))
	return err
}

func writeStatus(c console, m *wqpb.StatusResponse) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "vm\t%s\nready\t%t\nrevision\t%d\nnote\t%s\nstore reachable\t%t\n",
		m.GetVm(), m.GetReady(), m.GetRevision(), m.GetNoteId(), m.GetStoreReachable())
	_, _ = fmt.Fprintln(w, "\nVM\tADDRESS\tZONE\tSTATE\tREVISION")
	for _, v := range m.GetVms() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", v.GetId(), v.GetAddress(), v.GetZone(), v.GetState(), v.GetRevision())
	}
	_, _ = fmt.Fprintln(w, "\nZONE\tOUT\tSEARCHERS")
	for _, z := range m.GetZones() {
		_, _ = fmt.Fprintf(w, "%s\t%t\t%d\n", z.GetId(), z.GetOut(), z.GetSearchers())
	}
	_, _ = fmt.Fprintln(w, "\nSERVICE\tSNAPSHOT\tSHARDS\tSEARCHERS\tDOWN\tCOLD")
	for _, s := range m.GetServices() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", s.GetService(), s.GetSnapshot(), s.GetShards(), s.GetSearchers(), s.GetDown(), s.GetCold())
	}
	return w.Flush()
}

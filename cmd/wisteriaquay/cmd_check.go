package main

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqhistory"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqsetting"
)

type checkOptions struct {
	WithSettings bool               `long:"settings" description:"check the settings of serve as well, from flags and environment variables"`
	Settings     wqsetting.Settings `group:"Settings of serve"`
	Files        struct {
		Notes []string `positional-arg-name:"FILE" description:"release notes, in the order of their acceptance"`
	} `positional-args:"yes"`
}

// cmdCheck validates release notes and settings with no network.
var cmdCheck = &command{
	Name: "check",
	Args: "FILE...",
	Help: "validate release notes, from an empty configuration on, and settings; uses no network",
	Action: func(_ context.Context, c console, args []string) error {
		o := &checkOptions{}
		if _, err := parse(o, "check FILE...", args, 0); err != nil {
			return err
		}
		if len(o.Files.Notes) == 0 && !o.WithSettings {
			return wqfault.New(wqfault.BadInput, "there is nothing to check", "name release notes or give --settings")
		}
		if o.WithSettings {
			if err := o.Settings.Validate(); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.Out, "the settings are valid")
		}
		return checkNotes(c, o.Files.Notes)
	},
}

// checkNotes applies notes in order to an empty configuration.
func checkNotes(c console, paths []string) error {
	var h *wqhistory.History
	for _, p := range paths {
		n, err := readNote(p)
		if err != nil {
			return err
		}
		if h, err = h.ApplyNote(n); err != nil {
			return eris.Wrap(err, p)
		}
		value, err := wqdocument.EncodeHistory(h)
		if err != nil {
			return eris.Wrap(err, p)
		}
		_, _ = fmt.Fprintf(c.Out, "%s is valid; it makes revision %d with %d searchers, %d bytes of the %d that the store holds\n",
			p, h.Revision(), len(h.Topology.Searchers), len(value), wqdocument.MaxCompressedBytes)
	}
	return nil
}

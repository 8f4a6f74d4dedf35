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
	CheckSettings bool               `long:"settings" description:"also check the settings of serve, from flags and environment variables"`
	Settings      wqsetting.Settings `group:"Settings of serve"`
	Files         struct {
		Notes []string `positional-arg-name:"FILE" description:"release notes, in the order in which they are to be published"`
	} `positional-args:"yes"`
}

// cmdCheck validates release notes and settings without using the network.
var cmdCheck = &command{
	Name: "check",
	Args: "FILE...",
	Help: "validate release notes, starting from an empty configuration, and settings; uses no network",
	Action: func(_ context.Context, c console, args []string) error {
		o := &checkOptions{}
		if _, err := parseOptions(o, "check FILE...", args, 0); err != nil {
			return err
		}
		if len(o.Files.Notes) == 0 && !o.CheckSettings {
			return wqfault.New(wqfault.BadInput, "there is nothing to check", "name release notes or give --settings")
		}
		if o.CheckSettings {
			if err := o.Settings.Validate(); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(c.Out, "the settings are valid")
		}
		return checkNotes(c, o.Files.Notes)
	},
}

// checkNotes applies the notes to an empty configuration, in the given order, and
// prints one line for each.
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
		_, _ = fmt.Fprintf(c.Out, "%s is valid; it makes revision %d with %d searchers, %d of at most %d bytes in the store\n",
			p, h.Revision(), len(h.Topology.Searchers), len(value), wqdocument.MaxCompressedBytes)
	}
	return nil
}

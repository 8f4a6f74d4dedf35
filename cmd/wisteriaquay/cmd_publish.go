package main

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqnote"
	"wisteriaquay/io/wqdocument"
)

// cmdPublish publishes a release note and waits until it is in force.
var cmdPublish = &command{
	Name: "publish",
	Args: "FILE",
	Help: "publish a release note and wait until it is in force",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &publishOptions{}
		positional, err := parseOptions(o, "publish FILE", args, 1)
		if err != nil {
			return err
		}
		n, err := readNote(positional[0])
		if err != nil {
			return err
		}
		return publishNote(ctx, c, o, n)
	},
}

// readNote reads and decodes a release note. It returns a wqfault.BadInput fault
// when the file is unreadable.
func readNote(path string) (*wqnote.Note, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, wqfault.New(wqfault.BadInput, err.Error(), "name a readable file that holds a release note")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, wqdocument.MaxNoteBytes+1))
	if err != nil {
		return nil, wqfault.New(wqfault.BadInput, err.Error(), "name a readable file that holds a release note")
	}
	n, err := wqdocument.DecodeNote(data)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	return n, nil
}

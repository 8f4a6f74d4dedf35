package main

import (
	"context"

	"wisteriaquay/io/wqlog"
	"wisteriaquay/io/wqnode"
	"wisteriaquay/io/wqsetting"
)

// serve runs an entry VM until ctx ends.
func serve(ctx context.Context, c console, s *wqsetting.Settings) error {
	n := &wqnode.Node{
		Settings: s,
		Log:      wqlog.New(c.Err, s.Identity.ID, s.Limits.LogPerSecond),
	}
	return n.Run(ctx)
}

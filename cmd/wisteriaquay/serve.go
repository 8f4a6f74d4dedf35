package main

import (
	"context"
	"log/slog"

	"wisteriaquay/io/wqlog"
	"wisteriaquay/io/wqnode"
	"wisteriaquay/io/wqsetting"
)

// serve runs an entry VM until ctx ends.
func serve(ctx context.Context, c console, s *wqsetting.Settings) error {
	log := wqlog.New(c.Err, s.Identity.ID, s.Limits.LogPerSecond)
	slog.SetDefault(log)
	n := &wqnode.Node{Settings: s, Log: log}
	return n.Run(ctx)
}

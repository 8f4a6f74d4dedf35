package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wisteriaquay/io/wqlog"
	"wisteriaquay/io/wqnode"
	"wisteriaquay/io/wqsetting"
)

// serve runs an entry VM until ctx ends.
func serve(ctx context.Context, c console, s *wqsetting.Settings) error {
	log := wqlog.New(c.Err, s.Identity.ID, s.Limits.LogPerSecond)
	slog.SetDefault(log)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	n := &wqnode.Node{Settings: s, Log: log, ReloadSignals: hangups}
	return n.Run(ctx)
}

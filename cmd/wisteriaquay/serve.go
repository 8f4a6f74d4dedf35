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

// runServe runs an entry VM, and stops it gracefully once ctx ends.
func runServe(ctx context.Context, c console, s *wqsetting.Settings) error {
	log := wqlog.New(c.Err, s.Identity.ID, s.Limits.LogPerSecond)
	slog.SetDefault(log)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	n := &wqnode.Node{Settings: s, Log: log, ReloadSignals: reloadSignals}
	return n.Run(ctx)
}

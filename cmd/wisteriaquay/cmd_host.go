package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wisteriaquay/cmd/wqhost"
	"wisteriaquay/io/wqlog"
	"wisteriaquay/platform/wqboot"
)

// cmdHost runs an entry VM on the users' platform until it is told to stop.
var cmdHost = &command{
	Name: "host",
	Help: "run an entry VM on the users' platform until SIGTERM",
	Action: func(ctx context.Context, c console, args []string) error {
		var options struct {
			File         string `long:"settings" env:"WISTERIAQUAY_CONFIG" description:"path of the platform's settings file" required:"yes"`
			MetricsPort  int    `long:"metrics-port" env:"WISTERIAQUAY_METRICS_PORT" description:"port for metrics, one of the VM's internal ports; 0 serves none"`
			LogPerSecond int    `long:"log-per-second" env:"WISTERIAQUAY_LOG_PER_SECOND" description:"most log lines a second" default:"40"`
		}
		if _, err := parse(&options, "host", args, 0); err != nil {
			return err
		}
		s, err := wqboot.Read(options.File)
		if err != nil {
			return err
		}
		log := wqlog.New(c.Out, s.VMName, options.LogPerSecond)
		slog.SetDefault(log)
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		h := &wqhost.Host{Settings: s, SettingsPath: options.File, ReloadSignals: hangups, MetricsPort: options.MetricsPort, Log: log}
		return h.Run(ctx)
	},
}

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

// placementCost is the value of --placement that places requests by cost.
const placementCost = "cost"

// cmdHost runs an entry VM on the users' platform until SIGTERM or an interrupt.
var cmdHost = &command{
	Name: "host",
	Help: "run an entry VM on the users' platform until SIGTERM",
	Action: func(ctx context.Context, c console, args []string) error {
		var options struct {
			SettingsPath string `long:"settings" env:"WISTERIAQUAY_CONFIG" description:"path of the platform's settings file" required:"yes"`
			MetricsPort  int    `long:"metrics-port" env:"WISTERIAQUAY_METRICS_PORT" description:"port for metrics, one of the VM's internal ports; 0 serves none"`
			LogPerSecond int    `long:"log-per-second" env:"WISTERIAQUAY_LOG_PER_SECOND" description:"maximum log lines per second" default:"40"`
			Placement    string `long:"placement" env:"WISTERIAQUAY_PLACEMENT" description:"how the searcher of a request is chosen: by the latency of earlier requests, or by the likely cost of the request and the work that each searcher still has to do" choice:"latency" choice:"cost" default:"latency"`
		}
		if _, err := parseOptions(&options, "host", args, 0); err != nil {
			return err
		}
		s, err := wqboot.Read(options.SettingsPath)
		if err != nil {
			return err
		}
		log := wqlog.New(c.Out, s.VMName, options.LogPerSecond)
		slog.SetDefault(log)
		reloadSignals := make(chan os.Signal, 1)
		signal.Notify(reloadSignals, syscall.SIGHUP)
		defer signal.Stop(reloadSignals)
		h := &wqhost.Host{Settings: s, SettingsPath: options.SettingsPath, ReloadSignals: reloadSignals, MetricsPort: options.MetricsPort, PlaceByCost: options.Placement == placementCost, Log: log}
		return h.Run(ctx)
	},
}

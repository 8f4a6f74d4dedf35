package main

import (
	"context"

	"wisteriaquay/io/wqsetting"
)

// cmdServe runs an entry VM until SIGTERM or an interrupt.
var cmdServe = &command{
	Name: "serve",
	Help: "run an entry VM until SIGTERM, then finish requests in progress and exit",
	Action: func(ctx context.Context, c console, args []string) error {
		s := &wqsetting.Settings{}
		if _, err := parseOptions(s, "serve", args, 0); err != nil {
			return err
		}
		if err := s.Validate(); err != nil {
			return err
		}
		return runServe(ctx, c, s)
	},
}

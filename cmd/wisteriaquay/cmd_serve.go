package main

import (
	"context"

	"wisteriaquay/io/wqsetting"
)

// cmdServe runs an entry VM until it is told to stop.
var cmdServe = &command{
	Name: "serve",
	Help: "run an entry VM until SIGTERM, then finish its work and exit",
	Action: func(ctx context.Context, c console, args []string) error {
		s := &wqsetting.Settings{}
		if _, err := parse(s, "serve", args, 0); err != nil {
			return err
		}
		if err := s.Validate(); err != nil {
			return err
		}
		return serve(ctx, c, s)
	},
}

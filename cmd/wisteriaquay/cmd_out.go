package main

import (
	"context"

	"wisteriaquay/core/wqnote"
)

// cmdOut takes an availability zone out: it publishes a release note that names
// the zone.
var cmdOut = &command{
	Name: "out",
	Args: "ZONE",
	Help: "take an availability zone out: it receives no new work",
	Action: func(ctx context.Context, c console, args []string) error {
		return publishZone(ctx, c, "out", wqnote.ZoneOut, args)
	},
}

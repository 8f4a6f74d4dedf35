package main

import (
	"context"

	"wisteriaquay/core/wqnote"
)

// cmdBack brings an availability zone back that cmdOut took out.
var cmdBack = &command{
	Name: "back",
	Args: "ZONE",
	Help: "bring an availability zone back",
	Action: func(ctx context.Context, c console, args []string) error {
		return publishZone(ctx, c, "back", wqnote.ZoneBack, args)
	},
}

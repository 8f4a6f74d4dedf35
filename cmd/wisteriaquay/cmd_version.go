package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the current release, as in the changelog.
const version = "0.1.0"

// cmdVersion prints the release, the commit and the Go version of this program.
var cmdVersion = &command{
	Name: "version",
	Help: "print the version of this program",
	Action: func(_ context.Context, c console, args []string) error {
		if _, err := parseOptions(&struct{}{}, "version", args, 0); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.Out, "wisteriaquay %s %s %s\n", version, revision(), runtime.Version())
		return err
	},
}

// revision returns the commit that this program was built from, or "unknown".
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}

// Command wisteriaquay is the query tier in one program: it runs an entry VM, and
// has the command-line tools of callers and operators and a load generator.
//
// # Usage
//
//	wisteriaquay serve --id vm-1 --zone a --region r --store http://10.0.0.2:8200 ...
//	wisteriaquay query --entry http://10.0.0.7:7400 --tenant bench --class lookup --service bench TEXT
//	wisteriaquay help
//
// It exits with 0 on success, 1 on failure and 2 on invalid input; check-configuration
// has exit codes of its own.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, console{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

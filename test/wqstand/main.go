// Command wqstand runs fakes of the platform's services and of the searchers in
// one process, for trials and end-to-end tests on loopback.
//
// # Usage
//
//	wqstand demo --program bin/wisteriaquay
//	wqstand serve --note note.json --store-listen 127.0.0.1:8200 --vm-list-listen 127.0.0.1:8201
//
// It serves every searcher that the release note adds, at the address that the
// note gives. POST /control at the store, the VM list and each searcher injects
// faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(os.Stdout, err)
		return
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "wqstand: %s\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	parser := flags.NewNamedParser("wqstand", flags.HelpFlag|flags.PassDoubleDash)
	serve := &serveCommand{ctx: ctx}
	if _, err := parser.AddCommand("serve", "run the fake services", "Run a fake store, a fake VM list and fakes of the searchers of a release note.", serve); err != nil {
		return err
	}
	demo := &demoCommand{ctx: ctx, out: os.Stdout}
	if _, err := parser.AddCommand("demo", "show a query from end to end", "Run fake services and three VMs on loopback and show what callers and operators see.", demo); err != nil {
		return err
	}
	_, err := parser.ParseArgs(args)
	return err
}

// Command wqstand runs the stand-ins of the platform and of the searchers in
// one process, for trials and end-to-end tests on loopback.
//
// # Usage
//
//	wqstand demo --program bin/wisteriaquay
//	wqstand serve --note note.json --store-listen 127.0.0.1:8200 --vm-list-listen 127.0.0.1:8201
//
// It hosts every searcher that the release note adds, at the address that the
// note gives. Faults are set over HTTP: POST /control at the store, the VM list
// and each searcher.
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
	p := flags.NewNamedParser("wqstand", flags.HelpFlag|flags.PassDoubleDash)
	serving := &serveCommand{ctx: ctx}
	if _, err := p.AddCommand("serve", "run the stand-ins", "Run the store, the VM list and the searchers of a release note.", serving); err != nil {
		return err
	}
	showing := &demoCommand{ctx: ctx, out: os.Stdout}
	if _, err := p.AddCommand("demo", "show the path", "Run stand-ins and three VMs on loopback and show what callers and operators see.", showing); err != nil {
		return err
	}
	_, err := p.ParseArgs(args)
	return err
}

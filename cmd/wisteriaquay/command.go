package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"

	"wisteriaquay/core/wqfault"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// console holds the output streams of a command.
type console struct {
	Out io.Writer
	Err io.Writer
}

// command is a subcommand of the program.
type command struct {
	Name   string
	Args   string // Positional arguments, as the help page shows them.
	Help   string // One line for the help page.
	Action func(ctx context.Context, c console, args []string) error
}

// commands returns the subcommands in the order of the help page.
func commands() []*command {
	return []*command{
		cmdServe,
		cmdHost,
		cmdQuery,
		cmdWrite,
		cmdPublish,
		cmdOut,
		cmdBack,
		cmdStatus,
		cmdCheck,
		cmdCheckConfiguration,
		cmdLoad,
		cmdVersion,
	}
}

// run executes the subcommand that args name and returns the exit code.
func run(ctx context.Context, c console, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		writeHelp(c.Out)
		return exitOK
	}
	for _, m := range commands() {
		if m.Name == args[0] {
			return exitCode(c, m, m.Action(ctx, c, args[1:]))
		}
	}
	_, _ = fmt.Fprintf(c.Err, "there is no command %q; run 'wisteriaquay help' for the list\n", args[0])
	return exitBadInput
}

// exitCode prints the error of a command and returns its exit code. Requested help
// is no error.
func exitCode(c console, m *command, err error) int {
	if err == nil {
		return exitOK
	}
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(c.Out, err)
		return exitOK
	}
	if code := checkExitCode(0); errors.As(err, &code) {
		return int(code)
	}
	_, _ = fmt.Fprintf(c.Err, "wisteriaquay %s: %s\n", m.Name, err)
	if wqfault.KindOf(err) == wqfault.BadInput {
		return exitBadInput
	}
	return exitFailed
}

func writeHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "Usage: wisteriaquay COMMAND [OPTION...] [ARGUMENT...]\n\n")
	for _, m := range commands() {
		_, _ = fmt.Fprintf(w, "  %-24s %s\n", strings.TrimSpace(m.Name+" "+m.Args), m.Help)
	}
	_, _ = fmt.Fprint(w, "\nRun 'wisteriaquay COMMAND --help' for its options.\n")
}

// parseOptions fills options from flags and environment variables and returns the
// positional arguments. It returns a wqfault.BadInput fault for invalid flags and
// unless there are argCount of them.
func parseOptions(options any, usage string, args []string, argCount int) ([]string, error) {
	p := flags.NewNamedParser("wisteriaquay", flags.HelpFlag|flags.PassDoubleDash)
	p.Usage = usage
	if _, err := p.AddGroup("Options", "", options); err != nil {
		return nil, err
	}
	positional, err := p.ParseArgs(args)
	if flags.WroteHelp(err) {
		return nil, err
	}
	if err != nil {
		return nil, wqfault.New(wqfault.BadInput, err.Error(), "run 'wisteriaquay "+usage+" --help' for the options")
	}
	if len(positional) != argCount {
		message := fmt.Sprintf("got %d arguments, want %d", len(positional), argCount)
		return nil, wqfault.New(wqfault.BadInput, message, "run 'wisteriaquay "+usage+" --help' for the usage")
	}
	return positional, nil
}

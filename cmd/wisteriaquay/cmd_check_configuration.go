package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqconfigcheck"
	"wisteriaquay/platform/wqboot"
	"wisteriaquay/platform/wqitem"
)

// checkExitCode is the exit code of check-configuration, for scripts that deploy a
// configuration. It is the error of a command that has printed its result.
type checkExitCode int

// The exit codes of check-configuration other than 0.
const (
	checkWarnings   checkExitCode = 1
	checkErrors     checkExitCode = 2
	checkUnreadable checkExitCode = 3 // Also for options that are not valid.
)

// Error returns what the exit code means.
func (e checkExitCode) Error() string { return fmt.Sprintf("the check ends with exit code %d", int(e)) }

// maxConfigurationBytes bounds a configuration; the platform's store takes 1 MB.
const maxConfigurationBytes = 16 << 20

type checkConfigurationOptions struct {
	Against  string `long:"against" value-name:"FILE" description:"the version in force; report what changes from it"`
	Format   string `long:"format" choice:"text" choice:"json" default:"text" description:"form of the report"`
	Settings string `long:"settings" value-name:"FILE" description:"a VM's settings file; compare attempts with its retry budget"`
}

// cmdCheckConfiguration checks a configuration of the users' platform before it is
// deployed.
var cmdCheckConfiguration = &command{
	Name: "check-configuration",
	Args: "FILE",
	Help: "check a configuration of 'host' before it is deployed; - reads standard input; uses no network",
	Action: func(_ context.Context, c console, args []string) error {
		o := &checkConfigurationOptions{}
		positional, err := parseOptions(o, "check-configuration FILE", args, 1)
		if flags.WroteHelp(err) {
			return err
		}
		var report wqconfigcheck.Report
		if err == nil {
			report, err = o.check(positional[0])
		}
		if err != nil {
			_, _ = fmt.Fprintf(c.Err, "wisteriaquay check-configuration: %s\n", err)
			return checkUnreadable
		}
		if err := writeCheckReport(c.Out, &report, o.Format); err != nil {
			return err
		}
		return checkResult(&report)
	},
}

// check reads the files and checks the configuration at path.
func (o *checkConfigurationOptions) check(path string) (wqconfigcheck.Report, error) {
	if path == "-" && o.Against == "-" {
		return wqconfigcheck.Report{}, eris.New("standard input holds one configuration only; name a file for the other")
	}
	next, err := readConfiguration(path)
	if err != nil {
		return wqconfigcheck.Report{}, err
	}
	var inForce *wqconfigcheck.Configuration
	if o.Against != "" {
		if inForce, err = readConfiguration(o.Against); err != nil {
			return wqconfigcheck.Report{}, err
		}
	}
	var checker wqconfigcheck.Checker
	if o.Settings != "" {
		settings, err := wqboot.Read(o.Settings)
		if err != nil {
			return wqconfigcheck.Report{}, err
		}
		checker.RetryLimits = &settings.RetryLimits
	}
	return checker.Check(next, inForce), nil
}

// readConfiguration reads and decodes the configuration at path, or at standard input
// for "-".
func readConfiguration(path string) (*wqconfigcheck.Configuration, error) {
	source := os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, eris.Errorf("%s; name a readable file", err)
		}
		defer func() { _ = f.Close() }()
		source = f
	}
	data, err := io.ReadAll(io.LimitReader(source, maxConfigurationBytes+1))
	if err != nil {
		return nil, eris.Errorf("%s; name a readable file", err)
	}
	if len(data) > maxConfigurationBytes {
		return nil, eris.Errorf("%s is over %d bytes; name a file that holds a configuration", path, maxConfigurationBytes)
	}
	c, err := wqitem.DecodeForCheck(data)
	return c, eris.Wrap(err, path)
}

// checkResult returns the exit code for a report, nil for one without findings.
func checkResult(r *wqconfigcheck.Report) error {
	switch errorCount, warningCount := r.Count(); {
	case errorCount > 0:
		return checkErrors
	case warningCount > 0:
		return checkWarnings
	}
	return nil
}

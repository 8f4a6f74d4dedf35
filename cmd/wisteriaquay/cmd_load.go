package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"golang.org/x/term"

	"wisteriaquay/cmd/wqdeployment"
	"wisteriaquay/cmd/wqload"
	"wisteriaquay/cmd/wqtally"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqdocument"
)

// maxIdleConnsPerEntry bounds the idle connections to one entry VM.
const maxIdleConnsPerEntry = 512

type loadOptions struct {
	EntryURLs     []string      `long:"entry" env:"WISTERIAQUAY_ENTRIES" env-delim:"," default:"http://127.0.0.1:7400" description:"URL of an entry VM; may be repeated"`
	ReadinessURLs []string      `long:"ready" env:"WISTERIAQUAY_READY" env-delim:"," description:"URL of the readiness endpoint of an entry VM, in the order of --entry; may be repeated"`
	RateFactor    float64       `long:"scale" env:"WISTERIAQUAY_LOAD_SCALE" default:"1" description:"factor for all query rates"`
	Services      []string      `long:"service" env:"WISTERIAQUAY_LOAD_SERVICES" env-delim:"," description:"send the load of this service only; may be repeated"`
	Seconds       float64       `long:"seconds" env:"WISTERIAQUAY_LOAD_SECONDS" default:"10" description:"duration of the measured load in seconds"`
	WarmUpSeconds float64       `long:"warm-seconds" env:"WISTERIAQUAY_LOAD_WARM_SECONDS" default:"3" description:"duration in seconds of the warm-up load, which the report does not count"`
	Seed          uint64        `long:"seed" env:"WISTERIAQUAY_LOAD_SEED" default:"1" description:"random seed of arrival times and requests"`
	ClientDelay   time.Duration `long:"client-delay" env:"WISTERIAQUAY_LOAD_CLIENT_DELAY" default:"3ms" description:"simulated one-way delay between callers and entry VMs"`
	CountersURL   string        `long:"counters" env:"WISTERIAQUAY_LOAD_COUNTERS" description:"URL of the fake searchers' counters, to check the reported coverage"`
	ReportFile    string        `long:"json" env:"WISTERIAQUAY_LOAD_JSON" description:"file to write the report to as JSON"`
	Timeout       time.Duration `long:"timeout" env:"WISTERIAQUAY_TIMEOUT" default:"2s" description:"longest wait for an answer"`
	PrintNote     bool          `long:"note" description:"print the release note of the deployment and send nothing"`
	NoteHost      string        `long:"note-host" default:"127.0.0.1" description:"host of the searchers in the note"`
	NotePort      int           `long:"note-port" default:"20000" description:"first port of the searchers in the note"`
}

// cmdLoad sends the load of a deployment and reports on the answers.
var cmdLoad = &command{
	Name: "load",
	Args: "DEPLOYMENT",
	Help: "send the queries of manometros or verhaegen and check every answer",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &loadOptions{}
		positional, err := parseOptions(o, "load DEPLOYMENT", args, 1)
		if err != nil {
			return err
		}
		return runLoad(ctx, c, o, positional[0])
	},
}

func runLoad(ctx context.Context, c console, o *loadOptions, name string) error {
	deployment, found := wqdeployment.Find(name)
	if !found {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("there is no deployment %q", name), "use manometros or verhaegen")
	}
	if o.PrintNote {
		data, err := wqdocument.EncodeNote(deployment.Note(o.NoteHost, o.NotePort))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.Out, string(data))
		return err
	}
	if len(o.streams(&deployment)) == 0 {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("%s has none of the services %q", name, o.Services), "correct --service")
	}
	entries, err := o.newEntries()
	if err != nil {
		return err
	}
	generator := &wqload.Generator{
		Entries:       entries,
		Streams:       o.streams(&deployment),
		Seconds:       o.Seconds,
		WarmUpSeconds: o.WarmUpSeconds,
		Seed:          o.Seed,
		ClientDelay:   o.ClientDelay,
		CountersURL:   o.CountersURL,
		Client:        o.newHTTPClient(),
		Progress:      progressWriter(c.Err),
	}
	report, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	return o.writeReport(c, &report)
}

// streams returns the load of the services in o.Services, or of all services when
// there are none.
func (o *loadOptions) streams(deployment *wqdeployment.Deployment) []wqload.Stream {
	all := deployment.Streams(o.RateFactor)
	if len(o.Services) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(s wqload.Stream) bool { return !slices.Contains(o.Services, s.Service) })
}

func (o *loadOptions) newEntries() ([]wqload.Entry, error) {
	if len(o.ReadinessURLs) != 0 && len(o.ReadinessURLs) != len(o.EntryURLs) {
		message := fmt.Sprintf("%d --ready for %d --entry", len(o.ReadinessURLs), len(o.EntryURLs))
		return nil, wqfault.New(wqfault.BadInput, message, "name one readiness endpoint for each entry, or none")
	}
	entries := make([]wqload.Entry, len(o.EntryURLs))
	for i, url := range o.EntryURLs {
		entries[i].URL = url
		if len(o.ReadinessURLs) > 0 {
			entries[i].ReadinessURL = o.ReadinessURLs[i]
		}
	}
	return entries, nil
}

func (o *loadOptions) newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:   o.Timeout + clientTimeoutMargin,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry},
	}
}

// progressWriter returns w when it is a terminal, nil otherwise: without a
// terminal no progress is shown.
func progressWriter(w io.Writer) io.Writer {
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		return f
	}
	return nil
}

func (o *loadOptions) writeReport(c console, r *wqtally.Report) error {
	if err := r.WriteTable(c.Out); err != nil {
		return err
	}
	if o.ReportFile != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.ReportFile, append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	if len(r.Total.WrongAnswers) > 0 || r.CoverageOverstated {
		return wqfault.New(wqfault.Broken, "answers were wrong", "see the report for the count of each kind of fault")
	}
	return nil
}

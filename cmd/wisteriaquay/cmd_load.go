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

// loadConnections is how many idle connections to one entry are kept.
const loadConnections = 512

type loadOptions struct {
	Entries     []string      `long:"entry" env:"WISTERIAQUAY_ENTRIES" env-delim:"," default:"http://127.0.0.1:7400" description:"URL of an entry VM; may be repeated"`
	Ready       []string      `long:"ready" env:"WISTERIAQUAY_READY" env-delim:"," description:"URL of the readiness endpoint of the entry in the same place; may be repeated"`
	Scale       float64       `long:"scale" env:"WISTERIAQUAY_LOAD_SCALE" default:"1" description:"multiplies all rates"`
	Services    []string      `long:"service" env:"WISTERIAQUAY_LOAD_SERVICES" env-delim:"," description:"sends the load of this service only; may be repeated"`
	Seconds     float64       `long:"seconds" env:"WISTERIAQUAY_LOAD_SECONDS" default:"10" description:"how long queries are sent"`
	Warm        float64       `long:"warm-seconds" env:"WISTERIAQUAY_LOAD_WARM_SECONDS" default:"3" description:"how long queries are sent before that, uncounted"`
	Seed        uint64        `long:"seed" env:"WISTERIAQUAY_LOAD_SEED" default:"1" description:"seed of the arrivals and requests"`
	ClientDelay time.Duration `long:"client-delay" env:"WISTERIAQUAY_LOAD_CLIENT_DELAY" default:"3ms" description:"delay between callers and entries, one way"`
	Counters    string        `long:"counters" env:"WISTERIAQUAY_LOAD_COUNTERS" description:"URL of what the stand-in searchers counted, to check coverage against"`
	JSON        string        `long:"json" env:"WISTERIAQUAY_LOAD_JSON" description:"file that the report is written to as JSON"`
	Timeout     time.Duration `long:"timeout" env:"WISTERIAQUAY_TIMEOUT" default:"2s" description:"longest wait for an answer"`
	Note        bool          `long:"note" description:"print the release note of the deployment and send nothing"`
	Host        string        `long:"note-host" default:"127.0.0.1" description:"host of the searchers in the note"`
	Port        int           `long:"note-port" default:"20000" description:"first port of the searchers in the note"`
}

// cmdLoad sends the load of a deployment and reports what came back.
var cmdLoad = &command{
	Name: "load",
	Args: "DEPLOYMENT",
	Help: "send the queries of manometros or verhaegen and check every answer",
	Action: func(ctx context.Context, c console, args []string) error {
		o := &loadOptions{}
		rest, err := parse(o, "load DEPLOYMENT", args, 1)
		if err != nil {
			return err
		}
		return load(ctx, c, o, rest[0])
	},
}

func load(ctx context.Context, c console, o *loadOptions, name string) error {
	shape, known := wqdeployment.Find(name)
	if !known {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("there is no deployment %q", name), "use manometros or verhaegen")
	}
	if o.Note {
		data, err := wqdocument.EncodeNote(shape.Note(o.Host, o.Port))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.Out, string(data))
		return err
	}
	if len(o.streams(&shape)) == 0 {
		return wqfault.New(wqfault.BadInput, fmt.Sprintf("%s has none of the services %q", name, o.Services), "correct --service")
	}
	entries, err := o.entries()
	if err != nil {
		return err
	}
	run := &wqload.Generator{
		Entries:       entries,
		Streams:       o.streams(&shape),
		Seconds:       o.Seconds,
		WarmUpSeconds: o.Warm,
		Seed:          o.Seed,
		ClientDelay:   o.ClientDelay,
		CountersURL:   o.Counters,
		Client:        o.client(),
		Progress:      progress(c.Err),
	}
	report, err := run.Run(ctx)
	if err != nil {
		return err
	}
	return o.write(c, &report)
}

// streams returns the load of the services that were named, else of all.
func (o *loadOptions) streams(shape *wqdeployment.Deployment) []wqload.Stream {
	all := shape.Streams(o.Scale)
	if len(o.Services) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(s wqload.Stream) bool { return !slices.Contains(o.Services, s.Service) })
}

func (o *loadOptions) entries() ([]wqload.Entry, error) {
	if len(o.Ready) != 0 && len(o.Ready) != len(o.Entries) {
		message := fmt.Sprintf("%d --ready for %d --entry", len(o.Ready), len(o.Entries))
		return nil, wqfault.New(wqfault.BadInput, message, "name one readiness endpoint for each entry, or none")
	}
	entries := make([]wqload.Entry, len(o.Entries))
	for i, url := range o.Entries {
		entries[i].URL = url
		if len(o.Ready) > 0 {
			entries[i].ReadinessURL = o.Ready[i]
		}
	}
	return entries, nil
}

func (o *loadOptions) client() *http.Client {
	return &http.Client{
		Timeout:   o.Timeout + slack,
		Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections},
	}
}

// progress returns where progress goes: the terminal, if there is one.
func progress(w io.Writer) io.Writer {
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		return f
	}
	return nil
}

func (o *loadOptions) write(c console, r *wqtally.Report) error {
	if err := r.WriteTable(c.Out); err != nil {
		return err
	}
	if o.JSON != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	if len(r.Total.WrongAnswers) > 0 || r.CoverageOverstated {
		return wqfault.New(wqfault.Broken, "answers were wrong", "read the report: each kind of fault is counted")
	}
	return nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqdocument"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/io/wqvmlist"
	"wisteriaquay/test/wqfakelist"
	"wisteriaquay/test/wqfakesearcher"
	"wisteriaquay/test/wqfakestore"
)

// serveCommand holds the options of `wqstand serve`.
type serveCommand struct {
	Note           string   `long:"note" required:"true" description:"release note whose added searchers are hosted"`
	Store          string   `long:"store-listen" default:"127.0.0.1:8200" description:"address of the store"`
	VMList         string   `long:"vm-list-listen" default:"127.0.0.1:8201" description:"address of the VM list"`
	Control        string   `long:"control-listen" default:"127.0.0.1:8202" description:"address of GET /counters and GET /runs over all searchers"`
	VMs            []string `long:"vm" description:"a VM of the list as ID,ADDRESS,ZONE,REGION; may be repeated"`
	Seed           uint64   `long:"seed" default:"1" description:"seed of service times"`
	ServiceMillis  float64  `long:"service-millis" default:"4" description:"mean time of a request, in milliseconds"`
	BatchShare     float64  `long:"batch-share" default:"0.2" description:"what each further sub-query of a request adds, as a share of its time"`
	StragglerShare float64  `long:"straggler-share" default:"0" description:"share of requests that straggle"`
	Straggler      float64  `long:"straggler-factor" default:"10" description:"how many times longer a straggler takes"`
	ConnectMillis  float64  `long:"connect-millis" default:"1" description:"time to make a connection, in milliseconds"`
	Cold           bool     `long:"cold" description:"start the searchers cold"`
	Preload        bool     `long:"preload" description:"put the note's topology into the store at the start"`
	Snapshot       uint64   `long:"snapshot" default:"1" description:"newest snapshot that the searchers hold"`

	ctx context.Context //nolint:containedctx // go-flags calls Execute without a context.
}

// Execute runs the stand-ins until the context ends.
func (s *serveCommand) Execute([]string) error { return s.serve() }

func (s *serveCommand) serve() error {
	data, err := os.ReadFile(s.Note)
	if err != nil {
		return err
	}
	note, err := wqdocument.DecodeNote(data)
	if err != nil {
		return err
	}
	vms, err := parseVMs(s.VMs)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(s.ctx)
	list := &wqfakelist.Server{}
	list.Set(vms)
	searchers := s.searchers(note.Added.Searchers)
	store := (&wqfakestore.Server{}).Handler()
	if s.Preload {
		if err := preload(store, note); err != nil {
			return err
		}
	}
	serveHTTP(ctx, group, s.Store, store)
	serveHTTP(ctx, group, s.VMList, list.Handler())
	serveHTTP(ctx, group, s.Control, summary(searchers))
	for i, a := range searchers {
		serveSearcher(ctx, group, a, note.Added.Searchers[i].Address)
	}
	return group.Wait()
}

func (s *serveCommand) searchers(described []wqtopology.Searcher) []*wqfakesearcher.Server {
	searchers := make([]*wqfakesearcher.Server, 0, len(described))
	for _, d := range described {
		k := wqfakesearcher.Settings{
			Slots: d.Slots, Batch: d.Batch, Connections: d.Connections, ColdSlots: d.ColdSlots,
			ConnectMillis: s.ConnectMillis, ServiceMillis: s.ServiceMillis, BatchShare: s.BatchShare,
			StragglerShare: s.StragglerShare, StragglerFactor: s.Straggler,
			OldestSnapshot: 1, NewestSnapshot: s.Snapshot,
		}
		if s.Cold {
			k.WarmMillis = float64(d.WarmMillis)
		}
		searchers = append(searchers, wqfakesearcher.New(d.ID, d.Service, d.Shard, k, s.Seed))
	}
	return searchers
}

func parseVMs(lines []string) ([]wqvmlist.VM, error) {
	const fields = 4
	var vms []wqvmlist.VM
	for _, l := range lines {
		f := strings.Split(l, ",")
		if len(f) != fields {
			return nil, fmt.Errorf("--vm %q: use ID,ADDRESS,ZONE,REGION", l)
		}
		vms = append(vms, wqvmlist.VM{ID: f[0], Address: f[1], Zone: f[2], Region: f[3]})
	}
	return vms, nil
}

func serveHTTP(ctx context.Context, group *errgroup.Group, address string, h http.Handler) {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		if err := server.ListenAndServe(); err != http.ErrServerClosed { //nolint:errorlint // never wrapped.
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

func serveSearcher(ctx context.Context, group *errgroup.Group, s *wqfakesearcher.Server, address string) {
	group.Go(func() error {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return s.Serve(ctx, l)
	})
}

// preload puts the topology that the note makes into the store.
func preload(store http.Handler, note *wqnote.Note) error {
	topology, err := wqnote.Apply(note, &wqtopology.Topology{})
	if err != nil {
		return err
	}
	value, err := wqdocument.EncodeTopology(topology)
	if err != nil {
		return err
	}
	server := httptest.NewServer(store)
	defer server.Close()
	c := &wqstore.Client{URL: server.URL, Timeout: time.Minute, HTTP: server.Client()}
	_, err = c.CompareAndSwap(context.Background(), wqstore.SwapRequest{Key: "wisteriaquay/head", Data: value})
	return err
}

// summary serves what all searchers together have seen.
func summary(searchers []*wqfakesearcher.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		all := make(map[string]wqfakesearcher.Counters, len(searchers))
		for _, s := range searchers {
			all[s.ID] = s.Counters()
		}
		_ = json.NewEncoder(w).Encode(all)
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		all := make(map[string][]wqfakesearcher.Execution, len(searchers))
		for _, s := range searchers {
			all[s.ID] = s.Executions()
		}
		_ = json.NewEncoder(w).Encode(all)
	})
	return mux
}

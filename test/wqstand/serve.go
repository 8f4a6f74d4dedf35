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
	NotePath        string   `long:"note" required:"true" description:"file of the release note whose added searchers are served"`
	StoreAddress    string   `long:"store-listen" default:"127.0.0.1:8200" description:"address of the store"`
	VMListAddress   string   `long:"vm-list-listen" default:"127.0.0.1:8201" description:"address of the VM list"`
	ControlAddress  string   `long:"control-listen" default:"127.0.0.1:8202" description:"address that serves GET /counters and GET /runs for all searchers"`
	VMs             []string `long:"vm" description:"a VM of the list as ID,ADDRESS,ZONE,REGION; may be repeated"`
	Seed            uint64   `long:"seed" default:"1" description:"seed of the service times"`
	ServiceMillis   float64  `long:"service-millis" default:"4" description:"mean service time of a request with one sub-query, in milliseconds"`
	BatchShare      float64  `long:"batch-share" default:"0.2" description:"time that each further sub-query of a request adds, as a share of the service time"`
	StragglerShare  float64  `long:"straggler-share" default:"0" description:"share of requests that are stragglers"`
	StragglerFactor float64  `long:"straggler-factor" default:"10" description:"factor of a straggler's service time"`
	ConnectMillis   float64  `long:"connect-millis" default:"1" description:"delay of the first request on a connection, in milliseconds"`
	StartCold       bool     `long:"cold" description:"start the searchers in cold start"`
	Preload         bool     `long:"preload" description:"put the note's topology into the store at the start"`
	NewestSnapshot  uint64   `long:"snapshot" default:"1" description:"newest snapshot that the searchers hold"`

	ctx context.Context //nolint:containedctx // go-flags calls Execute without a context.
}

// Execute runs the fake services until the context ends.
func (s *serveCommand) Execute([]string) error { return s.serve() }

func (s *serveCommand) serve() error {
	data, err := os.ReadFile(s.NotePath)
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
	searchers := s.newSearchers(note.Added.Searchers)
	store := (&wqfakestore.Server{}).Handler()
	if s.Preload {
		if err := preloadTopology(store, note); err != nil {
			return err
		}
	}
	serveHTTP(ctx, group, s.StoreAddress, store)
	serveHTTP(ctx, group, s.VMListAddress, list.Handler())
	serveHTTP(ctx, group, s.ControlAddress, summaryHandler(searchers))
	for i, a := range searchers {
		serveSearcher(ctx, group, a, note.Added.Searchers[i].Address)
	}
	return group.Wait()
}

func (s *serveCommand) newSearchers(configs []wqtopology.Searcher) []*wqfakesearcher.Server {
	searchers := make([]*wqfakesearcher.Server, 0, len(configs))
	for _, c := range configs {
		settings := wqfakesearcher.Settings{
			Slots: c.Slots, Batch: c.Batch, Connections: c.Connections, ColdSlots: c.ColdSlots,
			ConnectMillis: s.ConnectMillis, ServiceMillis: s.ServiceMillis, BatchShare: s.BatchShare,
			StragglerShare: s.StragglerShare, StragglerFactor: s.StragglerFactor,
			OldestSnapshot: 1, NewestSnapshot: s.NewestSnapshot,
		}
		if s.StartCold {
			settings.WarmMillis = float64(c.WarmMillis)
		}
		searchers = append(searchers, wqfakesearcher.New(c.ID, c.Service, c.Shard, settings, s.Seed))
	}
	return searchers
}

func parseVMs(values []string) ([]wqvmlist.VM, error) {
	const fieldCount = 4
	var vms []wqvmlist.VM
	for _, v := range values {
		fields := strings.Split(v, ",")
		if len(fields) != fieldCount {
			return nil, fmt.Errorf("--vm %q: use ID,ADDRESS,ZONE,REGION", v)
		}
		vms = append(vms, wqvmlist.VM{ID: fields[0], Address: fields[1], Zone: fields[2], Region: fields[3]})
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

// preloadTopology writes the topology that results from the note to the store.
func preloadTopology(store http.Handler, note *wqnote.Note) error {
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

// summaryHandler returns a handler of the counters and the executed write-like
// requests of all searchers, by searcher ID.
func summaryHandler(searchers []*wqfakesearcher.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		bySearcher := make(map[string]wqfakesearcher.Counters, len(searchers))
		for _, s := range searchers {
			bySearcher[s.ID] = s.Counters()
		}
		_ = json.NewEncoder(w).Encode(bySearcher)
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		bySearcher := make(map[string][]wqfakesearcher.Execution, len(searchers))
		for _, s := range searchers {
			bySearcher[s.ID] = s.Executions()
		}
		_ = json.NewEncoder(w).Encode(bySearcher)
	})
	return mux
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in one page of a listing.
const pageItems = 500

// store is a stand-in of the platform's metadata store: it lists and watches.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{items: make(map[string]item), changed: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes one item; the write is acknowledged when put returns.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.apply(item{Key: key, Tombstone: true}) }

func (s *store) apply(i item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision = s.revision
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			page = append(page, i)
		}
	}
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	truncated := len(page) > pageItems
	if truncated {
		page = page[:pageItems]
	}
	writeJSON(w, map[string]any{"items": page, "truncated": truncated, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for timedOut := false; ; {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || timedOut {
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // The reader may have disconnected.
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, with the calls that a reader needs.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	down     bool
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const pageItems = 500

func newStore(addr string) (*store, error) {
	s := &store{addr: addr, revision: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("GET /kv-key", s.get)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value as JSON. It returns false while the store is down.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	i := storeItem{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
	return true
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store answer every call with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	page := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(page) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": page[:min(len(page), pageItems)], "truncated": truncated, "asOf": s.revision})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	switch {
	case s.down:
		reply(w, http.StatusServiceUnavailable, struct{}{})
	case !ok:
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
	default:
		reply(w, http.StatusOK, struct {
			storeItem
			AsOf uint64 `json:"asOf"`
		}{i, s.revision})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		down, revision, changed := s.down, s.revision, s.changed
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if down {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

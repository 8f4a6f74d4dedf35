// Package wqfakeplatform stands in for the users' platform in tests: its store, its
// searchers and callers that check what they get. A Fleet runs the real program
// as several processes against it, over loopback.
//
// # Usage
//
//	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 3, Shards: 4})
//	f.Configure(f.Configuration(1))
//	reply := f.Ask(0, "/all/1", time.Second)
//	f.Check() // what searchers and callers saw keeps the promises
//
// Everything that was started ends with the test.
package wqfakeplatform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many items one page of a listing holds, few so that tests see
// several pages.
const pageItems = 5

// Store is the platform's store.
type Store struct {
	URL string

	mutex   sync.Mutex
	items   map[string]event
	history []event
	asOf    uint64
	oldest  uint64 // oldest is the revision before the first change that is remembered.
	changed chan struct{}
	down    bool
	silent  bool
	hushes  int // hushes counts how often it fell silent; calls from before get no answer.
	calls   int
}

// event is one item as the store tells of it.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// NewStore starts a store and returns the function that ends it.
func NewStore() (*Store, func()) {
	s := &Store{items: make(map[string]event), changed: make(chan struct{}), asOf: 1}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-range", s.list)
	m.HandleFunc("GET /kv-watch", s.watch)
	server := httptest.NewServer(m)
	s.URL = server.URL
	return s, func() {
		server.CloseClientConnections()
		server.Close()
	}
}

// Put writes one item.
func (s *Store) Put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value) // Tests put plain structs only.
	}
	s.change(event{Key: key, Value: data})
}

// Remove removes one item.
func (s *Store) Remove(key string) { s.change(event{Key: key, Tombstone: true}) }

// CompactHistory drops the history, so that watches must list again.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.oldest = nil, s.asOf
	s.wake()
}

// SetDown refuses all calls while it is true.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

// SetHanging takes calls and answers none while it is true, nor those in progress
// when it began.
func (s *Store) SetHanging(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if silent && !s.silent {
		s.hushes++
	}
	s.silent = silent
	s.wake()
}

// CallCount counts the calls so far.
func (s *Store) CallCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Store) change(e event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asOf++
	e.Revision = s.asOf
	s.history = append(s.history, e)
	if e.Tombstone {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refused counts a call and refuses it while the store is down.
func (s *Store) refused(w http.ResponseWriter) bool {
	s.calls++
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	if s.silent {
		s.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	defer s.mutex.Unlock()
	if s.refused(w) {
		return
	}
	var page []event
	for key, e := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b event) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(page) > pageItems
	_ = json.NewEncoder(w).Encode(struct {
		Items     []event `json:"items"`
		Truncated bool    `json:"truncated"`
		AsOf      uint64  `json:"asOf"`
	}{page[:min(len(page), pageItems)], truncated, s.asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64) // A test's program sends numbers.
	millis, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	s.mutex.Lock()
	hushes := s.hushes
	s.mutex.Unlock()
	for over := false; ; {
		s.mutex.Lock()
		if s.silent || s.hushes != hushes {
			s.mutex.Unlock()
			<-r.Context().Done()
			return
		}
		if s.refused(w) {
			s.mutex.Unlock()
			return
		}
		events, asOf, forgotten, changed := s.since(after), s.asOf, after < s.oldest, s.changed
		s.mutex.Unlock()
		if forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			_ = json.NewEncoder(w).Encode(struct {
				Events []event `json:"events"`
				AsOf   uint64  `json:"asOf"`
			}{events, asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(after uint64) []event {
	var events []event
	for _, e := range s.history {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events
}

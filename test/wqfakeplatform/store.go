// Package wqfakeplatform is a fake of the users' platform for tests: the store,
// the searchers and callers that record each reply. A Fleet runs the real program
// as several processes on loopback against this fake, with a fault-injecting
// proxy on the route to each searcher and from each VM to the store.
//
// # Usage
//
//	f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 3, Shards: 4})
//	shards := wqfakeplatform.Shards(1, 4)
//	f.PutConfiguration(f.Configuration(1, shards))
//	f.WaitReady()
//	reply := f.Send(f.VMs[0], http.MethodGet, "/all/1", "", time.Second)
//	must.SliceEmpty(t, f.Violations(shards))
//
// All processes and servers end with the test.
package wqfakeplatform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageSize is the maximum number of items in one page of a listing, small so
// that tests cover several pages.
const pageSize = 5

// Store is a fake of the platform's key-value store, served over HTTP at URL.
type Store struct {
	URL string

	mutex             sync.Mutex
	items             map[string]event
	history           []event
	values            map[string][]string // All values of each key; compaction and restores keep them.
	restores          map[string][]int    // Number of values of each key at each restore.
	authored          map[string]event    // Latest change of each key by Put or Remove, whether the store still has it or not.
	revision          uint64
	compactedRevision uint64 // Newest revision whose change is no longer in history.
	changed           chan struct{}
	down              bool
	hanging           bool
	hangEpoch         int // Number of hangs so far; a watch that began before the latest one gets no answer.
	calls             int
	transactions      Transactions
	era               atomic.Uint64 // Times that the store was restored, and 1.
}

// event is one change of an item, as listings and watches return it.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// NewStore starts a store and returns the function that stops it.
func NewStore() (*Store, func()) {
	s := &Store{items: make(map[string]event), values: make(map[string][]string), authored: make(map[string]event), restores: make(map[string][]int), changed: make(chan struct{}), revision: 1}
	s.era.Store(1)
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-range", s.list)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("GET /kv-key", s.get)
	m.HandleFunc("POST /kv-txn", s.transact)
	server := httptest.NewServer(s.withEra(m))
	s.URL = server.URL
	return s, func() {
		server.CloseClientConnections()
		server.Close()
	}
}

// Put writes one item: bytes as they are, any other value as JSON.
func (s *Store) Put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value) // Tests put plain structs only.
	}
	s.apply(event{Key: key, Value: data})
}

// Remove removes one item.
func (s *Store) Remove(key string) { s.apply(event{Key: key, Tombstone: true}) }

// CompactHistory drops all changes so far. Watches after an older revision get
// status 410 and have to list again.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// SetDown starts or ends an outage, in which all calls get status 503.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetHanging starts or ends a hang, in which calls are accepted and never
// answered. A watch in progress when the hang begins is never answered either.
func (s *Store) SetHanging(hanging bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hanging && !s.hanging {
		s.hangEpoch++
	}
	s.hanging = hanging
	s.notifyWatchers()
}

// CallCount returns the number of calls so far. A watch counts again each time it
// checks for events after a change or at the end of its wait.
func (s *Store) CallCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Store) apply(e event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.authored[e.Key] = e
	s.applyLocked(e)
}

func (s *Store) applyLocked(e event) {
	s.revision++
	e.Revision = s.revision
	s.history = append(s.history, e)
	if e.Tombstone {
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
		s.values[e.Key] = append(s.values[e.Key], string(e.Value))
	}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuseIfDown counts a call and, during an outage, answers it with status 503
// and returns true.
func (s *Store) refuseIfDown(w http.ResponseWriter) bool {
	s.calls++
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	if s.hanging {
		s.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	defer s.mutex.Unlock()
	if s.refuseIfDown(w) {
		return
	}
	var page []event
	for key, e := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b event) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(page) > pageSize
	_ = json.NewEncoder(w).Encode(struct {
		Items     []event `json:"items"`
		Truncated bool    `json:"truncated"`
		AsOf      uint64  `json:"asOf"`
	}{page[:min(len(page), pageSize)], truncated, s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64) // The program under test always sends numbers.
	waitMillis, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	s.mutex.Lock()
	hangEpoch := s.hangEpoch
	s.mutex.Unlock()
	for timedOut := false; ; {
		s.mutex.Lock()
		if s.hanging || s.hangEpoch != hangEpoch {
			s.mutex.Unlock()
			<-r.Context().Done()
			return
		}
		if s.refuseIfDown(w) {
			s.mutex.Unlock()
			return
		}
		compacted := after < s.compactedRevision || after > s.revision
		events, revision, changed := s.changesAfter(after), s.revision, s.changed
		s.mutex.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || timedOut {
			_ = json.NewEncoder(w).Encode(struct {
				Events []event `json:"events"`
				AsOf   uint64  `json:"asOf"`
			}{events, revision})
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

func (s *Store) changesAfter(after uint64) []event {
	var events []event
	for _, e := range s.history {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events
}

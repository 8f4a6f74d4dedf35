package wqfakeplatform

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// StoreCopy is the state of a store at one moment.
type StoreCopy struct {
	items    map[string]event
	history  []event
	revision uint64
}

// Copy returns a copy of the store's present state.
func (s *Store) Copy() StoreCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return StoreCopy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// Restore replaces the state by a copy, with its revision, and begins the next era. Writes
// since the copy are lost.
func (s *Store) Restore(c StoreCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.compactedRevision = min(s.compactedRevision, s.revision)
	for key, values := range s.values {
		s.restores[key] = append(s.restores[key], len(values))
	}
	s.era.Add(1)
	s.notifyWatchers()
}

// ValuesByEra returns all values that a key has had, oldest first, by the era in which they
// were written.
func (s *Store) ValuesByEra(key string) [][]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var byEra [][]string
	from := 0
	for _, to := range append(slices.Clone(s.restores[key]), len(s.values[key])) {
		byEra = append(byEra, slices.Clone(s.values[key][from:to]))
		from = to
	}
	return byEra
}

// WriteAgain applies the latest Put or Remove of each key that the store has lost.
func (s *Store) WriteAgain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, e := range s.authored {
		if current, ok := s.items[key]; ok == e.Tombstone || !bytes.Equal(current.Value, e.Value) {
			s.applyLocked(e)
		}
	}
}

// withEra names the store's era in all responses.
func (s *Store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// eraWriter adds the era at the time of the response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	wrote bool
}

// WriteHeader writes the status with the era.
func (w *eraWriter) WriteHeader(code int) {
	w.wrote = true
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.era.Load(), 10))
	w.ResponseWriter.WriteHeader(code)
}

// Write writes the header before the body.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

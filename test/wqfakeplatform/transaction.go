package wqfakeplatform

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Transactions is how the store handles transactions. The zero value applies and answers
// each.
type Transactions struct {
	Refuse       bool   // Refuse answers each with status 503 and applies none.
	LoseResponse bool   // LoseResponse applies each and closes its connection without a response.
	OnApplied    func() // OnApplied, if set, is called once a transaction was applied, before its response.
}

// SetTransactions changes how transactions are handled from now on.
func (s *Store) SetTransactions(t Transactions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transactions = t
}

// Value returns the value of a key, nil if it does not exist.
func (s *Store) Value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
}

// ValuesOf returns all values that a key has had, oldest first.
func (s *Store) ValuesOf(key string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.values[key])
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.refuseIfDown(w) {
		return
	}
	e, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(e)
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []event `json:"expect"`
		Puts   []event `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	if s.refuseIfDown(w) {
		s.mutex.Unlock()
		return
	}
	if s.transactions.Refuse {
		s.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var current []event
	matches := true
	for _, e := range txn.Expect {
		matches = matches && s.items[e.Key].Revision == e.Revision
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	for _, e := range txn.Puts {
		if matches {
			s.applyLocked(e)
		}
	}
	revision, behaviour := s.revision, s.transactions
	s.mutex.Unlock()
	respondTransaction(w, behaviour, matches, revision, current)
}

func respondTransaction(w http.ResponseWriter, b Transactions, matches bool, revision uint64, current []event) {
	if matches && b.OnApplied != nil {
		b.OnApplied()
	}
	if b.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if !matches {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(struct {
			Items []event `json:"items"`
		}{current})
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

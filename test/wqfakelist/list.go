// Package wqfakelist is a small stand-in of the platform's VM list for tests,
// with its lag.
//
// # Usage
//
//	s := &wqfakelist.Server{Lag: 2 * time.Second}
//	s.Set([]wqvmlist.VM{{ID: "vm1", Address: "127.0.0.1:7001", Zone: "a", Region: "r"}})
//	h := httptest.NewServer(s.Handler())
//
// Over HTTP, POST /control takes {"vms": [...], "lag_millis": N} and replaces
// both; what was set before is still answered until the lag is over.
package wqfakelist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"wisteriaquay/io/wqvmlist"
)

// maxBody bounds a control request, in bytes.
const maxBody = 1 << 20

// Server is one VM list in memory. The zero value is an empty list.
type Server struct {
	Lag time.Duration // Lag is how long a change stays hidden; set it before Handler.

	mu      sync.Mutex
	history []listing
}

type listing struct {
	vms []wqvmlist.VM
	at  time.Time
}

// Set replaces the list; readers see it after the lag.
func (s *Server) Set(vms []wqvmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, listing{vms, time.Now()})
}

// Handler returns the list call and the control call.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/vms", s.list)
	m.HandleFunc("POST /control", s.control)
	return m
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := time.Now().Add(-s.Lag)
	for len(s.history) > 1 && !s.history[1].at.After(seen) {
		s.history = s.history[1:]
	}
	vms := []wqvmlist.VM{}
	if len(s.history) > 0 && !s.history[0].at.After(seen) {
		vms = s.history[0].vms
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		VMs []wqvmlist.VM `json:"vms"`
	}{vms})
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var body struct {
		VMs       []wqvmlist.VM `json:"vms"`
		LagMillis int           `json:"lag_millis"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.Lag = time.Duration(body.LagMillis) * time.Millisecond
	s.mu.Unlock()
	s.Set(body.VMs)
	w.WriteHeader(http.StatusOK)
}

// Package wqfakelist is an in-memory fake of the platform's VM list for tests.
// Changes become visible to readers after a configurable lag, as on the platform.
//
// # Usage
//
//	s := &wqfakelist.Server{Lag: 2 * time.Second}
//	s.Set([]wqvmlist.VM{{ID: "vm1", Address: "127.0.0.1:7001", Zone: "a", Region: "r"}})
//	h := httptest.NewServer(s.Handler())
//
// Over HTTP, POST /control takes {"vms": [...], "lag_millis": N} and replaces
// both. Until the lag has passed, readers get the list that was set before.
package wqfakelist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"wisteriaquay/io/wqvmlist"
)

// maxBodyBytes limits the body of a control request.
const maxBodyBytes = 1 << 20

// Server holds one VM list in memory. The zero value is an empty list.
type Server struct {
	Lag time.Duration // Lag is the time from Set until readers see the change; set it before Handler.

	mu      sync.Mutex
	history []listing
}

type listing struct {
	vms   []wqvmlist.VM
	setAt time.Time
}

// Set replaces the list. Readers get the new list after Lag.
func (s *Server) Set(vms []wqvmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, listing{vms, time.Now()})
}

// Handler serves GET /v1/vms, as the platform does, and POST /control.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/vms", s.list)
	m.HandleFunc("POST /control", s.control)
	return m
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.Lag)
	for len(s.history) > 1 && !s.history[1].setAt.After(cutoff) {
		s.history = s.history[1:]
	}
	vms := []wqvmlist.VM{}
	if len(s.history) > 0 && !s.history[0].setAt.After(cutoff) {
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.Lag = time.Duration(body.LagMillis) * time.Millisecond
	s.mu.Unlock()
	s.Set(body.VMs)
	w.WriteHeader(http.StatusOK)
}

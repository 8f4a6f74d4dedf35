package wqfakesearcher

import (
	"encoding/json"
	"net/http"
)

// ControlHandler serves the controls alone: `POST /control` changes the knobs it
// names, `POST /control/restart` restarts, `GET /control`, `/control/runs` and
// `/control/counters` read.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	s.addControls(mux)
	return mux
}

func (s *Server) addControls(mux *http.ServeMux) {
	mux.HandleFunc("POST /control", s.change)
	mux.HandleFunc("POST /control/restart", func(http.ResponseWriter, *http.Request) { s.Restart() })
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, FaultNone, http.StatusOK, s.Settings())
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, FaultNone, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, FaultNone, http.StatusOK, s.Counters())
	})
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.knobs
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.knobs = k
}

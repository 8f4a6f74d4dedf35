package wqfakesearcher

import (
	"encoding/json"
	"net/http"
)

// ControlHandler returns a handler of the control endpoints alone:
// `POST /control` changes the settings that its JSON body names,
// `POST /control/restart` restarts the searcher, and `GET /control`,
// `/control/runs` and `/control/counters` return its settings, its executions of
// write-like requests and its counters.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	s.addControlEndpoints(mux)
	return mux
}

func (s *Server) addControlEndpoints(mux *http.ServeMux) {
	mux.HandleFunc("POST /control", s.handleSettings)
	mux.HandleFunc("POST /control/restart", func(http.ResponseWriter, *http.Request) { s.Restart() })
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, FaultNone, http.StatusOK, s.Settings())
	})
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, FaultNone, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, FaultNone, http.StatusOK, s.Counters())
	})
}

func (s *Server) handleSettings(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings := s.settings
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.settings = settings
}

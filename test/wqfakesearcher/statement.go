package wqfakesearcher

import "net/http"

// reportLeaving returns a handler whose replies say that the searcher is leaving, if its
// settings say so.
func (s *Server) reportLeaving(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Settings().ReportLeaving {
			w.Header().Set("Server-Leaving", "1")
		}
		next(w, r)
	}
}

// setRetryAfter sets the time for which a searcher that rejects a request wants none.
func setRetryAfter(w http.ResponseWriter, settings Settings) {
	if settings.RetryAfter != "" {
		w.Header().Set("Retry-After", settings.RetryAfter)
	}
}

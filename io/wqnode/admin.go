package wqnode

import (
	"fmt"
	"net/http"

	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqmetric"
)

// adminHandler serves /metrics, /livez and /readyz.
func adminHandler(m *wqmetric.Metrics, view func() *wqview.View) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := view().NotReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return mux
}

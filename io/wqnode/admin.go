package wqnode

import (
	"fmt"
	"net/http"

	"wisteriaquay/core/wqmember"
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
		if reason := notReady(view()); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return mux
}

// notReady returns why the balancer should send no callers here, empty when it
// should.
func notReady(v *wqview.View) string {
	switch {
	case v == nil || v.Index == nil || v.Index.Topology.Revision == 0:
		return "no configuration yet; it comes from the store or from a peer"
	case v.Stopping || v.Self.State >= wqmember.Leaving:
		return "stopping"
	case v.Isolated:
		return "too few peers answer; check the network of this VM"
	case !v.Settled:
		return "the searchers' shares rest after the start; they are used within the handover time of 10 s"
	case v.Index.ZoneOut(v.Self.Zone):
		return "the availability zone of this VM is out, or no release note names it"
	}
	return ""
}

package wqfakesearcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakesearcher"
)

// Guards against a fake that does not send what it is set to report about itself.
func TestReportsAreInTheHeader(t *testing.T) {
	settings := benchSettings()
	settings.ReportLeaving, settings.RetryAfter, settings.Slots = true, "0.5", 0
	h := wqfakesearcher.New("s", "bench", "b000", settings, seed).Handler()
	for path, want := range map[string]string{"/v1/search": "0.5", "/v1/write": "0.5", "/v1/health": ""} {
		method := http.MethodPost
		if path == "/v1/health" {
			method = http.MethodGet
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader("{}")))
		must.Eq(t, "1", w.Header().Get("Server-Leaving"))
		must.Eq(t, want, w.Header().Get("Retry-After"), must.Sprint(path))
	}
}

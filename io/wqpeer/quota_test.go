package wqpeer_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotaroster"
	"wisteriaquay/io/wqpeer"
)

// Guards against fields of messages on quotas that are lost on the way.
func TestQuotaMessagesArriveComplete(t *testing.T) {
	message := wqquota.Message{From: "vm-1", Kind: wqquota.Push, Entries: []wqquota.Entry{{
		Tenant: "shop", Rate: 2.5, Burst: 7, Admitted: []time.Duration{time.Second}, Returned: []time.Duration{2 * time.Millisecond}, WantHistory: true,
	}}}
	reply := wqquota.Reply{Answers: []wqquota.Answer{{Tenant: "shop", Strict: true, Granted: true, Blind: true, Unsettled: true, Wait: time.Second, History: []time.Duration{3 * time.Second}, Full: true}}}
	var got wqquota.Message
	server := httptest.NewServer((&wqpeer.Handler{HandleQuota: func(m wqquota.Message) wqquota.Reply { got = m; return reply }}).Routes())
	defer server.Close()
	c := &wqpeer.Client{HTTP: http.DefaultClient, Log: slog.New(slog.DiscardHandler)}
	r, err := c.SendQuota(t.Context(), wqquotaroster.VM{Address: strings.TrimPrefix(server.URL, "http://")}, message)
	must.NoError(t, err)
	must.Eq(t, message, got)
	must.Eq(t, reply, r)
}

// Guards against messages out of range that reach the counts or end the VM.
func TestMalformedQuotaMessagesAreRefused(t *testing.T) {
	handled := 0
	routes := (&wqpeer.Handler{HandleQuota: func(wqquota.Message) wqquota.Reply { handled++; return wqquota.Reply{} }}).Routes()
	post := func(h http.Handler, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/quota", strings.NewReader(body)))
		return w.Code
	}
	for _, body := range []string{
		``, `{`, `[]`, `{}`, `{"kind":"other"}`, `{"kind":"ask","entries":[{"tenant":""}]}`, `{"kind":"ask","entries":[{"tenant":"` + strings.Repeat("a", 300) + `"}]}`,
		`{"kind":"report","entries":[` + strings.Repeat(`{"tenant":"a"},`, 300) + `{"tenant":"a"}]}`, `{"kind":"ask","from":"` + strings.Repeat("a", 2<<20) + `"}`,
		`{"kind":"report","entries":[{"tenant":"a","admitted_millis":[1e300]}]}`,
	} {
		must.Eq(t, http.StatusBadRequest, post(routes, body), must.Sprint(body[:min(len(body), 50)]))
	}
	must.Eq(t, 0, handled)
	must.Eq(t, http.StatusOK, post(routes, `{"kind":"report","entries":[{"tenant":"a","admitted_millis":[-5,99999999999999]}]}`))
	must.Eq(t, http.StatusBadRequest, post((&wqpeer.Handler{}).Routes(), `{"kind":"report"}`), must.Sprint("a VM without quotas"))
}

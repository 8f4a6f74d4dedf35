package wqpeer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqsend"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqpeer"
)

func TestPlacementMessageArrivesUnchanged(t *testing.T) {
	q := wqplacer.Request{
		Number: 7, Service: "orders", Zone: "a", Typical: 160 * time.Millisecond, Remaining: 2 * time.Second, Objective: time.Second,
		Kind: wqcost.Kind{Route: "r-1", Tenant: "acme", Method: "GET", Path: "/orders/eu/", BodyBytes: 120},
	}
	sent := wqplacer.Message{From: "vm-1/5", Request: &q, Reports: []wqplacer.Report{{Request: q, Searcher: "x"}, {Request: wqplacer.Request{Number: 6, Service: "orders"}, Searcher: "y", Ended: true, Outcome: wqsend.Cancelled}}}
	var received wqplacer.Message
	h := &wqpeer.Handler{Placement: func(m wqplacer.Message) wqplacer.Advice {
		received = m
		return wqplacer.Advice{Searcher: "x", Wait: 3 * time.Millisecond, Cost: 160 * time.Millisecond}
	}}
	server := httptest.NewServer(h.Routes())
	defer server.Close()
	bytesSent := 0
	c := &wqpeer.Client{HTTP: server.Client(), CountBytes: func(_, _ string, n int) { bytesSent += n }}
	vm := &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "vm-2", Address: strings.TrimPrefix(server.URL, "http://")}}
	a, err := c.Place(t.Context(), vm, sent)
	must.NoError(t, err)
	must.Eq(t, sent, received)
	must.Eq(t, wqplacer.Advice{Searcher: "x", Wait: 3 * time.Millisecond, Cost: 160 * time.Millisecond}, a)
	t.Logf("%d bytes of bodies", bytesSent)
}

// Guards against messages out of range, and against placing for others where the
// setting does not ask for it.
func TestPlacementMessagesAreChecked(t *testing.T) {
	post := func(h *wqpeer.Handler, body string) int {
		w := httptest.NewRecorder()
		h.Routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/placement", strings.NewReader(body)))
		return w.Code
	}
	must.Eq(t, http.StatusServiceUnavailable, post(&wqpeer.Handler{}, "{}"))
	h := &wqpeer.Handler{Placement: func(m wqplacer.Message) wqplacer.Advice {
		must.LessEq(t, wqsend.Cancelled, m.Reports[0].Outcome)
		must.Between(t, 0, m.Reports[0].Request.Remaining, time.Hour)
		return wqplacer.Advice{}
	}}
	must.Eq(t, http.StatusBadRequest, post(h, "{"))
	must.Eq(t, http.StatusBadRequest, post(h, `{"from":"`+strings.Repeat("x", 1<<20)+`"}`))
	must.Eq(t, http.StatusOK, post(h, `{"reports":[{"outcome":255,"remaining_micros":9223372036854775807}]}`))
}

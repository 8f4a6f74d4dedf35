package wqnode

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

// endless is a body without an end that counts what is read of it; it ends the
// test's patience at most.
type endless struct{ read, most int }

func (e *endless) Read(b []byte) (int, error) {
	if e.read > e.most {
		return 0, http.ErrBodyReadAfterClose
	}
	e.read += len(b)
	return len(b), nil
}

func TestOversizedInputIsNotReadWhole(t *testing.T) {
	const patience, buffer = 64 << 20, 64 << 10
	n := &Node{}
	n.view.Store(&wqview.View{})
	for _, c := range []struct {
		path, kind string
		handler    http.Handler
		bound      int
	}{
		{wqpbconnect.QueryServiceQueryProcedure, "application/proto", n.callerHandler(), maxRequestBytes},
		{wqpbconnect.OperatorServicePublishProcedure, "application/proto", n.callerHandler(), maxNoteBytes},
		{wqpb.PeerServicePathPrefix + "Heartbeat", "application/protobuf", n.peerHandler(), wqheartbeat.MaxBytes},
	} {
		body := &endless{most: patience}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, c.path, body)
		r.Header.Set("Content-Type", c.kind)
		w := httptest.NewRecorder()
		c.handler.ServeHTTP(w, r)
		must.GreaterEq(t, http.StatusBadRequest, w.Code, must.Sprintf("%s: %s", c.path, w.Body))
		must.LessEq(t, 2*c.bound+buffer, body.read, must.Sprintf("%s has read %d bytes, its bound is %d", c.path, body.read, c.bound))
	}
}

package wqnode

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

// TestOversizedInputIsRefusedBeforeItIsRead sends each listener more than its
// bound.
func TestOversizedInputIsRefusedBeforeItIsRead(t *testing.T) {
	n := &Node{}
	n.view.Store(&wqview.View{})
	for _, c := range []struct {
		path    string
		handler http.Handler
		size    int
	}{
		{wqpbconnect.QueryServiceQueryProcedure, n.callerHandler(), maxRequestBytes + 1},
		{wqpbconnect.OperatorServicePublishProcedure, n.callerHandler(), maxNoteBytes + 1},
		{wqpb.PeerServicePathPrefix + "Heartbeat", n.peerHandler(), wqheartbeat.MaxBytes + 1},
	} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, c.path, bytes.NewReader(make([]byte, c.size)))
		r.Header.Set("Content-Type", "application/proto")
		if c.size == wqheartbeat.MaxBytes+1 {
			r.Header.Set("Content-Type", "application/protobuf")
		}
		w := httptest.NewRecorder()
		c.handler.ServeHTTP(w, r)
		must.GreaterEq(t, http.StatusBadRequest, w.Code, must.Sprintf("%s: %s", c.path, w.Body))
		must.Less(t, http.StatusInternalServerError, w.Code, must.Sprintf("%s: %s", c.path, w.Body))
	}
}

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

// endlessBody is a request body without an end. It counts the bytes that are read
// and fails reads after maxBytes, so that a handler without a limit fails the test
// instead of hanging it.
type endlessBody struct{ bytesRead, maxBytes int }

func (e *endlessBody) Read(b []byte) (int, error) {
	if e.bytesRead > e.maxBytes {
		return 0, http.ErrBodyReadAfterClose
	}
	e.bytesRead += len(b)
	return len(b), nil
}

func TestOversizedBodyIsNotReadInFull(t *testing.T) {
	const readLimit, readBuffer = 64 << 20, 64 << 10
	n := &Node{}
	n.view.Store(&wqview.View{})
	for _, c := range []struct {
		path, contentType string
		handler           http.Handler
		limit             int
	}{
		{wqpbconnect.QueryServiceQueryProcedure, "application/proto", n.callerHandler(), maxRequestBytes},
		{wqpbconnect.OperatorServicePublishProcedure, "application/proto", n.callerHandler(), maxNoteBytes},
		{wqpb.PeerServicePathPrefix + "Heartbeat", "application/protobuf", n.peerHandler(), wqheartbeat.MaxBytes},
	} {
		body := &endlessBody{maxBytes: readLimit}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, c.path, body)
		r.Header.Set("Content-Type", c.contentType)
		w := httptest.NewRecorder()
		c.handler.ServeHTTP(w, r)
		must.GreaterEq(t, http.StatusBadRequest, w.Code, must.Sprintf("%s: %s", c.path, w.Body))
		must.LessEq(t, 2*c.limit+readBuffer, body.bytesRead, must.Sprintf("%s read %d bytes; its limit is %d", c.path, body.bytesRead, c.limit))
	}
}

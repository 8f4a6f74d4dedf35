package wqpeer

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
	"sync"
)

// minCompressedBytes is the length of a body from which compression saves more than
// it costs.
const minCompressedBytes = 1 << 10

// compress returns a handler that compresses the replies of next for callers that
// accept it. It holds each reply back until next returns, so next must not stream.
// Lists of members and items repeat the same few names, and VMs pay for bytes between
// availability zones.
func compress(next http.Handler) http.Handler {
	writers := sync.Pool{New: func() any {
		w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // The level is valid, so there is no error.
		return w
	}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		held := &heldReply{ResponseWriter: w, code: http.StatusOK}
		next.ServeHTTP(held, r)
		if held.body.Len() < minCompressedBytes {
			w.WriteHeader(held.code)
			_, _ = w.Write(held.body.Bytes()) // On an error the caller gets an incomplete reply.
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Del("Content-Length")
		w.WriteHeader(held.code)
		writer := writers.Get().(*gzip.Writer)
		defer writers.Put(writer)
		writer.Reset(w)
		_, _ = writer.Write(held.body.Bytes())
		_ = writer.Close() // On an error the caller gets an incomplete reply.
	})
}

// heldReply is a ResponseWriter that keeps the status and the body.
type heldReply struct {
	http.ResponseWriter
	code int
	body bytes.Buffer
}

// WriteHeader keeps the status.
func (h *heldReply) WriteHeader(code int) { h.code = code }

// Write keeps a part of the body.
func (h *heldReply) Write(p []byte) (int, error) { return h.body.Write(p) }

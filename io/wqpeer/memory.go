package wqpeer

import (
	"io"
	"net/http"
	"time"

	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/io/wqhttp"
)

const (
	requestCost = 16 << 10 // requestCost is what a request holds beside its body, in bytes.
	// decodedFactor is how much a body takes for each of its bytes: what is read, what is
	// decoded, and what is garbage while the buffers grow.
	decodedFactor = 3
	// sendCost is what a fan-out holds for each searcher beside the header, in bytes.
	sendCost  = 4 << 10
	fieldCost = 100 // fieldCost is what a header field holds beside its text, in bytes.
	// bodyTimeout bounds the time for a body. VMs send the whole request at once, and wait
	// for its reply for a second or the time of a route.
	bodyTimeout = 5 * time.Second
)

// limitMemory returns a handler whose requests and bodies are held within the memory
// budget of their listener.
func limitMemory(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := wqhttp.ConnectionOf(r.Context())
		if !conn.Reserve(requestCost) {
			refuseForMemory(w)
			return
		}
		defer conn.Release(requestCost)
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails only where a test replaces the connection.
		body := &meteredBody{ReadCloser: r.Body, conn: conn, onEnd: func() { _ = controller.SetReadDeadline(time.Time{}) }}
		defer func() { conn.Release(body.reserved) }()
		metered := r.WithContext(r.Context()) // The server looks at the body of its own request to close the connection gracefully.
		metered.Body = body
		conn.SetPhase(wqmemorybudget.Receiving)
		next.ServeHTTP(w, metered)
	})
}

// refuseForMemory replies that a request has not run.
func refuseForMemory(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // The body may still arrive.
	http.Error(w, "the memory for peers is in use; send the request to another VM", http.StatusServiceUnavailable)
}

// meteredBody reserves memory for a body as it is read.
type meteredBody struct {
	io.ReadCloser
	conn           *wqhttp.Connection
	read, reserved int64
	onEnd          func()
	ended          bool
}

// Read reads, and returns wqhttp.ErrNoMemory when there is no memory for the body.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if need := decodedFactor * b.read; need > b.reserved {
		if !b.conn.Reserve(need) { // Twice as much as is needed, for few calls.
			return 0, wqhttp.ErrNoMemory
		}
		b.reserved += need
	}
	if err != nil {
		b.end()
	}
	return n, err
}

// end ends the wait for the rest of the body.
func (b *meteredBody) end() {
	if !b.ended {
		b.ended = true
		b.conn.SetPhase(wqmemorybudget.Running)
		b.onEnd()
	}
}

// fanOutCost returns what a fan-out holds for its sends, each of which has the header.
func fanOutCost(r *fanOutRequest) int64 {
	header := 0
	for name, values := range r.Header {
		header += fieldCost + len(name)
		for _, v := range values {
			header += len(v)
		}
	}
	return int64(len(r.Route.Shards) * (header + sendCost))
}

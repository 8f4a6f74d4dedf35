package wqpeer_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqpeer"
)

// startVM starts a controller with its peer listener.
func startVM(t *testing.T) (*wqcontroller.Controller, *httptest.Server) {
	c := wqcontroller.New(wqmember.Member{ID: "vm", Zone: "a", Epoch: 1}, func(wqmirror.Item) wqchange.Change { return wqchange.Change{} })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	s := httptest.NewServer((&wqpeer.Handler{Controller: c}).Routes())
	t.Cleanup(s.Close)
	return c, s
}

// registrations returns items as the searchers of a large fleet write them, and one
// that is not UTF-8.
func registrations(count int) wqmirror.Batch {
	b := wqmirror.Batch{StoreRevision: uint64(count) + 1, Full: true}
	for i := range count {
		n := strconv.Itoa(i)
		value := `{"service":"service-` + n + `","address":"10.0.0.` + n + `:8102","zone":"mendoza-1","version":"v1","slots":3,"state":"ready","seq":1}`
		b.Items = append(b.Items, wqmirror.Item{Key: "servers/i-" + n, Value: []byte(value), Revision: uint64(i) + 1})
	}
	b.Items = append(b.Items, wqmirror.Item{Key: "servers/odd", Value: []byte{0xff, 0}, Revision: uint64(count) + 1})
	return b
}

func TestItemsTravelUnchanged(t *testing.T) {
	from, server := startVM(t)
	to, _ := startVM(t)
	want := registrations(100)
	from.Deliver(t.Context(), want)
	var received atomic.Int64
	client := &wqpeer.Client{
		Controller: to, HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true}}, Log: slog.New(slog.DiscardHandler),
		CountBytes: func(_, _ string, n int) { received.Add(int64(n)) },
	}
	client.FetchItems(wqmember.Member{ID: "vm", Address: strings.TrimPrefix(server.URL, "http://")}, 0)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool { return to.StoreRevision() == want.StoreRevision })))
	got, ok := to.BatchSince(t.Context(), 0)
	must.True(t, ok)
	must.Len(t, len(want.Items), got.Items)
	must.Less(t, 5000, received.Load(), must.Sprint("the client asks for compression, whatever its transport does"))
	values := make(map[string]string)
	for _, i := range got.Items {
		values[i.Key] = string(i.Value)
	}
	for _, i := range want.Items {
		must.Eq(t, string(i.Value), values[i.Key])
	}
}

// The items of a large fleet must take a fifth of their plain size at most on the way
// between two VMs, as each VM fetches all of them at its start.
func TestItemsAreCompressed(t *testing.T) {
	from, server := startVM(t)
	from.Deliver(t.Context(), registrations(600))
	size := func(path, encoding string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, http.NoBody)
		must.NoError(t, err)
		r.Header.Set("Accept-Encoding", encoding)
		response, err := server.Client().Do(r)
		must.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return len(body)
	}
	must.Less(t, size("/v1/items?after=0", "identity")/5, size("/v1/items?after=0&text", "gzip"))
}

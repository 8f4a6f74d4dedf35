package wqpeer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/io/wqhttp"
)

// Guards against requests of peers for which there is no memory and that run, or that
// are taken for malformed ones: the sender would not ask another hub.
func TestFanOutBeyondTheMemoryIsRefusedAsNotRun(t *testing.T) {
	s := &wqhttp.Server{
		Handler: (&Handler{}).Routes(), HTTP2: true, Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{} }, Log: slog.New(slog.DiscardHandler),
		Budget: &wqmemorybudget.Budget[*wqhttp.Connection]{Limit: 2 << 20, MaxConnections: 10, ConnectionCost: wqhttp.ConnectionCost},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	held, _ := s.Budget.Open(time.Now(), nil) // Another connection holds most of the memory.
	held.SetPhase(wqmemorybudget.Running)
	_, _ = s.Budget.Charge(time.Now(), held, 1500<<10)
	for _, http2 := range []bool{false, true} {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		response, err := client.Post("http://"+l.Addr().String()+fanOutPath, "application/json", strings.NewReader(`{"path":"`+strings.Repeat("x", 1<<20)+`"}`))
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		response, err = client.Get("http://" + l.Addr().String() + fanOutPath)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint("a ping needs little"))
		client.CloseIdleConnections()
	}
}

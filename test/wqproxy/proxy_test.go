package wqproxy_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqproxy"
)

func TestInjectedFaults(t *testing.T) {
	var served atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer s.Close()
	p, stop := wqproxy.New(t, strings.TrimPrefix(s.URL, "http://"))
	defer stop()
	get := func() error {
		c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		reply, err := c.Get("http://" + p.Address())
		if err == nil {
			err = reply.Body.Close()
		}
		return err
	}
	must.NoError(t, get())
	p.Disconnect()
	must.Error(t, get())
	p.Heal()
	must.NoError(t, get())
	p.Blackhole()
	must.Error(t, get())
	must.Eq(t, 2, served.Load())
	p.Heal()
	p.ResetReplies(0)
	must.Error(t, get())
	must.Eq(t, 3, served.Load())
	p.Heal()
	must.NoError(t, get())
}

// Package wqproxy puts a fault-injecting proxy on one TCP route of a test.
//
// # Usage
//
//	w, release := wqproxy.New(t, "127.0.0.1:7401")
//	defer release()
//	w.Cut()      // refuses connections and closes those that are open
//	w.Swallow()  // takes bytes and delivers none, both ways
//	w.LoseReplies(0) // delivers requests and resets once a reply comes
//	w.Heal()
package wqproxy

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// Proxy is a proxy in front of one address.
type Proxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
	mu    sync.Mutex
	names []string
	down  bool
}

// New returns a wire to upstream, which need not listen yet, and the function
// that ends it.
func New(t *testing.T, upstream string) (*Proxy, func()) {
	t.Helper()
	api := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(api, upstream, "127.0.0.1:0", upstream)
	must.NoError(t, proxy.Start())
	return &Proxy{t: t, proxy: proxy}, proxy.Stop
}

// Address returns host:port of the wire.
func (w *Proxy) Address() string {
	w.proxy.Lock()
	defer w.proxy.Unlock()
	return w.proxy.Listen
}

// Disconnect refuses connections and closes those that are open.
func (w *Proxy) Disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxy.Stop()
	w.down = true
}

// Blackhole takes bytes and delivers none, both ways, until Heal.
func (w *Proxy) Blackhole() {
	w.add("timeout", "upstream", map[string]int{"timeout": 0})
	w.add("timeout", "downstream", map[string]int{"timeout": 0})
}

// ResetReplies delivers requests and resets the connection millis after a reply
// begins.
func (w *Proxy) ResetReplies(millis int) {
	w.add("reset_peer", "downstream", map[string]int{"timeout": millis})
}

// AddLatency adds milliseconds to each way.
func (w *Proxy) AddLatency(millis, jitter int) {
	w.add("latency", "upstream", map[string]int{"latency": millis, "jitter": jitter})
	w.add("latency", "downstream", map[string]int{"latency": millis, "jitter": jitter})
}

// Heal ends all faults.
func (w *Proxy) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.names {
		must.NoError(w.t, w.proxy.Toxics.RemoveToxic(context.Background(), n))
	}
	w.names = nil
	if w.down {
		must.NoError(w.t, w.proxy.Start())
		w.down = false
	}
}

func (w *Proxy) add(kind, stream string, attributes map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fmt.Sprintf("%s_%s", kind, stream)
	if slices.Contains(w.names, name) {
		return
	}
	body, err := json.Marshal(struct {
		Name       string         `json:"name"`
		Type       string         `json:"type"`
		Stream     string         `json:"stream"`
		Attributes map[string]int `json:"attributes"`
	}{name, kind, stream, attributes})
	must.NoError(w.t, err)
	_, err = w.proxy.Toxics.AddToxicJson(strings.NewReader(string(body)))
	must.NoError(w.t, err)
	w.names = append(w.names, name)
}

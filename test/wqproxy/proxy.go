// Package wqproxy runs a fault-injecting TCP proxy in front of one address, for
// tests. It wraps Toxiproxy; faults stay in effect until Heal.
//
// # Usage
//
//	p, stop := wqproxy.New(t, "127.0.0.1:7401")
//	defer stop()
//	p.Disconnect()    // refuses connections and closes those that are open
//	p.Blackhole()     // accepts bytes and forwards none, in both directions
//	p.ResetReplies(0) // forwards requests and resets the connection when a reply begins
//	p.Heal()
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
	t            *testing.T
	tcpProxy     *toxiproxy.Proxy
	mu           sync.Mutex
	toxicNames   []string
	disconnected bool
}

// New starts a proxy to upstream, a host:port on which nothing has to listen yet,
// and returns it with the function that stops it.
func New(t *testing.T, upstream string) (*Proxy, func()) {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)
	must.NoError(t, proxy.Start())
	return &Proxy{t: t, tcpProxy: proxy}, proxy.Stop
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string {
	p.tcpProxy.Lock()
	defer p.tcpProxy.Unlock()
	return p.tcpProxy.Listen
}

// Disconnect refuses connections and closes those that are open, until Heal.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tcpProxy.Stop()
	p.disconnected = true
}

// Blackhole accepts bytes and forwards none, in both directions, until Heal.
func (p *Proxy) Blackhole() {
	p.addToxic("timeout", "upstream", map[string]int{"timeout": 0})
	p.addToxic("timeout", "downstream", map[string]int{"timeout": 0})
}

// ResetReplies forwards requests and resets the connection delayMillis after the
// first byte of a reply, until Heal.
func (p *Proxy) ResetReplies(delayMillis int) {
	p.addToxic("reset_peer", "downstream", map[string]int{"timeout": delayMillis})
}

// AddLatency delays both directions by millis, give or take jitterMillis, until
// Heal.
func (p *Proxy) AddLatency(millis, jitterMillis int) {
	p.addToxic("latency", "upstream", map[string]int{"latency": millis, "jitter": jitterMillis})
	p.addToxic("latency", "downstream", map[string]int{"latency": millis, "jitter": jitterMillis})
}

// Heal ends all faults and accepts connections again.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.toxicNames {
		must.NoError(p.t, p.tcpProxy.Toxics.RemoveToxic(context.Background(), n))
	}
	p.toxicNames = nil
	if p.disconnected {
		must.NoError(p.t, p.tcpProxy.Start())
		p.disconnected = false
	}
}

func (p *Proxy) addToxic(toxicType, stream string, attributes map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprintf("%s_%s", toxicType, stream)
	if slices.Contains(p.toxicNames, name) {
		return
	}
	body, err := json.Marshal(struct {
		Name       string         `json:"name"`
		Type       string         `json:"type"`
		Stream     string         `json:"stream"`
		Attributes map[string]int `json:"attributes"`
	}{name, toxicType, stream, attributes})
	must.NoError(p.t, err)
	_, err = p.tcpProxy.Toxics.AddToxicJson(strings.NewReader(string(body)))
	must.NoError(p.t, err)
	p.toxicNames = append(p.toxicNames, name)
}

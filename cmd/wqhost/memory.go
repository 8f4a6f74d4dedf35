package wqhost

import (
	"math"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqhttp"
	"wisteriaquay/platform/wqboot"
)

const (
	// ownMemory is what the process needs without clients, in bytes: 22 MB resident were
	// measured after the start, and it reads the items of a large fleet.
	ownMemory = 32 << 20
	// heldShare is the part of the other memory that may be held for clients. The rest is
	// for searchers' responses, and for garbage: GOGC lets the heap double.
	heldShare     = 0.35
	assumedMemory = 512 << 20 // Memory of the VM if the settings don't state it.
	minMemory     = 64 << 20  // Smallest memory of a VM, and with minDescriptors the smallest for the limits below.
	minHeldBytes  = 2 << 20   // Smallest memory for the clients of one listener.

	// The parts of the memory for clients. Each listener has its own, so that the balancer
	// and other VMs are served while callers use up theirs.
	callerMemoryShare = 0.55
	peerMemoryShare   = 0.35
	checkMemoryShare  = 0.05 // Of the readiness and of the metrics listener each.

	// The parts of the descriptors. The rest is for connections to searchers, the store and
	// peers.
	callerDescriptorShare = 0.35
	peerDescriptorShare   = 0.25
	checkDescriptorShare  = 0.03 // Of the readiness and of the metrics listener each.
	maxCheckConnections   = 64
	smallServiceShare     = 0.05 // A service with fewer connections is not limited for the descriptors.
	connectionsPerPeer    = 6    // To and from each other VM: heartbeats, items and fan-outs.
	ownDescriptors        = 64   // Files, listeners, and connections to the store.

	minDescriptors     = 256
	assumedDescriptors = 1024 // If neither the settings nor the system state a number.
	peerHeaderBytes    = 64 << 10
	checkHeaderBytes   = 16 << 10
	peerIdleTimeout    = time.Hour // Peers keep their connections.
	checkIdleTimeout   = 5 * time.Minute
)

// heldBytes returns the memory that may be held for all clients.
func (h *Host) heldBytes() float64 {
	memory := h.Settings.MemoryLimit
	if memory <= 0 {
		memory = assumedMemory
	}
	return heldShare * float64(memory-ownMemory)
}

// maxDescriptors returns the number of descriptors that a process may have open.
func maxDescriptors(s *wqboot.Settings) float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		limit.Cur = assumedDescriptors
	}
	if n := s.MaxDescriptors; n > 0 && uint64(n) < limit.Cur {
		return float64(n)
	}
	return float64(limit.Cur)
}

// maxConnectionsPerSearcher returns how many connections to each searcher the descriptors
// allow, at least 1.
func (h *Host) maxConnectionsPerSearcher(p *wqplan.Plan) int {
	if h.descriptors == 0 {
		return math.MaxInt // Not known.
	}
	searchers := 0
	for _, targets := range p.Pools {
		searchers += len(targets)
	}
	left := h.descriptors*(1-callerDescriptorShare-2*checkDescriptorShare) - ownDescriptors
	left -= min(float64(connectionsPerPeer*p.FleetSize), peerDescriptorShare*h.descriptors)
	return max(int(left)/max(searchers, 1), 1)
}

// limitConnections returns the connections to each searcher of a service, of which most
// fit into the descriptors if all services have so many. A service with few searchers
// keeps its share.
func (h *Host) limitConnections(share, searchers, most int) int {
	if float64(share*searchers) <= smallServiceShare*h.descriptors {
		return share
	}
	return min(share, most)
}

// newBudget returns the budget of one listener with these shares of the memory and the
// descriptors, and adds its gauges.
func (h *Host) newBudget(name string, memoryShare float64, connections int) *wqmemorybudget.Budget[*wqhttp.Connection] {
	b := &wqmemorybudget.Budget[*wqhttp.Connection]{
		Limit: max(int64(memoryShare*h.heldBytes()), minHeldBytes), MaxConnections: max(connections, 1), ConnectionCost: wqhttp.ConnectionCost,
	}
	h.metrics.AddGauge("host_"+name+"_held_bytes", "Memory held for the clients of this listener, in bytes.", func() float64 { return float64(b.Counts().Used) })
	h.metrics.AddGauge("host_"+name+"_held_limit_bytes", "Limit of that memory, in bytes.", func() float64 { return float64(b.Limit) })
	h.metrics.AddGauge("host_"+name+"_connections", "Open connections of this listener.", func() float64 { return float64(b.Counts().Connections) })
	h.metrics.AddGauge("host_"+name+"_refused", "Reservations of memory and connections that were refused since the start.", func() float64 { return float64(b.Counts().Refused) })
	h.metrics.AddGauge("host_"+name+"_closed", "Connections that were closed for others since the start.", func() float64 { return float64(b.Counts().Closed) })
	h.Log.Info("limits of a listener", "listener", name, "held_limit_bytes", b.Limit, "max_connections", b.MaxConnections)
	return b
}

// warnOfSettings logs when the VM is smaller than the limits are made for.
func (h *Host) warnOfSettings() {
	if n := h.Settings.MemoryLimit; n > 0 && n < minMemory {
		h.Log.Warn("the memory of the VM leaves little for clients; use a larger VM", "memory_bytes", n, "least_bytes", minMemory)
	}
	if n := int(h.descriptors); n < minDescriptors {
		h.Log.Warn("the VM may have few connections; raise the limit of descriptors", "max_descriptors", n, "least", minDescriptors)
	}
}

// newCallerServer returns the server of the callers' listener.
func (h *Host) newCallerServer() *wqhttp.Server {
	h.descriptors = maxDescriptors(h.Settings)
	h.warnOfSettings()
	return &wqhttp.Server{
		Name: "callers", Handler: h.callerHandler(), Timeouts: h.callerTimeouts, MaxHeaderBytes: h.maxHeaderBytes,
		Budget: h.newBudget("callers", callerMemoryShare, int(callerDescriptorShare*h.descriptors)), Log: h.Log,
	}
}

// newPeerServer returns the server of the other VMs' listener.
func (h *Host) newPeerServer(handler http.Handler) *wqhttp.Server {
	return &wqhttp.Server{
		Name: "peers", Handler: handler, HTTP2: true, MaxHeaderBytes: func() int { return peerHeaderBytes },
		Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: headerTimeout, Idle: peerIdleTimeout} },
		Budget:   h.newBudget("peers", peerMemoryShare, int(peerDescriptorShare*h.descriptors)), Log: h.Log,
	}
}

// newCheckServer returns the server of the readiness or the metrics listener, whose
// requests have no bodies.
func (h *Host) newCheckServer(name string, handler http.Handler) *wqhttp.Server {
	return &wqhttp.Server{
		Name: name, Handler: wqhttp.LeaveBodies(handler), MaxHeaderBytes: func() int { return checkHeaderBytes },
		Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: headerTimeout, Idle: checkIdleTimeout} },
		Budget:   h.newBudget(name, checkMemoryShare, min(int(checkDescriptorShare*h.descriptors), maxCheckConnections)), Log: h.Log,
	}
}

// maxHeaderBytes returns the longest header of a caller's request, 0 for the default.
func (h *Host) maxHeaderBytes() int {
	if t := h.controller.Plan().Table; t != nil {
		return t.Limits.MaxHeaderBytes
	}
	return 0
}

// route returns the name of a call's route and the number of searchers that this VM sends
// the call to, 0 when it has no route. Without a configuration it may get one while its
// body arrives.
func (h *Host) route(c *wqcall.Call) (string, int) {
	plan := h.controller.Plan()
	if plan.Table == nil {
		return "", 1
	}
	route := plan.Match(c.Host, c.Path)
	switch {
	case route == nil:
		return "", 0
	case len(plan.Hubs) > 0 && !plan.IsHub:
		return route.Name, 1
	}
	return route.Name, max(len(route.Shards), 1)
}

// warnOfLimits logs when a new configuration allows bodies of which the memory for callers
// holds few. It runs on the control goroutine.
func (h *Host) warnOfLimits(t *wqroute.Table) {
	if h.callerServer == nil || t.Version == h.warnedVersion {
		return
	}
	h.warnedVersion = t.Version
	if n, held := t.Limits.MaxBodyBytes, h.callerServer.Budget.Limit; n > held/4 {
		h.Log.Warn("bodies at the limit are served one at a time; lower the limit or use larger VMs", "version", t.Version, "max_body_bytes", n, "held_limit_bytes", held)
	}
}

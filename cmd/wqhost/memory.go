package wqhost

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqmemorybudget"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqhttp"
)

const (
	// ownMemory is what the process needs without clients, in bytes: 22 MB resident were
	// measured after the start, and it reads the items of a large fleet.
	ownMemory = 32 << 20
	// heldShare is the part of the other memory that may be held for clients. The rest is
	// for searchers' responses, and for garbage: GOGC lets the heap double.
	heldShare     = 0.3
	assumedMemory = 512 << 20 // Memory of the VM if the settings don't state it.
	minHeldBytes  = 2 << 20   // Smallest memory for the clients of one listener.

	// The parts of the memory for clients. Each listener has its own, so that the balancer
	// and other VMs are served while callers use up theirs.
	callerMemoryShare = 0.65
	peerMemoryShare   = 0.25
	checkMemoryShare  = 0.05 // Of the readiness and of the metrics listener each.

	// The parts of the descriptors. The rest is for connections to searchers, the store and
	// peers.
	callerDescriptorShare = 0.4
	peerDescriptorShare   = 0.25
	checkDescriptorShare  = 0.03 // Of the readiness and of the metrics listener each.
	maxCheckConnections   = 64

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

// maxDescriptors returns the number of descriptors that this process may have open.
func (h *Host) maxDescriptors() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		limit.Cur = assumedDescriptors
	}
	if n := h.Settings.MaxDescriptors; n > 0 && uint64(n) < limit.Cur {
		return float64(n)
	}
	return float64(limit.Cur)
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

// newCallerServer returns the server of the callers' listener.
func (h *Host) newCallerServer() *wqhttp.Server {
	return &wqhttp.Server{
		Name: "callers", Handler: h.callerHandler(), Timeouts: h.callerTimeouts, MaxHeaderBytes: h.maxHeaderBytes,
		Budget: h.newBudget("callers", callerMemoryShare, int(callerDescriptorShare*h.maxDescriptors())), Log: h.Log,
	}
}

// newPeerServer returns the server of the other VMs' listener.
func (h *Host) newPeerServer(handler http.Handler) *wqhttp.Server {
	return &wqhttp.Server{
		Name: "peers", Handler: handler, HTTP2: true, MaxHeaderBytes: func() int { return peerHeaderBytes },
		Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: headerTimeout, Idle: peerIdleTimeout} },
		Budget:   h.newBudget("peers", peerMemoryShare, int(peerDescriptorShare*h.maxDescriptors())), Log: h.Log,
	}
}

// newCheckServer returns the server of the readiness or the metrics listener, whose
// requests have no bodies.
func (h *Host) newCheckServer(name string, handler http.Handler) *wqhttp.Server {
	return &wqhttp.Server{
		Name: name, Handler: wqhttp.LeaveBodies(handler), MaxHeaderBytes: func() int { return checkHeaderBytes },
		Timeouts: func() wqhttp.Timeouts { return wqhttp.Timeouts{Header: headerTimeout, Idle: checkIdleTimeout} },
		Budget:   h.newBudget(name, checkMemoryShare, min(int(checkDescriptorShare*h.maxDescriptors()), maxCheckConnections)), Log: h.Log,
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

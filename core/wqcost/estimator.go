// Package wqcost estimates the likely cost of requests from what earlier requests like
// them cost. The cost is the time that a searcher of usual speed works on a request. The
// estimate is a distribution, so that it also tells what is left of a request that has
// run for some time.
//
// The logarithm of the cost is the sum of a base for the route and an offset for each
// visible attribute: client account, method, beginning of the path, length of the body.
// New attributes have the offset 0, and offsets return to 0 while there are no
// observations. How far costs are from their estimates is counted in a histogram for
// each route.
//
// # Usage
//
//	e := wqcost.New()
//	k := wqcost.Kind{Route: "orders", Tenant: "acme", Method: "GET", Path: "/orders/eu/7", BodyBytes: 120}
//	d := e.Estimate(now, k, prior)
//	d.Remaining(80 * time.Millisecond) // what is left after 80 ms
//	e.Observe(now, k, work)
package wqcost

import (
	"math"
	"math/bits"
	"strings"
	"sync"
	"time"
)

const (
	maxRoutes        = 1024             // bounds the memory: one more route clears all routes
	maxOffsets       = 4096             // bounds the memory: when full, offsets without recent observations are dropped, and new attributes have none
	offsetTime       = 60 * time.Second // time constant with which an offset returns to 0 without observations
	staleAfter       = 60 * time.Second // an offset without observations for this long may be dropped
	sweepInterval    = time.Second      // least time between two searches for offsets to drop
	minBaseStep      = 0.02             // least weight of a new observation in the base of a route
	minOffsetStep    = 0.01             // least weight of a new observation in an offset
	offsetInertia    = 6                // observations until an offset moves as fast as a base does at first
	maxResidual      = 1.0              // bounds what one observation moves, as a logarithm; a long request or a wrong response counts no more
	implausible      = -2.8             // logarithm of a cost so far below its estimate that the response may be false: a sixteenth
	implausibleTrust = 0.05             // weight of such an observation
	knownCount       = 30               // observations of a route from which its estimates are known
	maxOffset        = 3.0              // bounds each offset: a factor of 20
	tenantTime       = 10 * time.Second // time constant of the counts that bound a client account's weight
	maxTenants       = 256              // client accounts of a route that are counted separately; the others count as one
	minTenantCount   = 0.05             // a client account with a lower count is forgotten
	maxPathBytes     = 128              // bytes of a path that are considered
	pathSegments     = 2                // segments of the path that are an attribute, without its last one
)

// Kind holds the visible attributes of a request.
type Kind struct {
	Route     string
	Tenant    string // client account; empty for an anonymous client
	Method    string
	Path      string
	BodyBytes int
}

// Shortened returns the attributes without the part of the path that is not considered.
func (k Kind) Shortened() Kind {
	k.Path = beginning(k.Path)
	return k
}

// Estimator learns the costs of requests. It is safe for concurrent use.
type Estimator struct {
	mutex     sync.Mutex
	routes    map[string]*route
	offsets   map[attribute]*offset
	lastSweep time.Time
}

// route holds the estimate for one route.
type route struct {
	base      float64 // logarithm of the cost in nanoseconds
	count     float64 // weight of the observations
	costs     *histogram
	shape     *Shape
	untilNext int // observations until the shape is updated
	tenants   map[string]*tenantCount
	sum       float64 // of the counts of tenants, as of updatedAt
	updatedAt time.Time
}

// tenantCount counts the latest observations of one client account.
type tenantCount struct{ count float64 }

// attribute names one attribute of the requests of a route.
type attribute struct {
	route string
	name  byte // t, m, p, b: client account, method, path, body
	value string
}

type offset struct {
	value     float64
	count     float64
	updatedAt time.Time
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{routes: make(map[string]*route), offsets: make(map[attribute]*offset)}
}

// Estimate returns the likely cost of a request. Prior is the mean cost to assume for a
// route without observations.
func (e *Estimator) Estimate(now time.Time, k Kind, prior time.Duration) Distribution {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.route(now, k.Route, prior)
	return Distribution{Scale: time.Duration(bounded(math.Exp(r.base + e.offsetSum(now, k)))), Shape: r.shape}
}

// Observe records what a request has cost. One client account has no more weight in the
// base of a route and in the attributes that it shares with others than an equal part.
func (e *Estimator) Observe(now time.Time, k Kind, cost time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.route(now, k.Route, cost)
	estimate := r.base + e.offsetSum(now, k)
	residual := math.Log(bounded(float64(cost))) - estimate
	weight := r.tenantWeight(now, k.Tenant)
	trust := 1.0
	if residual < implausible && r.count > knownCount {
		trust = implausibleTrust
	}
	weight *= trust
	r.costs.add(math.Exp(residual), weight)
	r.untilNext--
	if r.untilNext <= 0 {
		r.shape, r.untilNext = r.costs.shape(), refreshEvery
	}
	residual = min(max(residual, -maxResidual), maxResidual)
	r.count += weight
	r.base += weight * max(1/(r.count+1), minBaseStep) * residual
	for i, a := range attributes(k) {
		o := e.offset(now, a)
		if o == nil {
			continue
		}
		step := weight
		if i == 0 {
			step = trust // The account's own offset.
		}
		o.decay(now)
		o.count += step
		o.value += step * max(1/(o.count+offsetInertia), minOffsetStep) * residual
		o.value = min(max(o.value, -maxOffset), maxOffset)
	}
}

func bounded(cost float64) float64 { return min(max(cost, minCost), maxCost) }

func (e *Estimator) route(now time.Time, name string, prior time.Duration) *route {
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		h := newHistogram()
		r = &route{base: math.Log(bounded(float64(prior))), costs: h, shape: h.shape(), tenants: make(map[string]*tenantCount), updatedAt: now}
		e.routes[name] = r
	}
	return r
}

// tenantWeight counts an observation of a client account and returns its weight: 1
// unless the account sends more than an equal part.
func (r *route) tenantWeight(now time.Time, tenant string) float64 {
	if passed := now.Sub(r.updatedAt); passed > tenantTime/16 {
		factor := math.Exp(-float64(passed) / float64(tenantTime))
		r.sum = 0
		for name, t := range r.tenants {
			t.count *= factor
			if t.count < minTenantCount {
				delete(r.tenants, name)
				continue
			}
			r.sum += t.count
		}
		r.updatedAt = now
	}
	t := r.tenants[tenant]
	if t == nil && len(r.tenants) >= maxTenants {
		tenant = ""
		t = r.tenants[tenant]
	}
	if t == nil {
		t = &tenantCount{}
		r.tenants[tenant] = t
	}
	t.count++
	r.sum++
	return min(1, r.sum/float64(len(r.tenants))/t.count)
}

func (e *Estimator) offsetSum(now time.Time, k Kind) float64 {
	sum := 0.0
	for _, a := range attributes(k) {
		if o := e.offsets[a]; o != nil {
			sum += o.value * remainingShare(now, o.updatedAt)
		}
	}
	return sum
}

// attributes returns the attributes of a request, that of the client account first.
func attributes(k Kind) [4]attribute {
	return [4]attribute{
		{k.Route, 't', k.Tenant},
		{k.Route, 'm', k.Method},
		{k.Route, 'p', beginning(k.Path)},
		{k.Route, 'b', string(rune('0' + bits.Len(uint(max(k.BodyBytes, 0)))))},
	}
}

// beginning returns the first segments of a path, without its last one.
func beginning(path string) string {
	path = path[:min(len(path), maxPathBytes)]
	end := 0
	for range pathSegments + 1 {
		i := strings.IndexByte(path[end:], '/')
		if i < 0 {
			break
		}
		end += i + 1
	}
	return path[:end]
}

// offset returns the offset of an attribute, nil if there are too many.
func (e *Estimator) offset(now time.Time, a attribute) *offset {
	if o := e.offsets[a]; o != nil {
		return o
	}
	if len(e.offsets) >= maxOffsets && now.Sub(e.lastSweep) >= sweepInterval {
		e.lastSweep = now
		for b, o := range e.offsets {
			if now.Sub(o.updatedAt) > staleAfter {
				delete(e.offsets, b)
			}
		}
	}
	if len(e.offsets) >= maxOffsets {
		return nil
	}
	// A copy, so that the text of the request is not kept.
	a.value = strings.Clone(a.value)
	o := &offset{updatedAt: now}
	e.offsets[a] = o
	return o
}

func (o *offset) decay(now time.Time) {
	share := remainingShare(now, o.updatedAt)
	o.value *= share
	o.count *= share
	o.updatedAt = now
}

// remainingShare returns what is left of an offset of that time; 1 if a clock went back.
func remainingShare(now, updatedAt time.Time) float64 {
	return math.Exp(-max(0, float64(now.Sub(updatedAt))) / float64(offsetTime))
}

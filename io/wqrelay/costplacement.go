package wqrelay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqwork"
)

const (
	// minPlacedLatency is the mean latency of a route's sends from which its requests are
	// placed by cost. Below, the network latency counts as much as the work, and hedges
	// that may be in vain gain more than they cost: sends of 6.7 ms, at half load, see
	// docs/measurements/placement.md.
	minPlacedLatency = 20 * time.Millisecond
	// askTimeout bounds the wait for advice: a round trip to another availability zone
	// takes 8 ms, and the placing VM may be busy.
	askTimeout     = 30 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond // bounds a call with reports only
	reportInterval = 5 * time.Millisecond   // how long reports are collected
	maxReports     = 256                    // reports waiting for one VM; more are dropped, and their sends end by their deadline
	maxContacts    = 256                    // bounds the memory: one more placing VM clears what is known of all
	minSilence     = 500 * time.Millisecond // how long a VM that did not answer is not asked; it doubles
	maxSilence     = 8 * time.Second
)

// PlacementClient carries messages to the VMs that place requests.
type PlacementClient interface {
	// Place returns the advice of a VM.
	Place(ctx context.Context, vm *wqdirectory.Target, m wqplacer.Message) (wqplacer.Advice, error)
}

// CostPlacement is the state of the placement by cost: the searchers and hubs with the
// least expected finish time get the requests. Relays without it place by latency. Set
// the exported fields before the first call.
type CostPlacement struct {
	VM      string // VM is the id of this VM.
	Process string // Process names this process; it changes at a restart.
	Costs   *wqcost.Estimator
	Work    *wqwork.Ledger
	Hubs    HubCosts
	Placer  *wqplacer.Placer // Placer places the requests of all VMs for some services.
	Client  PlacementClient
	Plan    func() *wqplan.Plan
	Log     *slog.Logger

	Advised  atomic.Int64 // Advised counts the requests for which there was advice.
	Refused  atomic.Int64 // Refused counts the requests that were refused because they would have waited for too long.
	Unasked  atomic.Int64 // Unasked counts those placed without, since the placing VM had not answered shortly before.
	Failures atomic.Int64 // Failures counts the calls for advice that failed.

	lastNumber atomic.Uint64
	mutex      sync.Mutex
	contacts   map[string]*placerContact // by id of the VM
}

// placerContact is what this VM knows of a placing VM, and has to tell it.
type placerContact struct {
	reports     []wqplacer.Report
	flushing    bool // a call with the reports is due or in progress
	failures    int  // calls that failed since the latest answer
	silentUntil time.Time
}

// NewCostPlacement returns a CostPlacement without observations.
func NewCostPlacement() *CostPlacement {
	return &CostPlacement{
		Costs: wqcost.New(), Work: wqwork.New(), Hubs: HubCosts{Costs: wqcost.New(), Work: wqwork.New()}, Placer: wqplacer.New(),
		contacts: make(map[string]*placerContact),
	}
}

// Handle handles a message of another VM.
func (p *CostPlacement) Handle(m wqplacer.Message) wqplacer.Advice {
	plan := p.Plan()
	return p.Placer.Handle(time.Now(), m, plan.Pools, max(plan.FleetSize, 1), rand.Uint64())
}

// ask asks a VM to place a request. The advice is empty if it does not answer in time.
func (p *CostPlacement) ask(ctx context.Context, vm *wqdirectory.Target, q wqplacer.Request) wqplacer.Advice {
	message := wqplacer.Message{From: p.Process, Request: &q}
	if vm.Searcher.ID == p.VM {
		return p.counted(p.Handle(message))
	}
	var mayAsk bool
	if message.Reports, mayAsk = p.takeReports(vm.Searcher.ID); !mayAsk {
		p.Unasked.Add(1)
		return wqplacer.Advice{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	advice, err := p.Client.Place(ctx, vm, message)
	p.recordAnswer(vm.Searcher.ID, err)
	if err != nil {
		p.Failures.Add(1)
		return wqplacer.Advice{}
	}
	return p.counted(advice)
}

func (p *CostPlacement) counted(a wqplacer.Advice) wqplacer.Advice {
	if a.Searcher != "" {
		p.Advised.Add(1)
	}
	if a.Refuse {
		p.Refused.Add(1)
	}
	return a
}

// contact returns what is known of a VM. The caller holds the mutex.
func (p *CostPlacement) contact(id string) *placerContact {
	c := p.contacts[id]
	if c == nil {
		if len(p.contacts) >= maxContacts {
			clear(p.contacts)
		}
		c = &placerContact{}
		p.contacts[id] = c
	}
	return c
}

// takeReports returns the reports that wait for a VM, and false if it must not be
// called now because it has not answered.
func (p *CostPlacement) takeReports(id string) ([]wqplacer.Report, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.contact(id)
	reports := c.reports
	c.reports = nil
	return reports, !time.Now().Before(c.silentUntil)
}

// recordAnswer records whether a VM answered a call. One that did not is not called for
// a time that doubles, so that its failure delays few requests.
func (p *CostPlacement) recordAnswer(id string, err error) {
	p.mutex.Lock()
	c := p.contact(id)
	before := c.failures
	c.failures++
	if err == nil {
		c.failures = 0
	} else {
		c.silentUntil = time.Now().Add(min(minSilence<<min(before, 5), maxSilence))
	}
	after := c.failures
	p.mutex.Unlock()
	switch {
	case before == 0 && after == 1:
		p.Log.Info("the VM that places requests does not answer; placing alone", slog.String("peer", id), slog.String("error", err.Error()))
	case before > 0 && after == 0:
		p.Log.Info("the VM that places requests answers again", slog.String("peer", id), slog.Int("failures", before))
	}
}

// report tells a VM of a send, soon and together with other reports. It never blocks.
func (p *CostPlacement) report(vm *wqdirectory.Target, r wqplacer.Report) {
	if vm.Searcher.ID == p.VM {
		p.Handle(wqplacer.Message{From: p.Process, Reports: []wqplacer.Report{r}})
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.contact(vm.Searcher.ID)
	if len(c.reports) < maxReports {
		c.reports = append(c.reports, r)
	}
	if !c.flushing {
		c.flushing = true
		time.AfterFunc(reportInterval, func() { p.flush(vm, c) })
	}
}

// flush sends the reports that wait for a VM. Those that it does not receive are lost.
func (p *CostPlacement) flush(vm *wqdirectory.Target, c *placerContact) {
	reports, mayCall := p.takeReports(vm.Searcher.ID)
	if mayCall && len(reports) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		_, err := p.Client.Place(ctx, vm, wqplacer.Message{From: p.Process, Reports: reports})
		cancel()
		p.recordAnswer(vm.Searcher.ID, err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.flushing = false
	if len(c.reports) > 0 {
		c.flushing = true
		time.AfterFunc(reportInterval, func() { p.flush(vm, c) })
	}
}

package wqhost

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotagate"
	"wisteriaquay/core/wqquotaroster"
	"wisteriaquay/io/wqlimiter"
	"wisteriaquay/io/wqpeer"
	"wisteriaquay/io/wqrelay"
)

// quotaLimiter keeps the quotas of client accounts.
type quotaLimiter = wqlimiter.Limiter[wqquotagate.FreeAndStrict, *wqpeer.Client]

// permits reports whether the caller of a call may still be served under the
// configuration in force.
func (h *Host) permits(c *wqcall.Call) bool { return wqrelay.Permits(c, h.controller.Plan()) }

// recordWrite records that a call is written to a searcher.
func (h *Host) recordWrite(c *wqcall.Call) {
	if h.limiter != nil {
		h.limiter.Started(c)
	}
}

// startQuotas starts to keep the quotas of client accounts, if the settings limit them.
func (h *Host) startQuotas(ctx context.Context, peers *wqpeer.Client) {
	bound := wqlimiter.Normalized(h.Settings.Quota)
	if bound.Window <= 0 {
		return
	}
	m := h.member()
	h.limiter = &quotaLimiter{
		Self: wqquotaroster.VM{ID: m.ID, Address: m.Address, Zone: m.Zone, Epoch: m.Epoch, Capacity: m.Capacity}, Plan: h.controller.Plan, Bound: bound, Transport: peers,
		StartedAt: time.Now(), FirstStart: h.Settings.FirstStart, Random: rand.Float64, CountRefusal: h.metrics.AddQuotaRefusals(), Log: h.Log,
	}
	peers.OnHeartbeatFailed = h.limiter.ContactFailed
	h.relay.Quota = wqrelay.Quota{Charge: h.limiter.Charge, Return: h.limiter.Return}
	go h.limiter.Run(ctx)
}

// handleQuota returns the handler of messages on quotas, nil if this VM keeps none.
func (h *Host) handleQuota() func(wqquota.Message) wqquota.Reply {
	if h.limiter == nil {
		return nil
	}
	return h.limiter.Handle
}

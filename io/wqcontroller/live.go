package wqcontroller

import (
	"slices"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqplan"
)

// updateLiveVMs lists the VMs that may be sent messages again after the member list has
// changed. Published plans share the list, so it is replaced and never changed.
func (c *Controller) updateLiveVMs() {
	var live []wqplan.VM
	for _, m := range c.members.Members() {
		if m.State == wqmember.Alive || m.State == wqmember.Suspect {
			live = append(live, wqplan.VM{ID: m.ID, Address: m.Address, Zone: m.Zone, Epoch: m.Epoch, Capacity: m.Capacity})
		}
	}
	if !slices.Equal(live, c.liveVMs) { // A VM that becomes suspect changes nothing.
		c.liveVMs, c.dirty = live, true
	}
}

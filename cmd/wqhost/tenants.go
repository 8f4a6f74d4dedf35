package wqhost

import (
	"wisteriaquay/core/wqcall"
	"wisteriaquay/io/wqrelay"
)

// permits reports whether the caller of a call may still be served under the
// configuration in force.
func (h *Host) permits(c *wqcall.Call) bool { return wqrelay.Permits(c, h.controller.Plan()) }

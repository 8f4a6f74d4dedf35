package wqpeer

import "wisteriaquay/core/wqmember"

// heartbeatFailed passes on that a heartbeat was not answered.
func (c *Client) heartbeatFailed(e wqmember.Envelope) {
	c.Controller.HeartbeatFailed(e)
	if c.OnHeartbeatFailed != nil {
		c.OnHeartbeatFailed()
	}
}

package wqnode

import (
	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqpb"
)

// configuration answers a peer that asks for what follows its revision.
func (n *Node) configuration(*wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	return nil, wqfault.New(wqfault.NotReady, "no configuration yet", "ask another VM")
}

package wqhost

import (
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplan"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqtarget"
)

func TestServiceWithoutConfiguredConnectionsGetsTheDefaultLimit(t *testing.T) {
	client, release := wqtarget.New()
	defer release()
	h := &Host{searcherClient: client}
	target := func(id string) *wqdirectory.Target {
		return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Address: "127.0.0.1:1"}}
	}
	configured, unconfigured := target("x"), target("y")
	h.setConnectionLimits(&wqplan.Plan{
		FleetSize: 7, Pools: wqdirectory.Pools{"stated": {configured}, "unstated": {unconfigured}},
		Table: wqroute.NewTable(1, nil, map[string]wqroute.Service{"stated": {MaxConnections: 31}}, wqroute.Limits{}),
	})
	must.Eq(t, 3, configured.Searcher.Connections)
	must.Eq(t, 3, unconfigured.Searcher.Connections)
}

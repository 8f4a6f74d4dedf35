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

func TestServiceWithoutStatedConnectionsGetsMoreThanOne(t *testing.T) {
	client, release := wqtarget.New()
	defer release()
	h := &Host{client: client}
	target := func(id string) *wqdirectory.Target {
		return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: id, Address: "127.0.0.1:1"}}
	}
	stated, unstated := target("x"), target("y")
	h.limitConnections(&wqplan.Plan{
		FleetSize: 7, Pools: wqdirectory.Pools{"stated": {stated}, "unstated": {unstated}},
		Table: wqroute.NewTable(1, nil, map[string]wqroute.Service{"stated": {Connections: 31}}, wqroute.Limits{}),
	})
	must.Eq(t, 3, stated.Searcher.Connections)
	must.Eq(t, 3, unstated.Searcher.Connections)
}

package wqoperatorservice

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
)

// Status returns the state of the fleet as this VM sees it.
func (h *Handler[S, P]) Status(_ context.Context, r *connect.Request[wqpb.StatusRequest]) (*connect.Response[wqpb.StatusResponse], error) {
	if err := h.Authorize(r.Header().Get("Authorization")); err != nil {
		return nil, wqconnecterror.Encode(err)
	}
	v := h.View()
	return connect.NewResponse(&wqpb.StatusResponse{
		Vm:             v.Self.ID,
		Revision:       v.Index.Topology.Revision,
		NoteId:         v.Index.Topology.NoteID,
		Vms:            vmStatus(v),
		Zones:          zoneStatus(v),
		Services:       serviceStatus(v),
		StoreReachable: h.StoreReachable(),
		Ready:          v.NotReadyReason() == "",
	}), nil
}

func vmStatus(v *wqview.View) []*wqpb.VmStatus {
	list := make([]*wqpb.VmStatus, 0, len(v.Members))
	for _, m := range v.Members {
		list = append(list, &wqpb.VmStatus{Id: m.ID, Address: m.Address, Zone: m.Zone, State: stateName(m.State), Revision: m.Revision})
	}
	slices.SortFunc(list, func(a, b *wqpb.VmStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	return list
}

func stateName(s wqmember.State) string {
	switch s {
	case wqmember.Alive:
		return "alive"
	case wqmember.Suspect:
		return "suspect"
	case wqmember.Leaving:
		return "leaving"
	case wqmember.Dead:
		return "dead"
	}
	return "left"
}

func zoneStatus(v *wqview.View) []*wqpb.ZoneStatus {
	counts := map[string]uint32{}
	for i := range v.Index.Topology.Searchers {
		counts[v.Index.Topology.Searchers[i].Zone]++
	}
	list := make([]*wqpb.ZoneStatus, 0, len(v.Index.Topology.Zones))
	for _, z := range v.Index.Topology.Zones {
		list = append(list, &wqpb.ZoneStatus{Id: z.ID, Out: z.Out, Searchers: counts[z.ID]})
	}
	return list
}

func serviceStatus(v *wqview.View) []*wqpb.ServiceStatus {
	var list []*wqpb.ServiceStatus
	services := map[string]*wqpb.ServiceStatus{}
	for _, name := range v.Index.Services() {
		snapshot := v.Snapshots[name]
		s := &wqpb.ServiceStatus{Service: name, Snapshot: snapshot, Shards: uint32(len(v.Index.Shards(name, snapshot)))}
		list = append(list, s)
		services[name] = s
	}
	for i := range v.Index.Topology.Searchers {
		countSearcher(services[v.Index.Topology.Searchers[i].Service], v.Targets[v.Index.Topology.Searchers[i].ID])
	}
	return list
}

// countSearcher adds a searcher to the counts of its service; s is nil when the
// service has no layout.
func countSearcher(s *wqpb.ServiceStatus, t wqview.TargetState) {
	if s == nil {
		return
	}
	s.Searchers++
	if t.Down {
		s.Down++
	}
	if t.Cold {
		s.Cold++
	}
}

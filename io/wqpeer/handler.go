package wqpeer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
)

// Handler answers the other VMs. Set the exported fields before Routes.
type Handler struct {
	Controller *wqcontroller.Controller
	// ServeRoute answers a request whose route another VM has chosen.
	ServeRoute func(ctx context.Context, c *wqcall.Call, route *wqroute.Route) wqcall.Reply
}

// Routes returns the handler of the peer listener.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	peers := wqpb.NewPeerServiceServer(service{h.Controller})
	mux.Handle(peers.PathPrefix(), http.MaxBytesHandler(peers, wqheartbeat.MaxBytes))
	mux.HandleFunc("GET "+itemsPath, h.items)
	mux.HandleFunc("POST "+fanPath, h.fan)
	mux.HandleFunc("GET "+fanPath, func(http.ResponseWriter, *http.Request) {}) // Says that this VM is there.
	return mux
}

// items answers a VM that asks for what it lacks.
func (h *Handler) items(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision; pass the number of the newest one known", http.StatusBadRequest)
		return
	}
	b, ok := h.Controller.BatchSince(r.Context(), after)
	if !ok {
		http.Error(w, "this VM stops; ask another one", http.StatusServiceUnavailable)
		return
	}
	out := items{AsOf: b.AsOf, Whole: b.Full, Items: make([]item, 0, len(b.Items))}
	for _, i := range b.Items {
		out.Items = append(out.Items, item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed, AgeMillis: i.Age.Milliseconds()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // The peer asks again when it gets no whole reply.
}

// service answers the unary calls of peers. Tickets and the fleet's own
// configuration have no part in a tier that follows the platform's store.
type service struct {
	keeper *wqcontroller.Controller
}

// Heartbeat takes a peer's membership changes and returns this VM's.
func (s service) Heartbeat(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	decoded, err := wqheartbeat.Decode(m)
	if err != nil {
		return nil, wqtwirperror.Encode(err)
	}
	reply, ok := s.keeper.HeartbeatReceived(ctx, decoded)
	if !ok {
		return nil, wqtwirperror.Encode(wqfault.New(wqfault.Leaving, "this VM has stopped", "take it out of the member list"))
	}
	return wqheartbeat.Encode(reply), nil
}

// Configuration is refused.
func (service) Configuration(context.Context, *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	return nil, unsupported()
}

// ForwardWrite is refused.
func (service) ForwardWrite(context.Context, *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// ForwardOutcome is refused.
func (service) ForwardOutcome(context.Context, *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// DispatchWrite is refused.
func (service) DispatchWrite(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// DispatchOutcome is refused.
func (service) DispatchOutcome(context.Context, *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

func unsupported() error {
	return wqtwirperror.Encode(wqfault.New(wqfault.UnknownName, "this VM follows the platform's store", "send the call to a VM that runs 'wisteriaquay serve'"))
}

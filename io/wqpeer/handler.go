package wqpeer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqhttp"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtwirperror"
)

// Handler serves the calls of the other VMs. Set the exported fields before Routes.
type Handler struct {
	Controller *wqcontroller.Controller
	// ServeRoute runs a call on a route that another VM has chosen.
	ServeRoute func(ctx context.Context, c *wqcall.Call, route *wqroute.Route) wqcall.Reply
	// RefusesFanOuts reports whether this VM runs no more fan-outs for others, because it
	// stops; nil for never.
	RefusesFanOuts func() bool
	// Placement handles a message about the placement of requests; nil if this VM places
	// by latency.
	Placement func(wqplacer.Message) wqplacer.Advice
	// HandleQuota handles a message on quotas; nil if this VM keeps none.
	HandleQuota func(m wqquota.Message) wqquota.Reply
}

// Routes returns the handler of the peer listener.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	peers := wqpb.NewPeerServiceServer(peerService{h.Controller})
	mux.Handle(peers.PathPrefix(), compress(http.MaxBytesHandler(peers, wqheartbeat.MaxBytes)))
	mux.Handle("GET "+itemsPath, compress(http.HandlerFunc(h.serveItems)))
	mux.HandleFunc("POST "+rolloutsPath, h.serveRollouts)
	mux.HandleFunc("POST "+quotaPath, h.serveQuota)
	mux.HandleFunc("POST "+fanOutPath, h.serveFanOut)
	mux.HandleFunc("POST "+placementPath, h.servePlacement)
	mux.HandleFunc("GET "+fanOutPath, func(http.ResponseWriter, *http.Request) {}) // Answers pings.
	return limitMemory(mux)
}

// serveItems returns the items that changed after a store revision.
func (h *Handler) serveItems(w http.ResponseWriter, r *http.Request) {
	afterRevision, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision; pass the highest revision received so far", http.StatusBadRequest)
		return
	}
	b, ok := h.Controller.BatchSince(r.Context(), afterRevision)
	if !ok {
		http.Error(w, "this VM is stopping; fetch from another one", http.StatusServiceUnavailable)
		return
	}
	held := int64(0)
	for _, i := range b.Items {
		held += decodedFactor * int64(len(i.Key)+len(i.Value))
	}
	conn := wqhttp.ConnectionOf(r.Context())
	if !conn.Reserve(held) {
		refuseForMemory(w)
		return
	}
	defer conn.Release(held)
	reply := itemBatch{AsOf: b.StoreRevision, Whole: b.Full, Items: make([]item, 0, len(b.Items))}
	asText := r.URL.Query().Has(textParameter)
	for _, i := range b.Items {
		reply.Items = append(reply.Items, encodeItem(i, asText))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // On an error the peer gets an incomplete reply and fetches again.
}

// peerService serves the Twirp calls of peers. A tier that follows the platform's
// store uses heartbeats only: it has no tickets and no configuration of its own.
type peerService struct {
	controller *wqcontroller.Controller
}

// Heartbeat applies a peer's membership changes and returns those of this VM.
func (s peerService) Heartbeat(ctx context.Context, m *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	decoded, err := wqheartbeat.Decode(m)
	if err != nil {
		return nil, wqtwirperror.Encode(err)
	}
	reply, ok := s.controller.HeartbeatReceived(ctx, decoded)
	if !ok {
		return nil, wqtwirperror.Encode(wqfault.New(wqfault.Leaving, "this VM has stopped", "remove it from the member list"))
	}
	return wqheartbeat.Encode(reply), nil
}

// Configuration returns an error: this tier does not serve it.
func (peerService) Configuration(context.Context, *wqpb.ConfigurationRequest) (*wqpb.ConfigurationResponse, error) {
	return nil, unsupported()
}

// ForwardWrite returns an error: this tier does not serve it.
func (peerService) ForwardWrite(context.Context, *wqpb.WriteRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// ForwardOutcome returns an error: this tier does not serve it.
func (peerService) ForwardOutcome(context.Context, *wqpb.OutcomeRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// DispatchWrite returns an error: this tier does not serve it.
func (peerService) DispatchWrite(context.Context, *wqpb.DispatchWriteRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

// DispatchOutcome returns an error: this tier does not serve it.
func (peerService) DispatchOutcome(context.Context, *wqpb.DispatchOutcomeRequest) (*wqpb.WriteResponse, error) {
	return nil, unsupported()
}

func unsupported() error {
	return wqtwirperror.Encode(wqfault.New(wqfault.UnknownName, "this VM follows the platform's store", "send the call to a VM that runs 'wisteriaquay serve'"))
}

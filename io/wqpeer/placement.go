package wqpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqcost"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqplacer"
	"wisteriaquay/core/wqsend"
)

const (
	placementPath     = "/v1/placement" // placementPath is the path for messages (POST) to the VM that places requests.
	maxPlacementBytes = 256 << 10       // maxPlacementBytes bounds a message; 256 reports take up to 80 KB.
	maxPlacementTime  = time.Hour       // maxPlacementTime bounds the times in a message.
	maxOutcome        = wqsend.Cancelled
)

// placementMessage is the JSON form of a wqplacer.Message.
type placementMessage struct {
	From    string            `json:"from"`
	Reports []placementReport `json:"reports,omitempty"`
	Request *placementRequest `json:"request,omitempty"`
}

type placementRequest struct {
	Number          uint64 `json:"number"`
	Service         string `json:"service"`
	Zone            string `json:"zone,omitempty"`
	Route           string `json:"route,omitempty"`
	Tenant          string `json:"tenant,omitempty"`
	Method          string `json:"method,omitempty"`
	Path            string `json:"path,omitempty"`
	BodyBytes       int    `json:"body_bytes,omitempty"`
	TypicalMicros   int64  `json:"typical_micros,omitempty"`
	RemainingMicros int64  `json:"remaining_micros,omitempty"`
	ObjectiveMicros int64  `json:"objective_micros,omitempty"`
}

type placementReport struct {
	placementRequest
	Searcher string         `json:"searcher,omitempty"`
	Ended    bool           `json:"ended,omitempty"`
	Outcome  wqsend.Outcome `json:"outcome,omitempty"`
}

// placementAdvice is the JSON form of a wqplacer.Advice.
type placementAdvice struct {
	Searcher   string `json:"searcher,omitempty"`
	WaitMicros int64  `json:"wait_micros,omitempty"`
	CostMicros int64  `json:"cost_micros,omitempty"`
	Refuse     bool   `json:"refuse,omitempty"`
}

func encodePlacementRequest(q *wqplacer.Request) placementRequest {
	return placementRequest{
		Number: q.Number, Service: q.Service, Zone: q.Zone, Route: q.Kind.Route, Tenant: q.Kind.Tenant, Method: q.Kind.Method, Path: q.Kind.Path,
		BodyBytes: q.Kind.BodyBytes, TypicalMicros: q.Typical.Microseconds(), RemainingMicros: q.Remaining.Microseconds(), ObjectiveMicros: q.Objective.Microseconds(),
	}
}

func (q *placementRequest) decode() wqplacer.Request {
	return wqplacer.Request{
		Number: q.Number, Service: q.Service, Zone: q.Zone,
		Kind:    wqcost.Kind{Route: q.Route, Tenant: q.Tenant, Method: q.Method, Path: q.Path, BodyBytes: q.BodyBytes},
		Typical: fromMicros(q.TypicalMicros), Remaining: fromMicros(q.RemainingMicros), Objective: fromMicros(q.ObjectiveMicros),
	}
}

// fromMicros returns a duration within the bounds of messages.
func fromMicros(micros int64) time.Duration {
	return time.Duration(min(max(micros, 0), maxPlacementTime.Microseconds())) * time.Microsecond
}

func encodePlacement(m wqplacer.Message) placementMessage {
	encoded := placementMessage{From: m.From}
	for i := range m.Reports {
		r := &m.Reports[i]
		encoded.Reports = append(encoded.Reports, placementReport{placementRequest: encodePlacementRequest(&r.Request), Searcher: r.Searcher, Ended: r.Ended, Outcome: r.Outcome})
	}
	if m.Request != nil {
		q := encodePlacementRequest(m.Request)
		encoded.Request = &q
	}
	return encoded
}

func (m *placementMessage) decode() wqplacer.Message {
	decoded := wqplacer.Message{From: m.From}
	for i := range m.Reports {
		r := &m.Reports[i]
		decoded.Reports = append(decoded.Reports, wqplacer.Report{Request: r.decode(), Searcher: r.Searcher, Ended: r.Ended, Outcome: min(r.Outcome, maxOutcome)})
	}
	if m.Request != nil {
		q := m.Request.decode()
		decoded.Request = &q
	}
	return decoded
}

// Place sends a message to a VM that places requests and returns its advice.
func (c *Client) Place(ctx context.Context, vm *wqdirectory.Target, m wqplacer.Message) (wqplacer.Advice, error) {
	data, err := json.Marshal(encodePlacement(m))
	if err != nil {
		return wqplacer.Advice{}, eris.Wrap(err, "encode a message about placement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Searcher.Address+placementPath, bytes.NewReader(data))
	if err != nil {
		return wqplacer.Advice{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqplacer.Advice{}, err
	}
	defer func() { _ = response.Body.Close() }()
	received := &countingReader{reader: response.Body}
	defer func() { c.countBytes("placement", vm.Searcher.Zone, len(data)+received.count) }()
	if response.StatusCode != http.StatusOK {
		return wqplacer.Advice{}, eris.Errorf("status %d", response.StatusCode)
	}
	var a placementAdvice
	if err := json.NewDecoder(io.LimitReader(received, maxPlacementBytes)).Decode(&a); err != nil {
		return wqplacer.Advice{}, err
	}
	return wqplacer.Advice{Searcher: a.Searcher, Wait: fromMicros(a.WaitMicros), Cost: fromMicros(a.CostMicros), Refuse: a.Refuse}, nil
}

// servePlacement handles a message of another VM.
func (h *Handler) servePlacement(w http.ResponseWriter, r *http.Request) {
	if h.Placement == nil || h.RefusesFanOuts != nil && h.RefusesFanOuts() {
		http.Error(w, "this VM places no requests; place by what you see", http.StatusServiceUnavailable)
		return
	}
	var m placementMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlacementBytes)).Decode(&m); err != nil {
		http.Error(w, "the message is malformed; run the same release on all VMs", http.StatusBadRequest)
		return
	}
	a := h.Placement(m.decode())
	w.Header().Set("Content-Type", "application/json")
	// On an error the sender gets no advice.
	_ = json.NewEncoder(w).Encode(placementAdvice{Searcher: a.Searcher, WaitMicros: a.Wait.Microseconds(), CostMicros: a.Cost.Microseconds(), Refuse: a.Refuse})
}

package wqpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqquota"
	"wisteriaquay/core/wqquotaroster"
)

const (
	quotaPath         = "/v1/quota"
	maxQuotaBytes     = 1 << 20 // maxQuotaBytes bounds the body of a message on quotas; 256 accounts with 200 requests each have 300 KB.
	maxQuotaReply     = 4 << 20 // maxQuotaReply bounds the reply, which may hold the own requests of a VM for as many accounts.
	maxQuotaEntries   = 256
	maxRequestAge     = time.Hour
	maxQuotaNameBytes = 256
)

// quotaMessage is the JSON form of a wqquota.Message.
type quotaMessage struct {
	From    string       `json:"from"`
	Kind    string       `json:"kind"`
	Entries []quotaEntry `json:"entries"`
}

type quotaEntry struct {
	Tenant      string  `json:"tenant"`
	RatePerS    float64 `json:"rate_per_s,omitempty"`
	Burst       float64 `json:"burst,omitempty"`
	Admitted    []int64 `json:"admitted_millis,omitempty"` // Admitted holds the ages of requests.
	Returned    []int64 `json:"returned_millis,omitempty"`
	Late        bool    `json:"late,omitempty"`
	WantHistory bool    `json:"want_history,omitempty"`
}

// quotaReply is the JSON form of a wqquota.Reply.
type quotaReply struct {
	Answers []quotaAnswer `json:"answers"`
}

type quotaAnswer struct {
	Tenant     string  `json:"tenant"`
	Strict     bool    `json:"strict,omitempty"`
	Granted    bool    `json:"granted,omitempty"`
	Blind      bool    `json:"blind,omitempty"`
	Unsettled  bool    `json:"unsettled,omitempty"`
	WaitMillis int64   `json:"wait_millis,omitempty"`
	History    []int64 `json:"history_millis,omitempty"`
	Full       bool    `json:"full,omitempty"`
}

// quotaKinds holds the name of each kind of message.
var quotaKinds = [...]string{wqquota.Report: "report", wqquota.Ask: "ask", wqquota.Push: "push"}

// SendQuota sends a message on quotas to a VM and returns its reply.
func (c *Client) SendQuota(ctx context.Context, to wqquotaroster.VM, m wqquota.Message) (wqquota.Reply, error) {
	data, err := json.Marshal(encodeQuotaMessage(m))
	if err != nil {
		return wqquota.Reply{}, eris.Wrap(err, "encode a message on quotas")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+quotaPath, bytes.NewReader(data))
	if err != nil {
		return wqquota.Reply{}, err
	}
	request.GetBody = nil // Without GetBody the transport can't send the message a second time, which would count its requests twice.
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqquota.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqquota.Reply{}, eris.Errorf("status %d", response.StatusCode)
	}
	received := &countingReader{reader: response.Body}
	defer func() { c.countBytes("quota", to.Zone, len(data)+received.count) }()
	var reply quotaReply
	if err := json.NewDecoder(io.LimitReader(received, maxQuotaReply)).Decode(&reply); err != nil {
		return wqquota.Reply{}, eris.Wrap(err, "the reply on quotas is incomplete")
	}
	return reply.decode(), nil
}

// serveQuota handles a message on quotas from another VM.
func (h *Handler) serveQuota(w http.ResponseWriter, r *http.Request) {
	var message quotaMessage
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuotaBytes)).Decode(&message)
	m, ok := message.decode()
	if err != nil || !ok || h.HandleQuota == nil {
		http.Error(w, "the message on quotas is malformed, or this VM keeps none; run the same release and settings on all VMs", http.StatusBadRequest)
		return
	}
	reply := h.HandleQuota(m)
	encoded := quotaReply{Answers: make([]quotaAnswer, 0, len(reply.Answers))}
	for i := range reply.Answers {
		a := &reply.Answers[i]
		encoded.Answers = append(encoded.Answers, quotaAnswer{
			Tenant: a.Tenant, Strict: a.Strict, Granted: a.Granted, Blind: a.Blind, Unsettled: a.Unsettled,
			WaitMillis: a.Wait.Milliseconds(), History: toMillis(a.History), Full: a.Full,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(encoded) // On an error the sender gets an incomplete reply.
}

func encodeQuotaMessage(m wqquota.Message) quotaMessage {
	encoded := quotaMessage{From: m.From, Kind: quotaKinds[m.Kind], Entries: make([]quotaEntry, 0, len(m.Entries))}
	for i := range m.Entries {
		e := &m.Entries[i]
		encoded.Entries = append(encoded.Entries, quotaEntry{
			Tenant: e.Tenant, RatePerS: e.Rate, Burst: e.Burst, Admitted: toMillis(e.Admitted), Returned: toMillis(e.Returned), Late: e.Late, WantHistory: e.WantHistory,
		})
	}
	return encoded
}

// decode returns the message, false if it is out of range.
func (m *quotaMessage) decode() (wqquota.Message, bool) {
	decoded := wqquota.Message{From: m.From}
	for kind, name := range quotaKinds {
		if m.Kind == name {
			decoded.Kind = wqquota.Kind(kind)
		}
	}
	if quotaKinds[decoded.Kind] != m.Kind || len(m.Entries) > maxQuotaEntries || len(m.From) > maxQuotaNameBytes {
		return wqquota.Message{}, false
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Tenant == "" || len(e.Tenant) > maxQuotaNameBytes {
			return wqquota.Message{}, false
		}
		decoded.Entries = append(decoded.Entries, wqquota.Entry{
			Tenant: e.Tenant, Rate: e.RatePerS, Burst: e.Burst, Admitted: fromMillis(e.Admitted), Returned: fromMillis(e.Returned), Late: e.Late, WantHistory: e.WantHistory,
		})
	}
	return decoded, true
}

func (r *quotaReply) decode() wqquota.Reply {
	var reply wqquota.Reply
	for i := range r.Answers {
		a := &r.Answers[i]
		reply.Answers = append(reply.Answers, wqquota.Answer{
			Tenant: a.Tenant, Strict: a.Strict, Granted: a.Granted, Blind: a.Blind, Unsettled: a.Unsettled,
			Wait: fromMillis([]int64{a.WaitMillis})[0], History: fromMillis(a.History), Full: a.Full,
		})
	}
	return reply
}

func toMillis(ages []time.Duration) []int64 {
	millis := make([]int64, len(ages))
	for i, a := range ages {
		millis[i] = a.Milliseconds()
	}
	return millis
}

// fromMillis returns ages, those out of range as the nearest one within it.
func fromMillis(millis []int64) []time.Duration {
	ages := make([]time.Duration, len(millis))
	for i, m := range millis {
		ages[i] = time.Duration(min(max(m, 0), maxRequestAge.Milliseconds())) * time.Millisecond
	}
	return ages
}

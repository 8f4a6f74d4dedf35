package wqfakesearcher

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"wisteriaquay/io/wqtarget"
)

// requestBytes bounds the body of a request.
const requestBytes = 8 << 20

// coldFactor multiplies the time of a request in cold start.
const coldFactor = 2

// Handler serves the searchers' protocol and the controls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.search)
	mux.HandleFunc("POST /v1/write", s.write)
	mux.HandleFunc("GET /v1/health", s.health)
	s.addControls(mux)
	return mux
}

// turn is one request's hold on a slot.
type turn struct {
	incarnation string
	cold        bool
	refusal     wqtarget.Refusal
	wait        time.Duration
	knobs       Settings
}

// enter takes a slot, or refuses, or falls over. The slot is given back with
// leave, also after a refusal.
func (s *Server) enter(size int) turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := turn{incarnation: s.incarnation, cold: s.cold(), knobs: s.knobs}
	s.inFlight++
	s.counters.Requests++
	s.counters.LargestBatch = max(s.counters.LargestBatch, size)
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.inFlight)
	if t.cold {
		s.counters.MaxColdInFlight = max(s.counters.MaxColdInFlight, s.inFlight)
	}
	t.refusal = s.refuse(t.cold, size)
	t.wait = s.serviceTime(t.cold, size)
	return t
}

func (s *Server) refuse(cold bool, size int) wqtarget.Refusal {
	switch {
	case s.knobs.Draining:
		return wqtarget.RefusalDraining
	case cold && s.inFlight > s.knobs.ColdSlots:
		s.counters.Crashes++
		s.fall()
		return wqtarget.RefusalShed
	case s.inFlight > s.knobs.Slots:
		s.counters.Shed++
		return wqtarget.RefusalShed
	case size > max(s.knobs.Batch, 1):
		return wqtarget.RefusalNotRun
	}
	return ""
}

func (s *Server) serviceTime(cold bool, size int) time.Duration {
	const floor, spread = 0.7, 0.3
	base := s.knobs.ServiceMillis * (floor + spread*s.random.ExpFloat64())
	base *= 1 + s.knobs.BatchShare*float64(size-1)
	if s.random.Float64() < s.knobs.StragglerShare {
		base *= s.knobs.StragglerFactor
	}
	if cold {
		base *= coldFactor
	}
	return millis(base)
}

// leave gives a slot of an incarnation back.
func (s *Server) leave(t turn, served int, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.incarnation == s.incarnation {
		s.inFlight--
	}
	s.counters.SubQueries += uint64(served)
	if cancelled {
		s.counters.Cancelled++
	}
}

// stay waits for the service time and reports whether the request may answer.
func (s *Server) stay(ctx context.Context, t turn) bool {
	if !pause(ctx, t.wait) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.incarnation == s.incarnation && !s.down
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Queries []wqtarget.Query `json:"queries"`
	}
	if !decode(w, r, &in) {
		return
	}
	t := s.enter(len(in.Queries))
	if t.refusal != "" {
		s.leave(t, 0, false)
		s.reply(w, t, http.StatusServiceUnavailable, wqtarget.SearchReply{Refusal: t.refusal})
		return
	}
	if !s.stay(r.Context(), t) {
		s.leave(t, 0, true)
		panic(http.ErrAbortHandler)
	}
	s.leave(t, len(in.Queries), false)
	s.reply(w, t, http.StatusOK, wqtarget.SearchReply{Results: s.results(t.knobs, in.Queries)})
}

func (s *Server) results(k Settings, queries []wqtarget.Query) []wqtarget.Result {
	results := make([]wqtarget.Result, 0, len(queries))
	for _, q := range queries {
		r := s.result(k, q)
		results = append(results, r)
		if k.Fault == FaultDuplicated {
			results = append(results, r)
		}
	}
	return results
}

func (s *Server) result(k Settings, q wqtarget.Query) wqtarget.Result {
	r := wqtarget.Result{RequestID: q.RequestID, Shard: q.Shard, Snapshot: q.Snapshot}
	if q.Snapshot == 0 {
		r.Snapshot = k.NewestSnapshot
	}
	if q.Service != s.Service || q.Shard != s.Shard {
		r.Refusal = wqtarget.RefusalNotRun
		return r
	}
	if r.Snapshot < k.OldestSnapshot || r.Snapshot > k.NewestSnapshot {
		r.Refusal = wqtarget.RefusalSnapshotGone
		return r
	}
	rows := MatchingRows(s.Service, s.Shard, r.Snapshot, q.Body)
	r.Matched = uint32(len(rows))
	r.Rows = rows[:min(len(rows), q.Limit)]
	switch k.Fault {
	case FaultWrongID:
		r.RequestID += "x"
	case FaultWrongSnapshot:
		r.Snapshot++
	}
	return r
}

func (s *Server) reply(w http.ResponseWriter, t turn, status int, reply wqtarget.SearchReply) {
	reply.Incarnation, reply.Cold = t.incarnation, t.cold
	reply.OldestSnapshot, reply.NewestSnapshot = t.knobs.OldestSnapshot, t.knobs.NewestSnapshot
	answer(w, t.knobs.Fault, status, reply)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	var in wqtarget.WriteRequest
	if !decode(w, r, &in) {
		return
	}
	t := s.enter(1)
	out := wqtarget.WriteReply{Incarnation: t.incarnation, Cold: t.cold, RequestID: in.RequestID, Refusal: t.refusal}
	if t.refusal != "" {
		s.leave(t, 0, false)
		answer(w, t.knobs.Fault, http.StatusServiceUnavailable, out)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Execution{RequestID: in.RequestID, Incarnation: t.incarnation, Body: in.Body})
	s.mu.Unlock()
	whole := s.stay(r.Context(), t)
	s.leave(t, 1, !whole)
	if !whole {
		panic(http.ErrAbortHandler)
	}
	out.Body = []byte("done " + in.RequestID)
	answer(w, t.knobs.Fault, http.StatusOK, out)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	k := s.knobs
	h := wqtarget.Health{
		Ready:          !k.Draining,
		Load:           float64(s.inFlight) / float64(max(k.Slots, 1)),
		Cold:           s.cold(),
		Draining:       k.Draining,
		Incarnation:    s.incarnation,
		OldestSnapshot: k.OldestSnapshot,
		NewestSnapshot: k.NewestSnapshot,
	}
	s.mu.Unlock()
	if k.MisreportHealth {
		h.Ready, h.Load, h.Cold, h.Draining = true, 0, false, false
	}
	answer(w, FaultNone, http.StatusOK, h)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, f Fault, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil || f == FaultNoReply {
		panic(http.ErrAbortHandler)
	}
	if f == FaultGarbage {
		raw = []byte("\x00garbage{")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if f == FaultTruncated {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

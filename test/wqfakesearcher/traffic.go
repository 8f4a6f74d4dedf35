package wqfakesearcher

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"wisteriaquay/io/wqtarget"
)

// maxRequestBytes is the largest request body, in bytes.
const maxRequestBytes = 8 << 20

// coldStartFactor multiplies the service time in cold start.
const coldStartFactor = 2

// Handler returns a handler of the searchers' protocol and the control
// endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.reportLeaving(s.handleSearch))
	mux.HandleFunc("POST /v1/write", s.reportLeaving(s.handleWrite))
	mux.HandleFunc("GET /v1/health", s.reportLeaving(s.handleHealth))
	s.addControlEndpoints(mux)
	return mux
}

// slot is the slot of one request, with the state of the searcher at its start.
type slot struct {
	incarnation string
	cold        bool
	refusal     wqtarget.Refusal
	serviceTime time.Duration
	settings    Settings
}

// acquireSlot counts a request as in flight. The slot's refusal is set when the
// request may not run; a request above ColdSlots in cold start crashes the
// searcher. The caller releases the slot with releaseSlot, also after a refusal.
func (s *Server) acquireSlot(batch int) slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := slot{incarnation: s.incarnation, cold: s.inColdStart(), settings: s.settings}
	s.inFlight++
	s.counters.Requests++
	s.counters.LargestBatch = max(s.counters.LargestBatch, batch)
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.inFlight)
	if sl.cold {
		s.counters.MaxColdInFlight = max(s.counters.MaxColdInFlight, s.inFlight)
	}
	sl.refusal = s.checkLimits(sl.cold, batch)
	sl.serviceTime = s.serviceTime(sl.cold, batch)
	return sl
}

func (s *Server) checkLimits(cold bool, batch int) wqtarget.Refusal {
	switch {
	case s.settings.Draining:
		return wqtarget.RefusalDraining
	case cold && s.inFlight > s.settings.ColdSlots:
		s.counters.Crashes++
		s.endIncarnation()
		return wqtarget.RefusalShed
	case s.inFlight > s.settings.Slots:
		s.counters.Shed++
		return wqtarget.RefusalShed
	case batch > max(s.settings.Batch, 1):
		return wqtarget.RefusalNotRun
	}
	return ""
}

func (s *Server) serviceTime(cold bool, batch int) time.Duration {
	const fixedShare, randomShare = 0.7, 0.3
	serviceMillis := s.settings.ServiceMillis * (fixedShare + randomShare*s.random.ExpFloat64())
	serviceMillis *= 1 + s.settings.BatchShare*float64(batch-1)
	if s.random.Float64() < s.settings.StragglerShare {
		serviceMillis *= s.settings.StragglerFactor
	}
	if cold {
		serviceMillis *= coldStartFactor
	}
	return millis(serviceMillis)
}

// releaseSlot ends a request that executed this many sub-queries. A slot of an
// earlier incarnation no longer counts as in flight.
func (s *Server) releaseSlot(sl slot, served int, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.incarnation == s.incarnation {
		s.inFlight--
	}
	s.counters.SubQueries += uint64(served)
	if cancelled {
		s.counters.Cancelled++
	}
}

// waitServiceTime waits for the service time. It reports false when the request
// was cancelled or its incarnation ended.
func (s *Server) waitServiceTime(ctx context.Context, sl slot) bool {
	if !sleep(ctx, sl.serviceTime) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.incarnation == s.incarnation && !s.down
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Queries []wqtarget.Query `json:"queries"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	sl := s.acquireSlot(len(request.Queries))
	if sl.refusal != "" {
		s.releaseSlot(sl, 0, false)
		setRetryAfter(w, sl.settings)
		s.writeSearchReply(w, sl, http.StatusServiceUnavailable, wqtarget.SearchReply{Refusal: sl.refusal})
		return
	}
	if !s.waitServiceTime(r.Context(), sl) {
		s.releaseSlot(sl, 0, true)
		panic(http.ErrAbortHandler)
	}
	s.releaseSlot(sl, len(request.Queries), false)
	s.writeSearchReply(w, sl, http.StatusOK, wqtarget.SearchReply{Results: s.results(sl.settings, request.Queries)})
}

func (s *Server) results(settings Settings, queries []wqtarget.Query) []wqtarget.Result {
	results := make([]wqtarget.Result, 0, len(queries))
	for _, q := range queries {
		r := s.result(settings, q)
		results = append(results, r)
		if settings.Fault == FaultDuplicated {
			results = append(results, r)
		}
	}
	return results
}

func (s *Server) result(settings Settings, q wqtarget.Query) wqtarget.Result {
	r := wqtarget.Result{RequestID: q.RequestID, Shard: q.Shard, Snapshot: q.Snapshot}
	if q.Snapshot == 0 {
		r.Snapshot = settings.NewestSnapshot
	}
	if q.Service != s.Service || q.Shard != s.Shard {
		r.Refusal = wqtarget.RefusalNotRun
		return r
	}
	if r.Snapshot < settings.OldestSnapshot || r.Snapshot > settings.NewestSnapshot {
		r.Refusal = wqtarget.RefusalSnapshotGone
		return r
	}
	rows := MatchingRows(s.Service, s.Shard, r.Snapshot, q.Body)
	r.Matched = uint32(len(rows))
	r.Rows = rows[:min(len(rows), q.Limit)]
	switch settings.Fault {
	case FaultWrongID:
		r.RequestID += "x"
	case FaultWrongSnapshot:
		r.Snapshot++
	}
	return r
}

func (s *Server) writeSearchReply(w http.ResponseWriter, sl slot, status int, reply wqtarget.SearchReply) {
	reply.Incarnation, reply.Cold = sl.incarnation, sl.cold
	reply.OldestSnapshot, reply.NewestSnapshot = sl.settings.OldestSnapshot, sl.settings.NewestSnapshot
	writeReply(w, sl.settings.Fault, status, reply)
}

func (s *Server) handleWrite(w http.ResponseWriter, r *http.Request) {
	var request wqtarget.WriteRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	sl := s.acquireSlot(1)
	reply := wqtarget.WriteReply{Incarnation: sl.incarnation, Cold: sl.cold, RequestID: request.RequestID, Refusal: sl.refusal}
	if sl.refusal != "" {
		s.releaseSlot(sl, 0, false)
		setRetryAfter(w, sl.settings)
		writeReply(w, sl.settings.Fault, http.StatusServiceUnavailable, reply)
		return
	}
	s.mu.Lock()
	s.executions = append(s.executions, Execution{RequestID: request.RequestID, Incarnation: sl.incarnation, Body: request.Body})
	s.mu.Unlock()
	completed := s.waitServiceTime(r.Context(), sl)
	s.releaseSlot(sl, 1, !completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	reply.Body = []byte("done " + request.RequestID)
	writeReply(w, sl.settings.Fault, http.StatusOK, reply)
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	settings := s.settings
	h := wqtarget.Health{
		Ready:          !settings.Draining,
		Load:           float64(s.inFlight) / float64(max(settings.Slots, 1)),
		Cold:           s.inColdStart(),
		Draining:       settings.Draining,
		Incarnation:    s.incarnation,
		OldestSnapshot: settings.OldestSnapshot,
		NewestSnapshot: settings.NewestSnapshot,
	}
	s.mu.Unlock()
	if settings.MisreportHealth {
		h.Ready, h.Load, h.Cold, h.Draining = true, 0, false, false
	}
	writeReply(w, FaultNone, http.StatusOK, h)
}

func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeReply(w http.ResponseWriter, fault Fault, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil || fault == FaultNoReply {
		panic(http.ErrAbortHandler)
	}
	if fault == FaultGarbage {
		data = []byte("\x00garbage{")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if fault == FaultTruncated {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

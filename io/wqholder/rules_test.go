package wqholder_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqlimit"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
	"wisteriaquay/io/wqholder"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqtarget"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// paused is a client that pauses each search until answer yields its error or ctx
// ends. It sends the size of the batch to sizes when the search begins.
type paused struct {
	instantClient
	sizes         chan int
	answer        chan error
	endedSearches atomic.Int32
}

func newPaused() *paused { return &paused{sizes: make(chan int, 100), answer: make(chan error, 100)} }

func (c *paused) Search(ctx context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error) {
	c.sizes <- len(batch)
	defer c.endedSearches.Add(1)
	select {
	case err := <-c.answer:
		reply, _ := c.instantClient.Search(ctx, s, batch)
		return reply, err
	case <-ctx.Done():
		return wqtarget.SearchReply{}, ctx.Err()
	}
}

type pausedHolder = wqholder.Holder[*paused, wqlimit.Fixed]

// newPausedHolder returns a holder of one searcher with one slot, its client and
// its view.
func newPausedHolder(t *testing.T) (*pausedHolder, *paused, *atomic.Pointer[wqview.View]) {
	t.Helper()
	c := newPaused()
	h, closeHolder := wqholder.New(c, func() wqlimit.Fixed { return wqlimit.Fixed{} })
	t.Cleanup(closeHolder)
	var view atomic.Pointer[wqview.View]
	v := viewWithSearchers(1)
	v.Holders["s-0000"] = []wqview.Holder{{MemberID: "vm-1", Slots: 1, Connections: 1}}
	view.Store(v)
	h.View = view.Load
	return h, c, &view
}

// startFanOut starts a fan-out and returns the channel of its parts, which is
// closed at the end.
func startFanOut(ctx context.Context, h *pausedHolder, r *wqpb.FanRequest) chan *wqpb.FanPart {
	parts := make(chan *wqpb.FanPart, 10)
	go func() {
		defer close(parts)
		_ = h.FanOut(ctx, r, func(p *wqpb.FanPart) error {
			parts <- p
			return nil
		})
	}()
	return parts
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

func waitForQueued(t *testing.T, h *pausedHolder, n int) {
	t.Helper()
	eventually(t, func() bool { return h.Queued("s-0000") == n })
}

// onlyStatus returns the status in the next part, which has to hold one result.
func onlyStatus(t *testing.T, parts chan *wqpb.FanPart) wqpb.SubStatus {
	t.Helper()
	p := <-parts
	must.NotNil(t, p)
	must.SliceLen(t, 1, p.Results)
	return p.Results[0].Status
}

// The view may change while a task is queued. The task is sent or refused by the
// view at the time of sending.
func TestViewIsCheckedBeforeSending(t *testing.T) {
	for want, change := range map[wqpb.SubStatus]func(v *wqview.View){
		wqpb.SubStatus_SUB_STATUS_NOT_RUN:  func(v *wqview.View) { v.ConfirmedAt = time.Now().Add(-time.Minute) },
		wqpb.SubStatus_SUB_STATUS_NOT_HELD: func(v *wqview.View) { v.Holders = nil },
		wqpb.SubStatus_SUB_STATUS_DRAINING: func(v *wqview.View) { v.Targets = map[string]wqview.TargetState{"s-0000": {Draining: true}} },
		wqpb.SubStatus_SUB_STATUS_ZONE_OUT: func(v *wqview.View) {
			topology := *v.Index.Topology
			topology.Zones = []wqtopology.Zone{{ID: "a", Out: true}}
			v.Index = wqtopology.NewIndex(&topology)
		},
	} {
		h, c, view := newPausedHolder(t)
		first := startFanOut(context.Background(), h, fanRequest(view.Load()))
		must.EqOp(t, 1, <-c.sizes)
		second := startFanOut(context.Background(), h, fanRequest(view.Load()))
		waitForQueued(t, h, 1)
		changed := *view.Load()
		change(&changed)
		view.Store(&changed)
		c.answer <- nil
		must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, onlyStatus(t, first))
		must.EqOp(t, want, onlyStatus(t, second))
		must.EqOp(t, 0, len(c.sizes))
	}
}

func TestUnusableShareSendsNothing(t *testing.T) {
	h, c, view := newPausedHolder(t)
	for _, change := range []func(v *wqview.View){
		func(v *wqview.View) { v.Isolated = true },
		func(v *wqview.View) { v.Holders["s-0000"][0].UsableFrom = time.Now().Add(time.Minute) },
	} {
		v := viewWithSearchers(1)
		change(v)
		view.Store(v)
		must.EqOp(t, wqpb.SubStatus_SUB_STATUS_NOT_RUN, onlyStatus(t, startFanOut(context.Background(), h, fanRequest(v))))
	}
	must.EqOp(t, 0, len(c.sizes))
}

// Sub-queries queued for one slot share a request. Cancelling one of the fan-outs
// must not cancel the request for the others.
func TestBatchContinuesWhenOneCallerCancels(t *testing.T) {
	h, c, view := newPausedHolder(t)
	_ = startFanOut(context.Background(), h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.sizes)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := startFanOut(ctx, h, fanRequest(view.Load()))
	other := startFanOut(context.Background(), h, fanRequest(view.Load()))
	waitForQueued(t, h, 2)
	c.answer <- nil
	must.EqOp(t, 2, <-c.sizes)
	cancel()
	_, open := <-cancelled
	must.False(t, open)
	must.EqOp(t, 1, c.endedSearches.Load())
	c.answer <- nil
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, onlyStatus(t, other))
}

func TestCancelledFanOutCancelsItsRequest(t *testing.T) {
	h, c, view := newPausedHolder(t)
	ctx, cancel := context.WithCancel(context.Background())
	parts := startFanOut(ctx, h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.sizes)
	cancel()
	_, open := <-parts
	must.False(t, open)
	eventually(t, func() bool { return c.endedSearches.Load() == 1 })
}

// An answer that arrives before the deadline, while an earlier part is being sent,
// is sent although the deadline has passed by then. Each round is one draw of the
// select in sendResults.
func TestAnswerReadyAtTheDeadlineIsSent(t *testing.T) {
	for range 20 {
		h, c, view := newPausedHolder(t)
		view.Store(viewWithSearchers(2))
		r := fanRequest(view.Load())
		r.RemainingMicros = 30_000
		var statuses []wqpb.SubStatus
		c.answer <- nil
		err := h.FanOut(context.Background(), r, func(p *wqpb.FanPart) error {
			for _, result := range p.Results {
				statuses = append(statuses, result.Status)
			}
			if len(statuses) == 1 {
				c.answer <- nil
				time.Sleep(40 * time.Millisecond)
			}
			return nil
		})
		must.NoError(t, err)
		must.Eq(t, []wqpb.SubStatus{wqpb.SubStatus_SUB_STATUS_ANSWERED, wqpb.SubStatus_SUB_STATUS_ANSWERED}, statuses)
	}
}

// At the deadline every sub-query has a result that says whether it was sent.
func TestDeadlineEndsEverySubQuery(t *testing.T) {
	h, c, view := newPausedHolder(t)
	r := fanRequest(view.Load())
	r.RemainingMicros = 30_000
	p := <-startFanOut(context.Background(), h, r)
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_EXPIRED, p.Results[0].Status)
	must.EqOp(t, 1, p.Results[0].Sent)
	must.EqOp(t, 1, <-c.sizes)
}

func TestInvalidFanRequestIsRejected(t *testing.T) {
	h, _, view := newPausedHolder(t)
	for _, change := range []func(r *wqpb.FanRequest){
		func(r *wqpb.FanRequest) { r.Body = make([]byte, 65<<10) },
		func(r *wqpb.FanRequest) { r.Limit = 1001 },
		func(r *wqpb.FanRequest) { r.SubQueries = make([]*wqpb.SubQuery, 8193) },
	} {
		r := fanRequest(view.Load())
		change(r)
		err := h.FanOut(context.Background(), r, func(*wqpb.FanPart) error { return nil })
		must.EqOp(t, wqfault.BadInput, wqfault.KindOf(err))
	}
}

// A write-like request whose call ends while it is queued is never sent, and its
// outcome is NOT_RUN.
func TestQueuedWriteIsNotRunAfterCancel(t *testing.T) {
	h, c, view := newPausedHolder(t)
	_ = startFanOut(context.Background(), h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.sizes)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	w := &wqpb.DispatchWriteRequest{Ticket: "t-1", Searcher: "s-0000", Service: "bench", Shard: "b0000", RemainingMicros: 1_000_000}
	response, err := h.DispatchWrite(ctx, w)
	must.NoError(t, err)
	must.EqOp(t, wqpb.Outcome_OUTCOME_NOT_RUN, response.Outcome)
	c.answer <- nil
	response, err = h.DispatchWrite(context.Background(), w)
	must.NoError(t, err)
	must.EqOp(t, wqpb.Outcome_OUTCOME_DONE, response.Outcome)
}

// rankedClient answers each searcher's queries with a given result.
type rankedClient struct {
	instantClient
	results map[string]wqtarget.Result
}

func (c rankedClient) Search(_ context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error) {
	r := c.results[s.ID]
	r.RequestID = batch[0].RequestID
	return wqtarget.SearchReply{Results: []wqtarget.Result{r}}, nil
}

// All parts together contain the top rows of each snapshot. Matched counts the rows
// before the limit.
func TestPartsContainTopRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewWithSearchers(6)
		c := rankedClient{results: make(map[string]wqtarget.Result)}
		wantRows := make(map[uint64][]string)
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		for _, s := range v.Index.Topology.Searchers {
			r := drawResult(t, s.Shard)
			c.results[s.ID] = r
			for _, row := range r.Rows {
				wantRows[r.Snapshot] = append(wantRows[r.Snapshot], sortKey(row.Score, row.Key))
			}
		}
		h, closeHolder := wqholder.New(c, func() wqlimit.Fixed { return wqlimit.Fixed{} })
		defer closeHolder()
		h.View = func() *wqview.View { return v }
		request := fanRequest(v)
		request.Limit = uint32(limit)
		shards := make(map[string]uint64)
		var rows []*wqpb.Row
		err := h.FanOut(context.Background(), request, func(p *wqpb.FanPart) error {
			for _, r := range p.Results {
				must.EqOp(t, uint32(len(c.results[r.Searcher].Rows)), r.Matched)
				shards[r.Shard] = r.Snapshot
			}
			rows = append(rows, p.Rows...)
			return nil
		})
		must.NoError(t, err)
		must.MapLen(t, 6, shards)
		got := make(map[uint64][]string)
		for _, row := range rows {
			got[shards[row.Shard]] = append(got[shards[row.Shard]], sortKey(row.Score, row.Key))
		}
		for snapshot, want := range wantRows {
			sort.Strings(want)
			sort.Strings(got[snapshot])
			n := min(limit, len(want))
			must.SliceContainsAll(t, got[snapshot][:n], want[:n])
		}
	})
}

// sortKey returns a string by which rows sort: highest score first, then by key.
func sortKey(score float64, key string) string { return fmt.Sprintf("%02.0f %s", 99-score, key) }

func drawResult(t *rapid.T, shard string) wqtarget.Result {
	r := wqtarget.Result{Shard: shard, Snapshot: rapid.Uint64Range(7, 8).Draw(t, "snapshot")}
	for i := range rapid.IntRange(0, 5).Draw(t, "rows") {
		r.Rows = append(r.Rows, wqtarget.Row{Key: fmt.Sprintf("%s-%d", shard, i), Score: float64(rapid.IntRange(0, 9).Draw(t, "score"))})
	}
	r.Matched = uint32(len(r.Rows))
	return r
}

// The answers of two searchers of one shard must not share a part, since their rows
// could not be distinguished.
func TestRepeatedShardUsesTwoParts(t *testing.T) {
	v := viewWithSearchers(2)
	v.Index.Topology.Searchers[1].Shard = v.Index.Topology.Searchers[0].Shard
	h, closeHolder := wqholder.New(instantClient{[]wqtarget.Row{{Key: "k"}}}, func() wqlimit.Fixed { return wqlimit.Fixed{} })
	defer closeHolder()
	h.View = func() *wqview.View { return v }
	parts := 0
	err := h.FanOut(context.Background(), fanRequest(v), func(p *wqpb.FanPart) error {
		parts++
		must.SliceLen(t, 1, p.Rows)
		return nil
	})
	must.NoError(t, err)
	must.EqOp(t, 2, parts)
}

// Refusals are sent without GatherDelay; those that arrive together share a part.
func TestRefusalsAreSentImmediately(t *testing.T) {
	h, c, view := newPausedHolder(t)
	h.GatherDelay = time.Hour
	v := viewWithSearchers(20)
	v.Holders = map[string][]wqview.Holder{"s-0000": {{MemberID: "vm-1", Slots: 1, Connections: 1}}}
	view.Store(v)
	parts := startFanOut(context.Background(), h, fanRequest(v))
	p := <-parts
	must.SliceLen(t, 19, p.Results)
	c.answer <- nil
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, onlyStatus(t, parts))
}

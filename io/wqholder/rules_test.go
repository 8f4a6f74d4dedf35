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

// held is a client whose searches wait for a word each, or for their end.
type held struct {
	instant
	started chan int
	answer  chan error
	ended   atomic.Int32
}

func newHeld() *held { return &held{started: make(chan int, 100), answer: make(chan error, 100)} }

func (c *held) Search(ctx context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error) {
	c.started <- len(batch)
	defer c.ended.Add(1)
	select {
	case err := <-c.answer:
		reply, _ := c.instant.Search(ctx, s, batch)
		return reply, err
	case <-ctx.Done():
		return wqtarget.SearchReply{}, ctx.Err()
	}
}

type heldHolder = wqholder.Holder[*held, wqlimit.Fixed]

// newHeldHolder returns a holder of one searcher with one slot, and its view.
func newHeldHolder(t *testing.T) (*heldHolder, *held, *atomic.Pointer[wqview.View]) {
	t.Helper()
	c := newHeld()
	h, closeHolder := wqholder.New(c, func() wqlimit.Fixed { return wqlimit.Fixed{} })
	t.Cleanup(closeHolder)
	var view atomic.Pointer[wqview.View]
	v := viewOf(1)
	v.Holders["s-0000"] = []wqview.Holder{{MemberID: "vm-1", Slots: 1, Connections: 1}}
	view.Store(v)
	h.View = view.Load
	return h, c, &view
}

// background sends a fan and returns where its parts arrive.
func background(ctx context.Context, h *heldHolder, r *wqpb.FanRequest) chan *wqpb.FanPart {
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

func waitQueued(t *testing.T, h *heldHolder, n int) {
	t.Helper()
	eventually(t, func() bool { return h.Queued("s-0000") == n })
}

// status returns the status of a fan over one searcher.
func status(t *testing.T, parts chan *wqpb.FanPart) wqpb.SubStatus {
	t.Helper()
	p := <-parts
	must.NotNil(t, p)
	must.SliceLen(t, 1, p.Results)
	return p.Results[0].Status
}

// Queued work is judged by the view of the moment at which it would be sent.
func TestFreshnessIsCheckedAtDispatch(t *testing.T) {
	for want, change := range map[wqpb.SubStatus]func(v *wqview.View){
		wqpb.SubStatus_SUB_STATUS_NOT_RUN:  func(v *wqview.View) { v.ConfirmedAt = time.Now().Add(-time.Minute) },
		wqpb.SubStatus_SUB_STATUS_NOT_HELD: func(v *wqview.View) { v.Holders = nil },
		wqpb.SubStatus_SUB_STATUS_DRAINING: func(v *wqview.View) { v.Targets = map[string]wqview.TargetState{"s-0000": {Draining: true}} },
		wqpb.SubStatus_SUB_STATUS_ZONE_OUT: func(v *wqview.View) {
			out := *v.Index.Topology
			out.Zones = []wqtopology.Zone{{ID: "a", Out: true}}
			v.Index = wqtopology.NewIndex(&out)
		},
	} {
		h, c, view := newHeldHolder(t)
		first := background(context.Background(), h, fanRequest(view.Load()))
		must.EqOp(t, 1, <-c.started)
		second := background(context.Background(), h, fanRequest(view.Load()))
		waitQueued(t, h, 1)
		changed := *view.Load()
		change(&changed)
		view.Store(&changed)
		c.answer <- nil
		must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, status(t, first))
		must.EqOp(t, want, status(t, second))
		must.EqOp(t, 0, len(c.started))
	}
}

func TestUnusableShareSendsNothing(t *testing.T) {
	h, c, view := newHeldHolder(t)
	for _, change := range []func(v *wqview.View){
		func(v *wqview.View) { v.Isolated = true },
		func(v *wqview.View) { v.Holders["s-0000"][0].UsableFrom = time.Now().Add(time.Minute) },
	} {
		v := viewOf(1)
		change(v)
		view.Store(v)
		must.EqOp(t, wqpb.SubStatus_SUB_STATUS_NOT_RUN, status(t, background(context.Background(), h, fanRequest(v))))
	}
	must.EqOp(t, 0, len(c.started))
}

// What waits for one slot travels together, and a cancelled fan cancels a
// request only when nobody else waits for it.
func TestBatchOutlivesOneOfItsFans(t *testing.T) {
	h, c, view := newHeldHolder(t)
	_ = background(context.Background(), h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.started)
	ctx, cancel := context.WithCancel(context.Background())
	gone := background(ctx, h, fanRequest(view.Load()))
	stays := background(context.Background(), h, fanRequest(view.Load()))
	waitQueued(t, h, 2)
	c.answer <- nil
	must.EqOp(t, 2, <-c.started)
	cancel()
	_, open := <-gone
	must.False(t, open)
	must.EqOp(t, 1, c.ended.Load())
	c.answer <- nil
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, status(t, stays))
}

func TestCancelledFanCancelsItsRequest(t *testing.T) {
	h, c, view := newHeldHolder(t)
	ctx, cancel := context.WithCancel(context.Background())
	parts := background(ctx, h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.started)
	cancel()
	_, open := <-parts
	must.False(t, open)
	eventually(t, func() bool { return c.ended.Load() == 1 })
}

// At the deadline every sub-query has a result, which tells what was sent.
func TestDeadlineEndsEverySubQuery(t *testing.T) {
	h, c, view := newHeldHolder(t)
	r := fanRequest(view.Load())
	r.RemainingMicros = 30_000
	p := <-background(context.Background(), h, r)
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_EXPIRED, p.Results[0].Status)
	must.EqOp(t, 1, p.Results[0].Sent)
	must.EqOp(t, 1, <-c.started)
}

func TestBadFanIsRefused(t *testing.T) {
	h, _, view := newHeldHolder(t)
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

// A write-like request whose call ends while it waits is not run, and says so.
func TestQueuedWriteThatIsGivenUpIsNotRun(t *testing.T) {
	h, c, view := newHeldHolder(t)
	_ = background(context.Background(), h, fanRequest(view.Load()))
	must.EqOp(t, 1, <-c.started)
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

// ranked is a client whose rows have drawn scores.
type ranked struct {
	instant
	results map[string]wqtarget.Result
}

func (c ranked) Search(_ context.Context, s *wqtopology.Searcher, batch []wqtarget.Query) (wqtarget.SearchReply, error) {
	r := c.results[s.ID]
	r.RequestID = batch[0].RequestID
	return wqtarget.SearchReply{Results: []wqtarget.Result{r}}, nil
}

// The rows of all parts hold the best rows of each snapshot, and the counts
// are those before the limit.
func TestPartsHoldBestRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(6)
		c := ranked{results: make(map[string]wqtarget.Result)}
		best := make(map[uint64][]string)
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		for _, s := range v.Index.Topology.Searchers {
			r := drawResult(t, s.Shard)
			c.results[s.ID] = r
			for _, row := range r.Rows {
				best[r.Snapshot] = append(best[r.Snapshot], rowName(row.Score, row.Key))
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
			got[shards[row.Shard]] = append(got[shards[row.Shard]], rowName(row.Score, row.Key))
		}
		for snapshot, want := range best {
			sort.Strings(want)
			sort.Strings(got[snapshot])
			n := min(limit, len(want))
			must.SliceContainsAll(t, got[snapshot][:n], want[:n])
		}
	})
}

// rowName orders rows as strings: highest score first, then by key.
func rowName(score float64, key string) string { return fmt.Sprintf("%02.0f %s", 99-score, key) }

func drawResult(t *rapid.T, shard string) wqtarget.Result {
	r := wqtarget.Result{Shard: shard, Snapshot: rapid.Uint64Range(7, 8).Draw(t, "snapshot")}
	for i := range rapid.IntRange(0, 5).Draw(t, "rows") {
		r.Rows = append(r.Rows, wqtarget.Row{Key: fmt.Sprintf("%s-%d", shard, i), Score: float64(rapid.IntRange(0, 9).Draw(t, "score"))})
	}
	r.Matched = uint32(len(r.Rows))
	return r
}

// Two searchers of one shard never share a part, where their rows would be
// mistaken for each other.
func TestOneShardTwiceTakesTwoParts(t *testing.T) {
	v := viewOf(2)
	v.Index.Topology.Searchers[1].Shard = v.Index.Topology.Searchers[0].Shard
	h, closeHolder := wqholder.New(instant{[]wqtarget.Row{{Key: "k"}}}, func() wqlimit.Fixed { return wqlimit.Fixed{} })
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

// A refusal passes at once, those that come together in one part.
func TestRefusalsPassAtOnce(t *testing.T) {
	h, c, view := newHeldHolder(t)
	h.GatherDelay = time.Hour
	v := viewOf(20)
	v.Holders = map[string][]wqview.Holder{"s-0000": {{MemberID: "vm-1", Slots: 1, Connections: 1}}}
	view.Store(v)
	parts := background(context.Background(), h, fanRequest(v))
	p := <-parts
	must.SliceLen(t, 19, p.Results)
	c.answer <- nil
	must.EqOp(t, wqpb.SubStatus_SUB_STATUS_ANSWERED, status(t, parts))
}

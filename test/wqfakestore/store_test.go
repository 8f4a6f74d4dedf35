package wqfakestore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqstore"
	"wisteriaquay/test/wqfakestore"
)

// startStore starts a fake store and returns it with a client.
func startStore(t *testing.T) (*wqfakestore.Server, *wqstore.Client) {
	t.Helper()
	s := &wqfakestore.Server{}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, &wqstore.Client{
		URL:     h.URL,
		Timeout: 300 * time.Millisecond,
		HTTP:    h.Client(),
	}
}

func swap(t *testing.T, c *wqstore.Client, data string, ifRevision uint64) uint64 {
	t.Helper()
	revision, err := c.CompareAndSwap(t.Context(), wqstore.SwapRequest{Key: "head", Data: []byte(data), IfRevision: ifRevision})
	must.NoError(t, err)
	return revision
}

func TestSwapConflictReturnsCurrentRevision(t *testing.T) {
	_, c := startStore(t)
	v, err := c.Get(t.Context(), "head")
	must.NoError(t, err)
	must.Eq(t, 0, v.Revision)
	must.Eq(t, 1, swap(t, c, "one", 0))
	revision, err := c.CompareAndSwap(t.Context(), wqstore.SwapRequest{Key: "head", Data: []byte("two")})
	must.Eq(t, wqfault.Conflict, wqfault.KindOf(err))
	must.Eq(t, 1, revision)
	v, err = c.Get(t.Context(), "head")
	must.NoError(t, err)
	must.Eq(t, "one", string(v.Data))
}

func TestSwapWithDroppedReplyHasUnknownOutcome(t *testing.T) {
	s, c := startStore(t)
	s.SetFaults(wqfakestore.Faults{DropReplies: 1})
	_, err := c.CompareAndSwap(t.Context(), wqstore.SwapRequest{Key: "head", Data: []byte("one")})
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	v, err := c.Get(t.Context(), "head")
	must.NoError(t, err)
	must.Eq(t, "one", string(v.Data))
}

func TestCallsTimeOutWhileTheStoreHangs(t *testing.T) {
	s, c := startStore(t)
	s.SetFaults(wqfakestore.Faults{Hang: true})
	defer s.SetFaults(wqfakestore.Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := c.Get(ctx, "head")
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
	_, err = c.Watch(ctx, "head", 0, 50*time.Millisecond)
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
	_, err = c.CompareAndSwap(ctx, wqstore.SwapRequest{Key: "head"})
	must.Eq(t, wqfault.OutcomeUnknown, wqfault.KindOf(err))
	must.NoError(t, ctx.Err())
}

func TestUnreachableStoreIsUnavailable(t *testing.T) {
	c := &wqstore.Client{URL: "http://127.0.0.1:1", Timeout: time.Second, HTTP: http.DefaultClient}
	_, err := c.CompareAndSwap(t.Context(), wqstore.SwapRequest{Key: "head"})
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
}

func TestWatchReturnsOnChange(t *testing.T) {
	s, c := startStore(t)
	first := swap(t, c, "one", 0)
	got := make(chan wqstore.Value, 1)
	go func() {
		v, _ := c.Watch(t.Context(), "head", first, 5*time.Second)
		got <- v
	}()
	must.Wait(t, waitForWatch(s))
	swap(t, c, "two", first)
	must.Eq(t, "two", string((<-got).Data))
	must.Eq(t, wqfakestore.Counts{Swaps: 2, Watches: 1}, s.Counts())
}

func TestStaleReadReturnsOlderValue(t *testing.T) {
	s, c := startStore(t)
	swap(t, c, "two", swap(t, c, "one", 0))
	s.SetFaults(wqfakestore.Faults{StaleWrites: 1})
	v, err := c.Get(t.Context(), "head")
	must.NoError(t, err)
	must.Eq(t, "one", string(v.Data))
}

func TestExpiredLeaseRemovesItsKey(t *testing.T) {
	_, c := startStore(t)
	id, err := c.GrantLease(t.Context(), 20*time.Millisecond)
	must.NoError(t, err)
	must.NoError(t, c.RenewLease(t.Context(), id))
	_, err = c.CompareAndSwap(t.Context(), wqstore.SwapRequest{Key: "owner", Data: []byte("vm1"), LeaseID: id})
	must.NoError(t, err)
	time.Sleep(40 * time.Millisecond)
	must.Eq(t, wqfault.UnknownName, wqfault.KindOf(c.RenewLease(t.Context(), id)))
	v, err := c.Get(t.Context(), "owner")
	must.NoError(t, err)
	must.Eq(t, 0, v.Revision)
}

package wqeventloop

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoopHandlesThenSettles(t *testing.T) {
	l := New[int](2)
	var sum int
	settled := make(chan int, 16)
	l.HandleEvent = func(_ time.Time, m int) { sum += m }
	l.Tick = func(now time.Time) time.Time {
		select {
		case settled <- sum:
		default:
		}
		return now.Add(time.Hour)
	}
	l.TryPost(1)
	l.TryPost(2)
	l.TryPost(4)
	must.Eq(t, int64(1), l.Dropped(), must.Sprint("the third message finds no room"))
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	for got := 0; got != 3; {
		got = <-settled
	}
	cancel()
	<-l.Done()
	l.TryPost(8)
	l.TryPost(8)
	must.False(t, l.Post(t.Context(), 8), must.Sprint("the loop has ended and its inbox is full"))
}

package wqeventloop

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLoopHandlesEventsThenTicks(t *testing.T) {
	l := New[int](2)
	var sum int
	sums := make(chan int, 16)
	l.HandleEvent = func(_ time.Time, m int) { sum += m }
	l.Tick = func(now time.Time) time.Time {
		select {
		case sums <- sum:
		default:
		}
		return now.Add(time.Hour)
	}
	l.TryPost(1)
	l.TryPost(2)
	l.TryPost(4)
	must.Eq(t, int64(1), l.Dropped(), must.Sprint("the third message exceeds the queue"))
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	for got := 0; got != 3; {
		got = <-sums
	}
	cancel()
	<-l.Done()
	l.TryPost(8)
	l.TryPost(8)
	must.False(t, l.Post(t.Context(), 8), must.Sprint("the loop has ended and its queue is full"))
}

package wqrelay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// settleTimeout bounds the wait for the results of cancelled sends.
const settleTimeout = 100 * time.Millisecond

// errStopping is the cause of contexts that end because the VM stops.
var errStopping = errors.New("this VM stops")

// stopSignal tells the requests in progress of a stop of the VM. The zero value is ready
// to use.
type stopSignal struct {
	once       sync.Once
	sendsEnded chan struct{} // closed when nothing more is sent
	ended      chan struct{} // closed when each request has to reply at once
}

func (s *stopSignal) channels() (sendsEnded, ended chan struct{}) {
	s.once.Do(func() { s.sendsEnded, s.ended = make(chan struct{}), make(chan struct{}) })
	return s.sendsEnded, s.ended
}

// EndSends ends all sends to searchers: requests that wait for one, and those that arrive
// later, are refused as not run, and those in flight finish. Call it once.
func (r *Relay[S, P]) EndSends() {
	sendsEnded, _ := r.stopping.channels()
	close(sendsEnded)
}

// SendsEnded reports whether EndSends was called.
func (r *Relay[S, P]) SendsEnded() bool {
	sendsEnded, _ := r.stopping.channels()
	select {
	case <-sendsEnded:
		return true
	default:
		return false
	}
}

// EndRequests makes the requests in progress reply at once with what they have. Call it
// once.
func (r *Relay[S, P]) EndRequests() {
	_, ended := r.stopping.channels()
	close(ended)
}

// withEnd returns a context that ends with the cause errStopping when requests have to
// reply.
func (s *stopSignal) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	_, ended := s.channels()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-ended:
			cancel(errStopping)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

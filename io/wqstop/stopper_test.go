package wqstop

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqdrain"
	"wisteriaquay/core/wqfault"
)

type phaseRecorder struct {
	mu     sync.Mutex
	phases []wqdrain.Phase
}

func (r *phaseRecorder) onPhase(_ context.Context, p wqdrain.Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phases = append(r.phases, p)
}

func TestRunEndsOnceTheWorkIsDone(t *testing.T) {
	var remaining atomic.Int64
	remaining.Store(3)
	r := &phaseRecorder{}
	s := &Stopper{
		Drain:     &wqdrain.Drain{BalancerLag: 10 * time.Millisecond, Timeout: time.Minute, CloseReserve: time.Second},
		CountWork: func() wqdrain.Work { return wqdrain.Work{Requests: int(max(remaining.Add(-1), 0))} },
		OnPhase:   r.onPhase,
	}
	must.NoError(t, s.Run(t.Context()))
	r.mu.Lock()
	defer r.mu.Unlock()
	must.SliceContainsAll(t, r.phases, []wqdrain.Phase{wqdrain.Unready, wqdrain.Draining, wqdrain.Closing})
}

func TestRunEndsAtDeadlineWhenPhasesHang(t *testing.T) {
	s := &Stopper{
		Drain:     &wqdrain.Drain{BalancerLag: time.Millisecond, Timeout: 50 * time.Millisecond, CloseReserve: 10 * time.Millisecond},
		CountWork: func() wqdrain.Work { return wqdrain.Work{Tickets: 2} },
		OnPhase:   func(ctx context.Context, _ wqdrain.Phase) { <-ctx.Done() },
	}
	err := s.Run(t.Context())
	must.Eq(t, wqfault.Unavailable, wqfault.KindOf(err))
	must.ErrorContains(t, err, "2 tickets")
}

func TestAnswersCloseConnectionWhileStopping(t *testing.T) {
	var stopping atomic.Bool
	s := httptest.NewServer(CloseWhenStopping(http.NotFoundHandler(), stopping.Load))
	defer s.Close()
	for _, want := range []bool{false, true} {
		stopping.Store(want)
		reply, err := http.Get(s.URL)
		must.NoError(t, err)
		must.NoError(t, reply.Body.Close())
		must.Eq(t, want, reply.Close)
	}
}

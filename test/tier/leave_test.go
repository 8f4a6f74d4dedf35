package tier_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// Guards against requests that wait for a connection to a searcher and reach it long
// after it has left, or after its availability zone was taken out.
func TestWaitingRequestsDoNotReachASearcherThatLeft(t *testing.T) {
	const (
		callers  = 16
		deadline = 9 * time.Second
	)
	for name, c := range map[string]struct {
		leave   func(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher)
		maxTime time.Duration
	}{
		"draining": {func(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) { f.Register(s, "draining", 2) }, wqfakeplatform.MaxDrainTime},
		"removed":  {func(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) { f.Store.Remove("servers/" + s.ID) }, wqfakeplatform.MaxDrainTime},
		"zone out": {func(f *wqfakeplatform.Fleet, s *wqfakeplatform.Searcher) {
			f.Store.Put("op/evacuate/"+s.Zone, struct{}{})
		}, wqfakeplatform.MaxEvacuationTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := wqfakeplatform.Start(t, wqfakeplatform.Options{VMs: 1, Shards: shardCount})
			configuration := f.Configuration(1, initialShards)
			configuration.Routes[2].TimeoutMs = int(deadline.Milliseconds())
			for i := range configuration.Services {
				configuration.Services[i].MaxConnections = 2 // One for each searcher and VM.
			}
			f.PutConfiguration(configuration)
			f.WaitReady()
			setBehaviour(f, "invoices", wqfakeplatform.Behaviour{ProcessingTime: time.Second})
			var g sync.WaitGroup
			for range callers {
				g.Go(func() { f.Send(f.VMs[0], http.MethodPost, "/write/x", "order", deadline) })
			}
			time.Sleep(500 * time.Millisecond)
			searcher := f.SearchersOf("invoices")[0]
			c.leave(f, searcher)
			left := time.Now()
			g.Wait()
			must.SliceNotEmpty(t, searcher.Executions())
			for _, e := range searcher.Executions() {
				must.LessEq(t, c.maxTime, e.StartedAt.Sub(left), must.Sprintf("%s reached the searcher too late", e.RequestID))
			}
			checkGuarantees(t, f)
		})
	}
}

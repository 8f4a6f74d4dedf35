package wqload

import (
	"context"
	"net/http"
	"sync/atomic"
)

// balancer hands out the entries that are ready, in turn; all of them when
// none is.
type balancer struct {
	client  *http.Client
	entries []Entry
	usable  atomic.Pointer[[]string]
	turn    atomic.Uint64
}

func newBalancer(c *http.Client, entries []Entry) *balancer {
	b := &balancer{client: c, entries: entries}
	b.look(context.Background())
	return b
}

// next returns the URL of an entry.
func (b *balancer) next() string {
	usable := *b.usable.Load()
	return usable[b.turn.Add(1)%uint64(len(usable))]
}

func (b *balancer) ready() int { return len(*b.usable.Load()) }

// watch looks at the readiness endpoints until the context ends.
func (b *balancer) watch(ctx context.Context) {
	for sleep(ctx, readyEvery) {
		b.look(ctx)
	}
}

func (b *balancer) look(ctx context.Context) {
	var usable, all []string
	for _, e := range b.entries {
		all = append(all, e.URL)
		if e.ReadinessURL == "" || b.says(ctx, e.ReadinessURL) {
			usable = append(usable, e.URL)
		}
	}
	if len(usable) == 0 {
		usable = all
	}
	b.usable.Store(&usable)
}

func (b *balancer) says(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyEvery)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

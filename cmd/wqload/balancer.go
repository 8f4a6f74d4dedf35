package wqload

import (
	"context"
	"net/http"
	"sync/atomic"
)

// balancer picks entries round-robin among those that are ready, or among all
// when none is.
type balancer struct {
	client   *http.Client
	entries  []Entry
	urls     atomic.Pointer[[]string]
	requests atomic.Uint64
}

func newBalancer(c *http.Client, entries []Entry) *balancer {
	b := &balancer{client: c, entries: entries}
	b.checkReadiness(context.Background())
	return b
}

// nextURL returns the URL of the entry for the next request.
func (b *balancer) nextURL() string {
	urls := *b.urls.Load()
	return urls[b.requests.Add(1)%uint64(len(urls))]
}

func (b *balancer) urlCount() int { return len(*b.urls.Load()) }

// pollReadiness polls the readiness endpoints until the context ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	for sleep(ctx, readinessInterval) {
		b.checkReadiness(ctx)
	}
}

func (b *balancer) checkReadiness(ctx context.Context) {
	var ready, all []string
	for _, e := range b.entries {
		all = append(all, e.URL)
		if e.ReadinessURL == "" || b.isReady(ctx, e.ReadinessURL) {
			ready = append(ready, e.URL)
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	b.urls.Store(&ready)
}

func (b *balancer) isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessInterval)
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

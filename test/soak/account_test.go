package soak_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// Keys begin with the name of their account.
const (
	shopKey               = "shop-0"    // Key of the account with a quota.
	unknownKey            = "unknown-0" // Key that no configuration holds.
	quotaWindow           = 5 * time.Second
	quotaRate, quotaBurst = 10, 10
	quotaBound            = (quotaRate*5+quotaBurst)*1.1 + 20 // Overshoot and slack as in the settings of the VMs.
)

type sentRequest struct {
	key  string
	late bool // The VM must have known when it got the request that the key was withdrawn.
}

// accounts are the client accounts of a seed: "shop" with a quota, "books" with changing keys.
type accounts struct {
	mutex       sync.Mutex
	keys        []string // All keys that "books" has had; the last two are valid.
	withdrawnAt map[string]time.Time
	sent        map[string]sentRequest // By request id.
	healthyFrom map[any]time.Time      // End of the last fault of a VM, its proxy to the store, or the store.
}

func newAccounts() *accounts {
	return &accounts{keys: []string{"books-0", "books-1"}, withdrawnAt: make(map[string]time.Time), sent: make(map[string]sentRequest), healthyFrom: make(map[any]time.Time)}
}

// configuration returns a configuration with the accounts of the seed, if it has any.
func (s *soak) configuration(version int, shards []string) wqfakeplatform.Configuration {
	c := s.Configuration(version, shards)
	if s.withAccounts {
		c.Tenants = []wqfakeplatform.Tenant{{Name: "shop", APIKeys: []string{shopKey}, RatePerS: quotaRate, Burst: quotaBurst}, {Name: "books", APIKeys: s.keys[len(s.keys)-2:]}}
		c.Routes[1].AllowAnonymous = true
	}
	return c
}

// changeKeys publishes a version that adds a key and withdraws the oldest one.
func (s *soak) changeKeys() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.keys[len(s.keys)-2]
	s.keys = append(s.keys, fmt.Sprint("books-", len(s.keys)))
	s.version++
	s.putVersion()
	s.withdrawnAt[old] = time.Now()
	s.record("version %d withdraws %s", s.version, old)
}

// setFaulty is called before a fault of a VM, its proxy or the store, and after its end.
func (a *accounts) setFaulty(part any, faulty bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.healthyFrom[part] = time.Now()
	if faulty {
		a.healthyFrom[part] = time.Now().Add(time.Hour)
	}
}

// mustRefuse reports whether a key was withdrawn longer ago than the bound, and the VM has
// had contact for as long: with the store, or with a VM that has it. A peer that had no
// contact at the withdrawal has the bound to learn of it, and the VM has it again.
func (s *soak) mustRefuse(vm *wqfakeplatform.VM, key string) bool {
	withdrawnAt, withdrawn := s.withdrawnAt[key]
	return withdrawn && slices.ContainsFunc(s.VMs, func(source *wqfakeplatform.VM) bool {
		from, bound := withdrawnAt, wqfakeplatform.MaxApplyTime
		for _, part := range []any{vm, source, source.StoreProxy, s.Store} {
			if healthyFrom := s.healthyFrom[part]; healthyFrom.After(from) {
				from = healthyFrom
			}
		}
		if source != vm && from.After(withdrawnAt) {
			bound *= 2
		}
		return time.Since(from) > bound
	})
}

// request sends a request of the load: with a good key of "books" or "shop", one that is
// withdrawn at some time, an unknown one, or none.
func (s *soak) request(vm *wqfakeplatform.VM, method, target string) {
	keys := []string{"", unknownKey, "books-0", "books-1", "books-2", shopKey, "newest", "newest", "newest", "newest"}
	s.sendWithKey(vm, method, target, keys[rand.IntN(len(keys))])
}

// sendWithKey sends a request with a key, or the newest one of "books", and with the name of
// an account that must not pass; without both if the seed has no accounts.
func (s *soak) sendWithKey(vm *wqfakeplatform.VM, method, target, key string) wqfakeplatform.Reply {
	if !s.withAccounts {
		return s.Send(vm, method, target, "body", time.Second)
	}
	s.mutex.Lock()
	if key == "newest" {
		key = s.keys[len(s.keys)-1]
	}
	late := s.mustRefuse(vm, key)
	s.mutex.Unlock()
	header := http.Header{"Tenant": {"other"}, "Authorization": {"Bearer " + key}}
	if key == "" {
		header.Del("Authorization")
	}
	r := s.SendWithHeader(vm, method, target, "body", time.Second, header)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent[r.RequestID] = sentRequest{key, late}
	return r
}

// accountViolations checks by the searchers' executions under whose name requests ran, that
// no key that is unknown or was withdrawn ran one, and the quota.
func (s *soak) accountViolations() []string {
	var violations []string
	first := make(map[string]time.Time) // First execution of each request of "shop".
	for _, searcher := range s.AllSearchers() {
		for _, e := range searcher.Executions() {
			if problem := s.identityProblem(&e); problem != "" {
				violations = append(violations, fmt.Sprintf("%s at %s: the request with key %q %s", e.RequestID, searcher.ID, s.sent[e.RequestID].key, problem))
			}
			if at, ok := first[e.RequestID]; s.sent[e.RequestID].key == shopKey && (!ok || e.StartedAt.Before(at)) {
				first[e.RequestID] = e.StartedAt
			}
		}
	}
	times := slices.SortedFunc(maps.Values(first), time.Time.Compare)
	most, begin := 0, 0
	for end := range times {
		for times[end].Sub(times[begin]) >= quotaWindow {
			begin++
		}
		most = max(most, end-begin+1)
	}
	late := len(slices.DeleteFunc(slices.Collect(maps.Values(s.sent)), func(r sentRequest) bool { return !r.late }))
	s.t.Logf("%d requests of shop ran, at most %d in a window; %d requests were late", len(times), most, late)
	if float64(most) > quotaBound {
		violations = append(violations, fmt.Sprintf("%d requests of shop ran in a window, %v are allowed", most, quotaBound))
	}
	return violations
}

func (s *soak) identityProblem(e *wqfakeplatform.Execution) string {
	request, ok := s.sent[e.RequestID]
	account, _, _ := strings.Cut(request.key, "-")
	switch {
	case len(e.Authorization) > 0:
		return "brought the searcher a key"
	case !ok || request.key == unknownKey || request.key == "" && e.Service != "orders":
		return "ran without a valid key"
	case request.late:
		return "ran after the withdrawal"
	case strings.Join(e.Tenant, ",") != account:
		return fmt.Sprint("ran under the name ", e.Tenant)
	}
	return ""
}

// Guards against a late request that counts as an early one, and the other way round.
func TestContactDecidesWhetherARequestIsLate(t *testing.T) {
	vm, peer := &wqfakeplatform.VM{Name: "vm"}, &wqfakeplatform.VM{Name: "peer"}
	s := &soak{Fleet: &wqfakeplatform.Fleet{VMs: []*wqfakeplatform.VM{vm, peer}}, accounts: newAccounts()}
	must.False(t, s.mustRefuse(vm, "k"))
	s.withdrawnAt["k"] = time.Now().Add(-wqfakeplatform.MaxApplyTime)
	must.True(t, s.mustRefuse(vm, "k"))
	s.setFaulty(vm, false)
	must.False(t, s.mustRefuse(vm, "k"))
	must.True(t, s.mustRefuse(peer, "k"))
	s.setFaulty(s.Store, true)
	must.False(t, s.mustRefuse(peer, "k"))
}

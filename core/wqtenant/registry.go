// Package wqtenant holds the client accounts of one version of the operators'
// configuration and finds the account that a caller's key belongs to.
//
// Keys are kept as SHA-256 digests only, so that no log line, metric, error or memory
// dump of a Registry shows one.
//
// # Usage
//
//	r := wqtenant.New([]wqtenant.Tenant{{Name: "shop", KeyDigests: []wqtenant.Digest{wqtenant.DigestOf(key)}}})
//	if problem := r.Problem(); problem != "" { ... the configuration can't be served ... }
//	t, digest, verdict := r.Identify(authorizationValues)
//
// A nil Registry is that of a configuration without client accounts.
package wqtenant

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"
)

// The largest registry that can be served.
const (
	MaxTenants   = 50_000
	MaxKeys      = 200_000 // keys of all client accounts
	MaxKeyBytes  = 4 << 10
	maxNameBytes = 256
	maxRate      = 1e9 // requests per second
	maxBurst     = 1e9 // requests
)

// Digest identifies a key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key. A key over MaxKeyBytes, which no request can
// carry, has that of an empty one, which no account may have.
func DigestOf(key string) Digest {
	if len(key) > MaxKeyBytes {
		key = ""
	}
	return sha256.Sum256([]byte(key))
}

// Tenant is one client account.
type Tenant struct {
	Name        string
	KeyDigests  []Digest
	Priority    int     // Priority is the rank of the account's requests if HasPriority is true, 0 is the highest.
	HasPriority bool    // HasPriority is true if Priority takes the place of the route's.
	Rate        float64 // Rate is the quota in requests per second; 0 is no limit.
	Burst       float64 // Burst is the number of requests beside Rate.
}

// Limited reports whether the account has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// Verdict is the result of checking the credential of a request.
type Verdict uint8

// The verdicts.
const (
	Known     Verdict = iota // Known means that the key belongs to a client account.
	NoKey                    // NoKey means that the request carries no credential.
	Unknown                  // Unknown means that the key belongs to no client account.
	Malformed                // Malformed means that the credential is not exactly one bearer key.
)

// Registry holds the client accounts of one version. It is immutable.
type Registry struct {
	tenants  []Tenant
	byDigest map[Digest]*Tenant
	byName   map[string]*Tenant
	problem  string
}

// Problem is a reason for which client accounts can't be served. It shows no key.
type Problem struct {
	Index int    // Index is the place of the account in the list from 0; -1 for the whole list.
	Field string // Field is "name", "keys", "rate", "burst" or "priority".
	Text  string
}

// New returns the registry of these accounts, nil if there is none. It keeps the slice,
// which must not change afterwards.
func New(tenants []Tenant) *Registry {
	if len(tenants) == 0 {
		return nil
	}
	r := newRegistry(tenants)
	for p := range r.index {
		r.problem = p.Text
		if p.Index >= 0 {
			r.problem = fmt.Sprintf("tenant number %d: %s", p.Index+1, p.Text)
		}
		break
	}
	return r
}

// Problems returns all reasons for which New(tenants) can't be served. Its Problem is the
// first of them.
func Problems(tenants []Tenant) []Problem { return slices.Collect(newRegistry(tenants).index) }

func newRegistry(tenants []Tenant) *Registry {
	return &Registry{tenants: tenants, byDigest: make(map[Digest]*Tenant), byName: make(map[string]*Tenant)}
}

// index indexes the accounts and yields the reasons for which they can't be served. It
// stops when yield returns false.
func (r *Registry) index(yield func(Problem) bool) {
	if len(r.tenants) > MaxTenants {
		yield(Problem{Index: -1, Text: fmt.Sprintf("%d tenants are over the limit of %d", len(r.tenants), MaxTenants)})
		return
	}
	for i := range r.tenants {
		found := func(field, text string) bool { return yield(Problem{i, field, text}) }
		if t := &r.tenants[i]; !t.check(found) || !r.indexName(t, found) || !r.indexKeys(t, found) {
			return
		}
		if len(r.byDigest) > MaxKeys {
			found("keys", fmt.Sprintf("the keys are over the limit of %d", MaxKeys))
			return
		}
	}
}

// indexName indexes the name of an account. It returns false if no more problems are
// asked for, as do check and indexKeys.
func (r *Registry) indexName(t *Tenant, found func(field, text string) bool) bool {
	if r.byName[t.Name] != nil {
		return found("name", fmt.Sprintf("the name %q is used twice", t.Name))
	}
	if validName(t.Name) {
		r.byName[t.Name] = t
	}
	return true
}

func (r *Registry) indexKeys(t *Tenant, found func(field, text string) bool) bool {
	for i, d := range t.KeyDigests {
		problem := ""
		if d == DigestOf("") {
			problem = fmt.Sprintf("its key number %d is empty or too long", i+1)
		} else if other := r.byDigest[d]; other != nil {
			problem = fmt.Sprintf("its key number %d is also a key of %q", i+1, other.Name)
		}
		if problem != "" && !found("keys", problem) {
			return false
		}
		if problem == "" {
			r.byDigest[d] = t
		}
	}
	return true
}

func (t *Tenant) check(found func(field, text string) bool) bool {
	if !validName(t.Name) && !found("name", "the name is empty, too long, or not valid in a header field") {
		return false
	}
	if !inRange(t.Rate, maxRate) && !found("rate", fmt.Sprintf("the rate %v is out of range", t.Rate)) {
		return false
	}
	if !inRange(t.Burst, maxBurst) && !found("burst", fmt.Sprintf("the burst %v is out of range", t.Burst)) {
		return false
	}
	if t.Priority < 0 || t.Priority > math.MaxInt32 {
		return found("priority", fmt.Sprintf("the priority %d is out of range", t.Priority))
	}
	return true
}

// validName reports whether a name can be sent in a header field and returned unchanged.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(c rune) bool { return c < ' ' || c == 0x7f })
}

// inRange reports whether v is between 0 and limit; NaN is not.
func inRange(v, limit float64) bool { return v >= 0 && v <= limit }

// Problem returns why the configuration can't be served, empty if it can.
func (r *Registry) Problem() string {
	if r == nil {
		return ""
	}
	return r.problem
}

// Len returns the number of accounts, 0 for a configuration without.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.tenants)
}

// Tenants returns all accounts. The slice must not be changed.
func (r *Registry) Tenants() []Tenant {
	if r == nil {
		return nil
	}
	return r.tenants
}

// Tenant returns the account with a name, nil if there is none.
func (r *Registry) Tenant(name string) *Tenant {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// Has reports whether the key with a digest belongs to an account.
func (r *Registry) Has(d Digest) bool { return r != nil && r.byDigest[d] != nil }

// Identify returns the account of a request with these values of the header field
// Authorization, and the digest of its key. Both are zero unless the verdict is Known.
func (r *Registry) Identify(authorization []string) (*Tenant, Digest, Verdict) {
	switch {
	case len(authorization) == 0 || len(authorization) == 1 && trim(authorization[0]) == "":
		return nil, Digest{}, NoKey
	case len(authorization) > 1:
		return nil, Digest{}, Malformed
	}
	key, ok := bearerKey(authorization[0])
	if !ok {
		return nil, Digest{}, Malformed
	}
	d := DigestOf(key)
	t := r.byDigest[d]
	if t == nil {
		return nil, Digest{}, Unknown
	}
	return t, d, Known
}

// bearerKey returns the key in a value of the form "Bearer KEY". The scheme may be
// written in any case, with any spaces around it and the key.
func bearerKey(value string) (string, bool) {
	const scheme = "bearer"
	value = trim(value)
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	rest := value[len(scheme):]
	key := trim(rest)
	return key, len(key) < len(rest) && key != "" && len(key) <= MaxKeyBytes
}

// trim removes the spaces that HTTP allows around a value.
func trim(s string) string { return strings.Trim(s, " \t") }

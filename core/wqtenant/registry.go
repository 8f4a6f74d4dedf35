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

// New returns the registry of these accounts, nil if there is none. It keeps the slice,
// which must not change afterwards.
func New(tenants []Tenant) *Registry {
	if len(tenants) == 0 {
		return nil
	}
	r := &Registry{tenants: tenants, byDigest: make(map[Digest]*Tenant), byName: make(map[string]*Tenant)}
	if len(tenants) > MaxTenants {
		r.problem = fmt.Sprintf("%d tenants are over the limit of %d", len(tenants), MaxTenants)
		return r
	}
	for i := range tenants {
		if problem := r.add(&tenants[i]); problem != "" {
			r.problem = fmt.Sprintf("tenant number %d: %s", i+1, problem)
			return r
		}
	}
	return r
}

// add indexes an account and returns why it can't be served, empty if it can.
func (r *Registry) add(t *Tenant) string {
	if problem := t.problem(); problem != "" {
		return problem
	}
	if r.byName[t.Name] != nil {
		return fmt.Sprintf("the name %q is used twice", t.Name)
	}
	r.byName[t.Name] = t
	for i, d := range t.KeyDigests {
		if d == DigestOf("") {
			return fmt.Sprintf("its key number %d is empty or too long", i+1)
		}
		if other := r.byDigest[d]; other != nil {
			return fmt.Sprintf("its key number %d is also a key of %q", i+1, other.Name)
		}
		r.byDigest[d] = t
	}
	if len(r.byDigest) > MaxKeys {
		return fmt.Sprintf("the keys are over the limit of %d", MaxKeys)
	}
	return ""
}

func (t *Tenant) problem() string {
	switch {
	case !validName(t.Name):
		return "the name is empty, too long, or not valid in a header field"
	case !inRange(t.Rate, maxRate):
		return fmt.Sprintf("the rate %v is out of range", t.Rate)
	case !inRange(t.Burst, maxBurst):
		return fmt.Sprintf("the burst %v is out of range", t.Burst)
	case t.Priority < 0 || t.Priority > math.MaxInt32:
		return fmt.Sprintf("the priority %d is out of range", t.Priority)
	}
	return ""
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

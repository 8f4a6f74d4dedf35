package wqentry

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

const (
	maxNameBytes    = 64        // of an id or a name
	maxBodyBytes    = 64 * 1024 // of a query's body
	defaultRowLimit = 100       // rows in an answer if the caller sets no limit
	maxRowLimit     = 1000      // rows; the largest limit a caller may set
)

// Request is a query from a caller.
type Request struct {
	RequestID   string
	Tenant      string
	Class       string
	Service     string
	Body        []byte
	Timeout     time.Duration // Timeout is the time from arrival to the answer; 0 uses the rule's timeout.
	MinCoverage float64       // MinCoverage is the lowest accepted share of answered shards, 0 to 1.
	MaxRows     int           // MaxRows limits the rows in the answer; 0 uses the default of 100.
}

// validate returns a BadInput fault if a field of the request is out of range.
func (r *Request) validate() error {
	names := []struct{ name, value string }{
		{"request_id", r.RequestID}, {"tenant", r.Tenant}, {"class", r.Class}, {"service", r.Service},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameBytes {
			return badInput(n.name, len(n.value), fmt.Sprintf("1 to %d bytes", maxNameBytes))
		}
	}
	if len(r.Body) > maxBodyBytes {
		return badInput("body", len(r.Body), fmt.Sprintf("at most %d bytes", maxBodyBytes))
	}
	if r.MaxRows < 0 || r.MaxRows > maxRowLimit {
		return badInput("limit", r.MaxRows, fmt.Sprintf("0 to %d rows", maxRowLimit))
	}
	if !(r.MinCoverage >= 0 && r.MinCoverage <= 1) {
		return badInput("least_coverage", r.MinCoverage, "a share from 0 to 1")
	}
	if r.Timeout < 0 {
		return badInput("timeout_millis", r.Timeout.Milliseconds(), "0 or more")
	}
	return nil
}

func badInput(field string, got any, want string) error {
	return wqfault.New(wqfault.BadInput, fmt.Sprintf("%s is %v", field, got), fmt.Sprintf("set %s to %s", field, want))
}

// findRule returns the rule that matches a request. Its faults are NotReady,
// Leaving and UnknownName.
func findRule(v *wqview.View, r *Request) (*wqtopology.Rule, error) {
	if v == nil || v.Index == nil || v.Index.Topology.Revision == 0 || v.Isolated {
		return nil, wqfault.New(wqfault.NotReady, "this VM has no configuration confirmed by its peers", "retry at another VM")
	}
	if v.RefusesRequests {
		return nil, wqfault.New(wqfault.Leaving, "this VM is stopping and accepts no new requests", "retry at another VM")
	}
	if found := v.Index.Rule(r.Tenant, r.Class, r.Service); found != nil {
		return found, nil
	}
	message := fmt.Sprintf("no rule for tenant %q, class %q and service %q", r.Tenant, r.Class, r.Service)
	return nil, wqfault.New(wqfault.UnknownName, message, "check the names, or publish a release note that adds the rule")
}

// timeout returns the shorter of the rule's timeout and the caller's, if the
// caller set one.
func timeout(r *Request, rule *wqtopology.Rule) time.Duration {
	limit := time.Duration(rule.TimeoutMillis) * time.Millisecond
	if r.Timeout > 0 && r.Timeout < limit {
		return r.Timeout
	}
	return limit
}

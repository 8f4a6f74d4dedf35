package wqentry

import (
	"fmt"
	"time"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/core/wqview"
)

const (
	maxName      = 64        // maxName is the longest id or name, in bytes.
	maxBody      = 64 * 1024 // maxBody is the largest body of a query, in bytes.
	defaultLimit = 100       // defaultLimit is how many rows an answer has at most, unless the caller says.
	maxLimit     = 1000      // maxLimit is the most rows that a caller may ask for.
)

// Request is one caller's query.
type Request struct {
	RequestID   string
	Tenant      string
	Class       string
	Service     string
	Body        []byte
	Timeout     time.Duration // Timeout is the time for the answer; 0 takes the rule's.
	MinCoverage float64       // MinCoverage refuses answers below this share of shards, 0 to 1.
	MaxRows     int           // MaxRows is the most rows in the answer; 0 takes 100.
}

// check returns a BadInput fault when the request breaks a stated bound.
func (r *Request) check() error {
	names := []struct{ name, value string }{
		{"request_id", r.RequestID}, {"tenant", r.Tenant}, {"class", r.Class}, {"service", r.Service},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxName {
			return badInput(n.name, len(n.value), fmt.Sprintf("1 to %d bytes", maxName))
		}
	}
	if len(r.Body) > maxBody {
		return badInput("body", len(r.Body), fmt.Sprintf("at most %d bytes", maxBody))
	}
	if r.MaxRows < 0 || r.MaxRows > maxLimit {
		return badInput("limit", r.MaxRows, fmt.Sprintf("0 to %d rows", maxLimit))
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

// rule returns the rule of a request, or the reason why this VM refuses it.
func rule(v *wqview.View, r *Request) (*wqtopology.Rule, error) {
	if v == nil || v.Index == nil || v.Index.Topology.Revision == 0 || v.Isolated {
		return nil, wqfault.New(wqfault.NotReady, "this VM has no configuration that its peers confirm", "retry at another VM")
	}
	if v.RefusesRequests {
		return nil, wqfault.New(wqfault.Leaving, "this VM takes no new requests", "retry at another VM")
	}
	if found := v.Index.Rule(r.Tenant, r.Class, r.Service); found != nil {
		return found, nil
	}
	message := fmt.Sprintf("no rule for tenant %q, class %q and service %q", r.Tenant, r.Class, r.Service)
	return nil, wqfault.New(wqfault.UnknownName, message, "check the names, or publish a release note that adds the rule")
}

// timeout returns the time for the answer: the rule's, or less when the caller
// says so.
func timeout(r *Request, rule *wqtopology.Rule) time.Duration {
	longest := time.Duration(rule.TimeoutMillis) * time.Millisecond
	if r.Timeout > 0 && r.Timeout < longest {
		return r.Timeout
	}
	return longest
}

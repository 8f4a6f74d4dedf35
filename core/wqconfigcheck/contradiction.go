package wqconfigcheck

import (
	"fmt"
	"math"

	"wisteriaquay/core/wqgather"
)

// findContradictions returns the limits that contradict each other.
func (c Checker) findContradictions(next *Configuration) []Finding {
	var findings []Finding
	for i := range next.Routes {
		findings = append(findings, findRouteContradictions(next, i)...)
		if finding, ok := c.checkAttempts(next, i); ok {
			findings = append(findings, finding)
		}
	}
	for i, s := range next.Services {
		if s.ColdStartDuration > 0 && s.ColdStartRate == 0 {
			findings = append(findings, Finding{
				Warning,
				Location{Section: Services, Index: i, Name: s.Name, Field: ColdStartRate},
				fmt.Sprintf("the rate is 0, no limit, although a cold start takes %v", s.ColdStartDuration), "state a rate, or no cold start",
			})
		}
	}
	for i, a := range next.Accounts {
		at := Location{Section: Accounts, Index: i, Name: a.Name, Field: Burst}
		switch {
		case a.Rate > 0 && a.Burst > 0 && a.Burst < 1:
			findings = append(findings, Finding{Warning, at, fmt.Sprintf("the burst %v is under one request", a.Burst), "use 1 or more"})
		case a.Rate == 0 && a.Burst > 0:
			findings = append(findings, Finding{Warning, at, "the burst has no effect without a rate", "state a rate, or no burst"})
		}
	}
	if next.Limits.MaxBodyBytes == 0 {
		findings = append(findings, Finding{Warning, Location{Section: Limits, Field: MaxBodyBytes}, "no request with a body is accepted", "state the longest body in bytes"})
	}
	return findings
}

// findRouteContradictions returns the limits of one route that contradict each other.
func findRouteContradictions(c *Configuration, i int) []Finding {
	r := &c.Routes[i]
	var findings []Finding
	add := func(f Field, problem, remedy string) {
		findings = append(findings, Finding{Warning, c.at(i, f), problem, remedy})
	}
	switch {
	case r.Timeout == 0:
		add(Timeout, "the timeout is 0; requests of callers that state no time are refused", "state a timeout")
	case r.Objective > r.Timeout:
		add(Objective, fmt.Sprintf("the objective of %v is over the timeout of %v", r.Objective, r.Timeout), "lower the objective or raise the timeout")
	}
	if !r.FanOut() {
		if r.Top > 0 || r.LeastShare > 0 {
			add(LeastShare, "the least share and the number of records have no effect without shards", "remove them")
		}
		return findings
	}
	n := float64(len(r.Shards))
	needed := math.Ceil(r.LeastShare*n - 1e-9)
	switch {
	case needed > n: // Also an error of the table.
		add(LeastShare, fmt.Sprintf("no set of the %v shards reaches the least share %v", n, r.LeastShare), "use at most 1")
	case needed == n && r.LeastShare < 1:
		add(LeastShare, fmt.Sprintf("no set but all %v shards reaches the least share %v", n, r.LeastShare), fmt.Sprintf("use 1, or at most %.4g", math.Floor((n-1)/n*1e4)/1e4))
	}
	if r.Top == 0 {
		add(Top, "a merged answer holds no records", "state the number of records")
	}
	return findings
}

// checkAttempts returns whether a request can never make all attempts of its route.
func (c Checker) checkAttempts(next *Configuration, i int) (Finding, bool) {
	r := &next.Routes[i]
	warn := func(problem, remedy string) (Finding, bool) {
		return Finding{Warning, next.at(i, Attempts), problem, remedy}, true
	}
	switch {
	case r.Attempts <= 1:
	case !r.Idempotent:
		return warn(fmt.Sprintf("%d attempts have no effect on requests that are not idempotent", r.Attempts), "use 1")
	case r.Attempts > wqgather.MaxSendsPerService:
		return warn(fmt.Sprintf("%d attempts are over the %d sends of one request to a service", r.Attempts, wqgather.MaxSendsPerService), fmt.Sprintf("use at most %d", wqgather.MaxSendsPerService))
	case c.RetryLimits != nil && float64(r.Attempts-1) > c.RetryLimits.Ratio+c.RetryLimits.Slack:
		return warn(fmt.Sprintf("%d attempts are over the retry budget of %v extra sends a request and %v a window", r.Attempts, c.RetryLimits.Ratio, c.RetryLimits.Slack), "lower the attempts")
	}
	return Finding{}, false
}

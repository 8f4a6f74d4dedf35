// Package wqbound holds limits that a deployment's settings state for the whole fleet,
// as plain data. The zero value of each means that the deployment does not have the
// feature.
//
// # Usage
//
//	limits := wqbound.Quota{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
//	if limits.Window > 0 { ... quotas apply ... }
package wqbound

import "time"

// Rollout limits the requests that a new version of searchers gets during its rollout.
type Rollout struct {
	Share        float64       // Share is the largest part of a service's requests that a bad version may get, 0 to 1.
	Slack        float64       // Slack is the number of requests beside Share.
	RollbackTime time.Duration // RollbackTime is the longest time from enough evidence against a version until it gets no requests.
}

// Quota limits how far a client account may exceed its quota.
type Quota struct {
	Window    time.Duration // Window is the sliding window in which requests are counted.
	Overshoot float64       // Overshoot is the part of a quota that may be exceeded.
	Slack     float64       // Slack is the number of requests beside Overshoot.
}

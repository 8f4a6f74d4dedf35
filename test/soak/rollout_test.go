package soak_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriaquay/test/wqfakeplatform"
)

const (
	targetVersion   = "v2"
	rolloutDuration = 20 * time.Second // Its steps begin 9 s before its end, after the faults.
)

// badVersions are the behaviours of searchers of a bad version.
var badVersions = []wqfakeplatform.Behaviour{{Fail: true}, {FailEvery: 2}, {ProcessingTime: 150 * time.Millisecond}}

// orderRollout starts searchers of the target version, which the random faults pass over,
// and orders the rollout.
func (s *soak) orderRollout() {
	s.AddVersion("orders", "a", targetVersion, s.versionBehaviour)
	s.AddVersion("orders", "b", targetVersion, s.versionBehaviour)
	s.orderedAt = time.Now()
	s.OrderRollout("orders", targetVersion, rolloutDuration)
	s.record("rollout to a version with behaviour %+v", s.versionBehaviour)
}

// rolloutViolations checks how many requests a bad version got, and that a verdict was
// written once in each era of the store, and is the same in all.
func (s *soak) rolloutViolations() []string {
	var violations []string
	ofVersion, others := s.CountExecutions("orders", targetVersion, s.orderedAt)
	s.t.Logf("version with behaviour %+v got %d of %d requests: %v", s.versionBehaviour, ofVersion, ofVersion+others, s.Store.ValuesOf("status/rollout/orders"))
	if s.versionBehaviour != (wqfakeplatform.Behaviour{}) && float64(ofVersion) > wqfakeplatform.CanaryShare*float64(ofVersion+others)+wqfakeplatform.CanarySlack {
		violations = append(violations, fmt.Sprintf("a bad version got %d of %d requests", ofVersion, ofVersion+others))
	}
	verdict := ""
	for _, statuses := range s.Store.ValuesByEra("status/rollout/orders") {
		for i, status := range statuses {
			if slices.Contains(statuses[:i], status) || i > 0 && !strings.Contains(statuses[i-1], "running") {
				violations = append(violations, fmt.Sprintf("status %s was written after %q", status, statuses[:i]))
			}
			if strings.Contains(status, "running") {
				continue
			}
			if verdict != "" && status != verdict {
				violations = append(violations, fmt.Sprintf("status %s was written after the verdict %s", status, verdict))
			}
			verdict = status
		}
	}
	return violations
}

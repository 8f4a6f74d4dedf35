package wqfakeplatform

import (
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of rollouts in the settings, see Options.Rollouts.
const (
	CanaryShare     = 0.1
	CanarySlack     = 50
	RollbackTime    = 5 * time.Second
	rolloutSettings = "canaryShare = 0.1\ncanarySlack = 50\nrollbackMs = 5000\n"
)

// AddVersion starts a searcher of a version and registers it as ready.
func (f *Fleet) AddVersion(service, zone, version string, b Behaviour) *Searcher {
	s := newSearcher(fmt.Sprintf("i-%s-%d", service, f.sequence.Add(1)), service, zone)
	s.Version, s.behaviour = version, b
	return f.register(s)
}

// OrderRollout writes the order to move a service to a version.
func (f *Fleet) OrderRollout(service, version string, duration time.Duration) {
	f.Store.Put("op/rollout/"+service, struct {
		Service       string  `json:"service"`
		TargetVersion string  `json:"targetVersion"`
		DurationS     float64 `json:"durationS"`
	}{service, version, duration.Seconds()})
}

// RolloutState returns the state and the version in the status of a rollout, empty if
// there is none.
func (f *Fleet) RolloutState(service string) (state, version string) {
	var status struct {
		State         string `json:"state"`
		TargetVersion string `json:"targetVersion"`
	}
	_ = json.Unmarshal(f.Store.Value("status/rollout/"+service), &status) // No status leaves it empty.
	return status.State, status.TargetVersion
}

// CountExecutions returns how many requests of a service ran on searchers of a version and
// on the others, from a time on.
func (f *Fleet) CountExecutions(service, version string, from time.Time) (ofVersion, others int) {
	for _, s := range f.SearchersOf(service) {
		for _, e := range s.Executions() {
			switch {
			case e.StartedAt.Before(from):
			case s.Version == version:
				ofVersion++
			default:
				others++
			}
		}
	}
	return ofVersion, others
}

package wqdirectory

import (
	"strings"
	"time"
	"unicode"
)

// The largest values of a registration that are accepted. Larger ones come from a
// faulty writer: they would make a searcher unusable, or one that never changes
// again, since no later state could replace it.
const (
	maxSlots              = 1 << 16
	maxColdStartRemaining = 24 * time.Hour
	maxExactInteger       = 1 << 53 // largest integer that every JSON reader keeps exactly
	maxNameBytes          = 200
	// maxClockDifference is how far in the future the start of a searcher may be, as
	// the clocks of VMs and searchers differ.
	maxClockDifference = 24 * time.Hour
)

// Problem returns what makes a registration unusable, empty for nothing.
func (r *Registration) Problem() string {
	switch {
	case !isName(r.ID):
		return "the id is empty, too long or has control characters"
	case !isName(r.Service):
		return "the service is empty, too long or has control characters"
	case !isName(r.Address):
		return "the address is empty, too long or has control characters"
	case len(r.Zone) > maxNameBytes:
		return "the availability zone is too long"
	case r.Slots < 1 || r.Slots > maxSlots:
		return "the number of slots is out of range"
	case r.ColdStartRemaining < 0 || r.ColdStartRemaining > maxColdStartRemaining:
		return "the rest of the cold start is out of range"
	case r.Incarnation < 0 || r.Incarnation > maxExactInteger:
		return "the start time is out of range"
	case r.Sequence < 0 || r.Sequence > maxExactInteger:
		return "the sequence number is out of range"
	}
	return ""
}

// startsInFuture reports whether the start time of a registration is later than any
// clock can show.
func (r *Registration) startsInFuture(now time.Time) bool {
	return r.Incarnation > now.Add(maxClockDifference).UnixMilli()
}

// isName reports whether s is not empty, has a length that is accepted, and holds no
// control characters, which the value of an HTTP header must not have.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, unicode.IsControl)
}

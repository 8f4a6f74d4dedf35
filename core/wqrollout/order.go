package wqrollout

import (
	"time"

	"wisteriaquay/core/wqbound"
	"wisteriaquay/core/wqverdict"
)

// Phase is the state of a rollout.
type Phase uint8

// The phases. The order of the last three is the order in which they override each
// other on a VM: what the store says is final.
const (
	None       Phase = iota // None means that there is no rollout.
	Held                    // Held means that a version appeared without an order and waits for one.
	Running                 // Running means that the new version gets the share of the directive.
	Switching               // Switching means that only the new version gets requests, and completion is due.
	RolledBack              // RolledBack means that the new version gets nothing any more.
	Completed               // Completed means that the old version gets nothing any more.
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"none", "held", "running", "switching", "rolled_back", "completed"}[min(p, Completed)]
}

// Final reports whether the phase is an end.
func (p Phase) Final() bool { return p == RolledBack || p == Completed }

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration // Duration is the time from the order to its deadline.
	Revision uint64        // Revision is the store's revision of the order.
}

// Status is the state of a rollout in the store.
type Status struct {
	Service  string
	Version  string
	Phase    Phase  // Phase is Running, Completed or RolledBack.
	Revision uint64 // Revision is the store's revision of the status; 0 for none.
}

// Of reports whether the status belongs to an order, rather than to an earlier one.
func (s Status) Of(o Order) bool { return s.Revision > o.Revision && s.Version == o.Version }

// Directive is what traffic does about one rollout.
type Directive struct {
	Service       string  `json:"service"`
	Version       string  `json:"version"` // Version is the new version.
	OrderRevision uint64  `json:"order_revision"`
	Phase         Phase   `json:"phase"`
	Share         float64 `json:"share"` // Share is the part of the sends that the new version gets while Running.
	// Barred are versions that get nothing while there are others: their rollout was
	// replaced, withdrawn or rolled back.
	Barred []string `json:"-"`
	// Weights holds the factor on Share for each route. Rare routes have a higher one, so
	// that there is evidence on them too. The mean over all sends is 1; missing routes have 1.
	Weights    map[string]float64 `json:"weights,omitempty"`
	Step       int                `json:"step,omitempty"`   // Step counts the steps of the share; see Report.Step.
	Reason     string             `json:"reason,omitempty"` // Reason is why the version is rolled back.
	ValidUntil time.Time          `json:"-"`                // ValidUntil is when a VM that hears nothing more stops using the new version.
}

// Message is what two VMs send each other about rollouts: reports to the coordinator, and
// directives from it.
type Message struct {
	From             string      `json:"from"`
	Reports          []Report    `json:"reports,omitempty"`
	Directives       []Directive `json:"directives,omitempty"`
	Received         []Receipt   `json:"received,omitempty"`          // Received names the reports that the sender has taken in.
	StoreUnreachable bool        `json:"store_unreachable,omitempty"` // StoreUnreachable is true if the sender can't write a status, so that another VM should coordinate.
}

// RouteShare returns the share of the new version on a route.
func (d *Directive) RouteShare(route string) float64 {
	if w, ok := d.Weights[route]; ok {
		return min(d.Share*w, 1)
	}
	return d.Share
}

// Receipt says that a report was taken in.
type Receipt struct {
	Service  string `json:"service"`
	Sequence uint64 `json:"sequence"`
	Complete bool   `json:"complete"` // Complete is false if rows are missing, so that the next report must have all.
}

// AllowsNew reports whether the new version may get any request.
func (d *Directive) AllowsNew(now time.Time) bool {
	switch d.Phase {
	case None, Completed:
		return true
	case Running, Switching:
		return d.Share > 0 && now.Before(d.ValidUntil)
	}
	return false
}

// PrefersNew reports whether the old version gets a request only if there is no searcher
// of the new one.
func (d *Directive) PrefersNew(now time.Time) bool {
	return d.Phase == Completed || d.Phase == Switching && now.Before(d.ValidUntil)
}

// Directives holds the directive of each service with a rollout.
type Directives map[string]Directive

// Report is the evidence of one VM on one rollout. Its counts are totals since the VM
// first knew the order, so a report that is lost or repeated does no harm.
type Report struct {
	Service       string          `json:"service"`
	OrderRevision uint64          `json:"order_revision"`
	VM            string          `json:"vm"`
	Epoch         uint64          `json:"epoch"` // Epoch is the start of the VM's process.
	AgeMillis     int64           `json:"age_millis"`
	Witnessed     bool            `json:"witnessed"`             // Witnessed is true if AgeMillis is known to count from the order.
	RolledBack    string          `json:"rolled_back,omitempty"` // RolledBack is the reason if the VM knows of a verdict against the version.
	Step          int             `json:"step,omitempty"`        // Step is that of the VM's directive, from which another coordinator goes on.
	SentNew       uint64          `json:"sent_new"`
	SentOld       uint64          `json:"sent_old"`
	OldInFlight   int             `json:"old_in_flight"`
	Rows          []wqverdict.Row `json:"rows,omitempty"`
	// Sequence grows with each report of a VM. Rows that have not changed since the report
	// with the number Base are left out; 0 is for a report with all rows.
	Sequence uint64 `json:"sequence"`
	Base     uint64 `json:"base,omitempty"`
}

// DefaultLimits returns the limits for an order in a deployment whose settings have
// none: half of the usual share, and no slack.
func DefaultLimits() wqbound.Rollout {
	return wqbound.Rollout{Share: 0.05, RollbackTime: 5 * time.Second}
}

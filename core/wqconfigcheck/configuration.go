package wqconfigcheck

import (
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtenant"
)

// Configuration is one version of the operators' configuration as it was written, with
// all entries in their order.
type Configuration struct {
	Version  uint64
	Routes   []wqroute.Route
	Services []wqroute.Service
	Limits   wqroute.Limits
	Accounts []wqtenant.Tenant
	Findings []Finding // Findings are those of the decoder.
	Refusal  string    // Refusal is why the decoder of a VM refuses the version; empty if it does not.
}

// Section is a list of a configuration, or its limits.
type Section string

// The sections.
const (
	Version  Section = "version"
	Routes   Section = "routes"
	Services Section = "services"
	Accounts Section = "accounts"
	Limits   Section = "limits"
)

// Field is a field of an entry.
type Field string

// The fields that findings and changes name.
const (
	Whole             Field = "" // Whole is the entry itself.
	Name              Field = "name"
	Host              Field = "host"
	Prefix            Field = "prefix"
	Idempotent        Field = "idempotent"
	Parts             Field = "parts"
	Shards            Field = "shards"
	Top               Field = "top"
	LeastShare        Field = "least_share"
	Attempts          Field = "attempts"
	Timeout           Field = "timeout"
	Objective         Field = "objective"
	Priority          Field = "priority"
	AllowAnonymous    Field = "allow_anonymous"
	MaxConnections    Field = "max_connections"
	ColdStartRate     Field = "cold_start_rate"
	ColdStartDuration Field = "cold_start_duration"
	HealthPath        Field = "health_path"
	MaxBodyBytes      Field = "max_body_bytes"
	MaxHeaderBytes    Field = "max_header_bytes"
	HeaderTimeout     Field = "header_timeout"
	IdleTimeout       Field = "idle_timeout"
	Keys              Field = "keys"
	Rate              Field = "rate"
	Burst             Field = "burst"
)

// Location is a place in a configuration.
type Location struct {
	Section Section
	Index   int    // Index counts the entries of the section from 0; -1 is the whole section.
	Name    string // Name is the name of the entry; empty if it has none.
	Field   Field
	Path    string // Path is set by a decoder instead of the other fields.
}

// Severity is the weight of a finding.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // Error means that VMs refuse the version and keep the one in force.
	Warning Severity = "warning" // Warning means that the version can be served, but likely not as it is meant.
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity
	Location Location
	Problem  string
	Remedy   string
}

// FieldChange is a field whose value differs between two versions.
type FieldChange struct {
	Field  Field
	Before string
	After  string
}

// Change is an entry that differs between two versions.
type Change struct {
	Kind        string // Kind is "added", "removed" or "changed".
	Section     Section
	Name        string
	Fields      []FieldChange
	KeysAdded   int
	KeysRemoved int
}

// Loss is an access that clients have in the version in force and not in the new one.
type Loss struct {
	Client string // Client says which clients lose it.
	Reason string
}

// Report is the result of a check.
type Report struct {
	Findings []Finding
	Changes  []Change
	Losses   []Loss
}

// Count returns the numbers of errors and of warnings. Each loss counts as a warning.
func (r *Report) Count() (errors, warnings int) {
	warnings = len(r.Losses)
	for i := range r.Findings {
		if r.Findings[i].Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"wisteriaquay/core/wqconfigcheck"
	"wisteriaquay/platform/wqitem"
)

// writeCheckReport writes the report of check-configuration as text or JSON.
func writeCheckReport(w io.Writer, r *wqconfigcheck.Report, format string) error {
	if format == "json" {
		return writeCheckJSON(w, r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%-8s %s\n", f.Severity, findingText(f))
	}
	for _, l := range r.Losses {
		fmt.Fprintf(&b, "%-8s access lost: %s: %s\n", wqconfigcheck.Warning, l.Client, l.Reason)
	}
	for i := range r.Changes {
		writeChange(&b, &r.Changes[i])
	}
	errorCount, warningCount := r.Count()
	fmt.Fprintf(&b, "%d errors, %d warnings, %d changes\n", errorCount, warningCount, len(r.Changes))
	_, err := io.WriteString(w, b.String())
	return err
}

// findingText returns the location, the problem and the remedy of a finding.
func findingText(f wqconfigcheck.Finding) string {
	place := wqitem.CheckPath(f.Location)
	if f.Location.Name != "" {
		place += fmt.Sprintf(" (%q)", f.Location.Name)
	}
	if place != "" {
		place += ": "
	}
	return place + f.Problem + "; " + f.Remedy
}

func writeChange(b *strings.Builder, c *wqconfigcheck.Change) {
	fmt.Fprintf(b, "%-8s %s", c.Kind, wqitem.CheckSection(c.Section))
	if c.Name != "" {
		fmt.Fprintf(b, " %q", c.Name)
	}
	if c.KeysAdded > 0 || c.KeysRemoved > 0 {
		fmt.Fprintf(b, ": keys: %d added, %d removed", c.KeysAdded, c.KeysRemoved)
	}
	_ = b.WriteByte('\n')
	for _, f := range c.Fields {
		fmt.Fprintf(b, "           %s: %s -> %s\n", wqitem.CheckField(f.Field), f.Before, f.After)
	}
}

// writeCheckJSON writes a report as one JSON object. Lists are never null.
func writeCheckJSON(w io.Writer, r *wqconfigcheck.Report) error {
	type finding struct {
		Severity string `json:"severity"`
		Path     string `json:"path"`
		Name     string `json:"name,omitempty"`
		Problem  string `json:"problem"`
		Remedy   string `json:"remedy"`
	}
	type field struct {
		Name   string `json:"name"`
		Before string `json:"before"`
		After  string `json:"after"`
	}
	type change struct {
		Kind        string  `json:"kind"`
		Section     string  `json:"section"`
		Name        string  `json:"name,omitempty"`
		Fields      []field `json:"fields"`
		KeysAdded   int     `json:"keys_added"`
		KeysRemoved int     `json:"keys_removed"`
	}
	type loss struct {
		Client string `json:"client"`
		Reason string `json:"reason"`
	}
	findings, changes, losses := []finding{}, []change{}, []loss{}
	for _, f := range r.Findings {
		findings = append(findings, finding{string(f.Severity), wqitem.CheckPath(f.Location), f.Location.Name, f.Problem, f.Remedy})
	}
	for _, c := range r.Changes {
		fields := []field{}
		for _, f := range c.Fields {
			fields = append(fields, field{wqitem.CheckField(f.Field), f.Before, f.After})
		}
		changes = append(changes, change{c.Kind, wqitem.CheckSection(c.Section), c.Name, fields, c.KeysAdded, c.KeysRemoved})
	}
	for _, l := range r.Losses {
		losses = append(losses, loss(l))
	}
	errorCount, warningCount := r.Count()
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Errors   int       `json:"errors"`
		Warnings int       `json:"warnings"`
		Findings []finding `json:"findings"`
		Losses   []loss    `json:"access_lost"`
		Changes  []change  `json:"changes"`
	}{errorCount, warningCount, findings, losses, changes})
}

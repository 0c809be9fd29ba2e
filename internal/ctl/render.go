package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/baobabsill/baobabsill/internal/state"
)

// render writes a result: as JSON to out, or as text to out with errors and
// warnings on errOut. The message and the changes of a command that failed also go
// to errOut.
func render(r Result, asJSON bool, out, errOut io.Writer) {
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		// The error is ignored because a Result holds only values that can be
		// encoded.
		_ = enc.Encode(r)
		return
	}
	messageOut := out
	if r.Outcome.ExitCode() != 0 {
		messageOut = errOut
	}
	if r.Message != "" {
		fmt.Fprintf(messageOut, "%s: %s\n", r.Outcome, r.Message)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(errOut, "error:", e)
	}
	for _, w := range r.Warnings {
		fmt.Fprintln(errOut, "warning:", w)
	}
	if len(r.Changes) > 0 {
		rows := [][]string{{"KIND", "NAME", "CHANGE"}}
		for _, c := range r.Changes {
			rows = append(rows, []string{c.Kind, c.Name, c.Change})
		}
		table(messageOut, rows)
	}
	if r.History != nil {
		renderHistory(r.History, out)
	}
	if r.Status != nil {
		renderStatus(r.Status, out)
	}
	if r.Explanation != nil {
		renderExplanation(r.Explanation, out)
	}
	if r.Edges != nil {
		renderEdges(r.Edges, out)
	}
}

func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	t.Flush()
}

func renderHistory(entries []HistoryEntry, out io.Writer) {
	rows := [][]string{{"VERSION", "IN FORCE", "CHANGES"}}
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		changes := "oldest kept"
		if i > 0 {
			changes = summary(e.Changes)
		}
		rows = append(rows, []string{fmt.Sprint(e.Version), pick(e.InForce, "yes", ""), changes})
	}
	table(out, rows)
}

// summary describes the first changes; the JSON output has all of them.
func summary(changes []Change) string {
	const maxShown = 3
	var parts []string
	for i, c := range changes {
		if i == maxShown {
			parts = append(parts, fmt.Sprintf("and %d more", len(changes)-maxShown))
			break
		}
		parts = append(parts, c.String())
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, "; ")
}

func renderStatus(s *StatusReport, out io.Writer) {
	config := "unknown"
	if s.ConfigVersion > 0 {
		config = fmt.Sprint(s.ConfigVersion)
	}
	fmt.Fprintf(out, "platform %s, configuration version %s\n\n", pick(s.PlatformAvailable, "available", "not reached"), config)
	rows := [][]string{{"INSTANCE", "ZONE", "ADDRESS", "STATE", "CONFIG", "NOTES"}}
	for _, i := range s.Instances {
		if i.Document == nil {
			rows = append(rows, []string{i.Name, i.Zone, i.Address, "no answer", "", i.Error})
			continue
		}
		d := i.Document
		var notes []string
		if d.ConfigVersion < s.ConfigVersion {
			notes = append(notes, "behind")
		}
		if d.CutOff {
			notes = append(notes, "cut off")
		}
		if !d.PlatformReachable {
			notes = append(notes, "platform not reached")
		}
		for _, other := range d.Instances {
			if other.Liveness != string(state.Alive) {
				notes = append(notes, other.Name+" "+other.Liveness)
			}
		}
		rows = append(rows, []string{i.Name, i.Zone, i.Address, d.State, fmt.Sprint(d.ConfigVersion), strings.Join(notes, ", ")})
	}
	table(out, rows)

	targets := s.targets()
	rows = [][]string{{"ZONE", "SERVING", "EPOCH", "MEMBERS", "TARGETS", "WARM"}}
	for _, z := range s.zones() {
		total, warm := 0, 0
		for _, t := range targets {
			if t.Zone == z.Name {
				total++
				if t.Phase == string(state.PhaseWarm) {
					warm++
				}
			}
		}
		rows = append(rows, []string{z.Name, pick(z.Out, "out", "yes"), fmt.Sprint(z.PlacementEpoch), fmt.Sprint(len(z.Members)), fmt.Sprint(total), fmt.Sprint(warm)})
	}
	fmt.Fprintln(out)
	table(out, rows)

	rows = [][]string{{"TARGET NOT WARM", "SERVICE", "ZONE", "HOLDER", "PHASE", "LIMIT", "IN FLIGHT", "QUEUED"}}
	for _, t := range targets {
		if t.Phase != string(state.PhaseWarm) {
			rows = append(rows, []string{t.Name, t.Service, t.Zone, t.Holder, t.Phase, fmt.Sprint(t.Limit), fmt.Sprint(t.InFlight), fmt.Sprint(t.Queued)})
		}
	}
	if len(rows) > 1 {
		fmt.Fprintln(out)
		table(out, rows)
	}
}

package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/baobabsill/baobabsill/standin/harness"
)

// Bound is the limit that section 1.3 of the design page sets for a ratio. The zero
// value means that the page sets none.
type Bound struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"`
	Set     bool    `json:"set"`
}

// AtMost returns an upper bound.
func AtMost(limit float64) Bound { return Bound{limit, false, true} }

// AtLeast returns a lower bound.
func AtLeast(limit float64) Bound { return Bound{limit, true, true} }

func (b Bound) String() string {
	switch {
	case !b.Set:
		return "-"
	case b.AtLeast:
		return fmt.Sprintf(">= %.4g", b.Limit)
	}
	return fmt.Sprintf("<= %.4g", b.Limit)
}

// Row compares a measured value with a baseline of the same run.
type Row struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Measure    string  `json:"measure"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	Baseline   float64 `json:"baseline"`
	Against    string  `json:"against"` // what the baseline is
	Ratio      float64 `json:"ratio"`
	Bound      Bound   `json:"bound"` // for the ratio
	Verdict    string  `json:"verdict"`
	Note       string  `json:"note,omitempty"`
}

// withVerdict returns the row with its ratio and with the verdict by its bound.
func (r Row) withVerdict() Row {
	if r.Baseline != 0 {
		r.Ratio = r.Value / r.Baseline
	}
	switch {
	case !r.Bound.Set:
		r.Verdict = "-"
	case r.Baseline == 0:
		r.Verdict = "no baseline"
	case r.Bound.AtLeast && r.Ratio >= r.Bound.Limit, !r.Bound.AtLeast && r.Ratio <= r.Bound.Limit:
		r.Verdict = "met"
	default:
		r.Verdict = "missed"
	}
	return r
}

// Phase is the result of one load. The latencies are those of answered searches.
type Phase struct {
	Scenario   string         `json:"scenario"`
	Deployment string         `json:"deployment"`
	Name       string         `json:"name"`
	Sent       int            `json:"sent"`
	Full       int            `json:"full"`
	P50        float64        `json:"p50_ms"`
	P99        float64        `json:"p99_ms"`
	P999       float64        `json:"p999_ms"`
	Outcomes   map[string]int `json:"outcomes"`
	Refusals   map[string]int `json:"refusals"`
}

// FitRow is a series of measured values and the line fitted to it.
type FitRow struct {
	Scenario string    `json:"scenario"`
	Measure  string    `json:"measure"`
	X        []float64 `json:"x"`
	Y        []float64 `json:"y"`
	Fit
}

// Report collects the results. It is safe for concurrent use.
type Report struct {
	mu     sync.Mutex
	out    io.Writer
	Phases []Phase  `json:"phases"`
	Rows   []Row    `json:"rows"`
	Fits   []FitRow `json:"fits"`
	Errors []string `json:"errors,omitempty"`
}

// NewReport returns a report that prints to out.
func NewReport(out io.Writer) *Report { return &Report{out: out} }

// Printf prints a line that is not part of the table.
func (r *Report) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, format+"\n", args...)
}

// LatencyQuantile returns a quantile of the answered searches in milliseconds.
func LatencyQuantile(res *harness.Result, q float64) float64 {
	return float64(res.AnsweredLatency.ValueAtQuantile(q)) / 1000
}

// AddPhase adds and prints the result of a load. Wrong answers are added as an error.
func (r *Report) AddPhase(scenario, deployment, name string, res *harness.Result) {
	p := Phase{Scenario: scenario, Deployment: deployment, Name: name, Sent: res.Arrivals, Full: res.Full,
		P50: LatencyQuantile(res, 50), P99: LatencyQuantile(res, 99), P999: LatencyQuantile(res, 99.9),
		Outcomes: res.Outcomes, Refusals: res.Refusals}
	r.Printf("  %-34s %5d sent, %5d full, p50 %7.1f  p99 %7.1f  p99.9 %7.1f ms  %s", name, p.Sent, p.Full, p.P50, p.P99, p.P999, FormatCounts(res.Refusals))
	r.mu.Lock()
	r.Phases = append(r.Phases, p)
	r.mu.Unlock()
	f := res.Faults
	if f.MixedSnapshots+f.WrongCoverage+f.Incomplete+f.WrongItems > 0 {
		r.AddError("%s, %s, %s: %d mixed, %d wrong coverage, %d incomplete, %d foreign: %v",
			scenario, deployment, name, f.MixedSnapshots, f.WrongCoverage, f.Incomplete, f.WrongItems, f.Examples)
	}
}

// AddRow adds a row and sets its ratio and verdict.
func (r *Report) AddRow(row Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Rows = append(r.Rows, row.withVerdict())
}

// AddFit fits a line to a series, prints it and adds it to the report.
func (r *Report) AddFit(scenario, measure, unit string, x, y []float64) Fit {
	f := FitLine(x, y)
	r.Printf("  fit: %s = %.4g + %.4g × n %s, residual %.3g  (n %v: %s)", measure, f.Intercept, f.Slope, unit, f.Residual, x, formatValues(y))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Fits = append(r.Fits, FitRow{scenario, measure, x, y, f})
	return f
}

func formatValues(y []float64) string {
	parts := make([]string, len(y))
	for i, v := range y {
		parts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(parts, " ")
}

// AddError adds and prints an error; the run continues.
func (r *Report) AddError(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Printf("  ERROR: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Errors = append(r.Errors, text)
}

// PrintTable prints all rows.
func (r *Report) PrintTable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "\n%-9s %-9s %-52s %12s %12s  %-24s %8s  %-9s %s\n", "scenario", "on", "measure", "value", "baseline", "of", "ratio", "target", "")
	for _, x := range r.Rows {
		ratio := fmt.Sprintf("%.3f", x.Ratio)
		if x.Baseline == 0 {
			ratio = "-"
		}
		fmt.Fprintf(r.out, "%-9s %-9s %-52s %9.4g %-4s %9.4g   %-22s %8s  %-9s %s", x.Scenario, x.Deployment, x.Measure,
			x.Value, x.Unit, x.Baseline, x.Against, ratio, x.Bound, x.Verdict)
		if x.Note != "" {
			fmt.Fprintf(r.out, "  (%s)", x.Note)
		}
		fmt.Fprintln(r.out)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(r.out, "ERROR:", e)
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// FormatCounts formats counts, sorted by name.
func FormatCounts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], strings.TrimSpace(k)))
	}
	return strings.Join(parts, ", ")
}

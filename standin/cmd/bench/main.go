// Command bench measures deployments with the stand-ins of the demo: the request
// policies, overload, faults and costs. It prints each measure as a ratio to a baseline
// of the same run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
)

// runTimeout ends a run that hangs.
const runTimeout = 40 * time.Minute

// scenarioRun is the run of one scenario with one deployment.
type scenarioRun struct {
	*bench.Env
	scenario, deployment string
}

// scenarios are the scenarios in the order of a full run. Without --deployment, each
// runs only with the deployments for which its measures matter.
var scenarios = []struct {
	name        string
	deployments []string
	measure     func(context.Context, *scenarioRun) error
}{
	{"tail", []string{"huber"}, measureTail},
	{"extra", []string{"huber"}, measureExtra},
	{"config", []string{"huber"}, measureConfig},
	{"overload", []string{"huber", "wrapline"}, measureOverload},
	{"cost", []string{"huber"}, measureCost},
	{"coverage", []string{"wrapline"}, measureCoverage},
	{"zone", []string{"huber", "wrapline"}, measureZone},
	{"cold", []string{"huber"}, measureColdStart},
}

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("only", "", "run only these scenarios, separated by commas")
	seconds := flag.Float64("seconds", 10, "duration of each measured phase, in seconds")
	deployment := flag.String("deployment", "", "huber, wrapline or both; by default those of each scenario")
	file := flag.String("json", "", "also write the results to this file")
	flag.Parse()
	if err := checkFlags(*only, *deployment, *seconds); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
	binDir, err := filepath.Abs(*bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	report := bench.NewReport(os.Stdout)
	env := &bench.Env{Bin: binDir, PhaseDuration: time.Duration(*seconds * float64(time.Second)), Report: report}
	begin := time.Now()
	runAll(ctx, env, *only, *deployment)
	report.PrintTable()
	fmt.Printf("\nThe run took %.0f s, with phases of %.3g s.\n", time.Since(begin).Seconds(), *seconds)
	if *file != "" {
		if err := report.WriteJSON(*file); err != nil {
			report.AddError("write %s: %v", *file, err)
		}
	}
	if len(report.Errors) > 0 {
		os.Exit(1)
	}
}

func checkFlags(only, deployment string, seconds float64) error {
	if !slices.Contains([]string{"", "huber", "wrapline", "both"}, deployment) {
		return fmt.Errorf("unknown deployment %q", deployment)
	}
	if seconds < 0.5 || seconds > 600 {
		return fmt.Errorf("--seconds must be between 0.5 and 600")
	}
	for _, name := range strings.Split(only, ",") {
		known := name == ""
		for _, s := range scenarios {
			known = known || s.name == name
		}
		if !known {
			return fmt.Errorf("unknown scenario %q", name)
		}
	}
	return nil
}

func runAll(ctx context.Context, env *bench.Env, only, deployment string) {
	for _, s := range scenarios {
		if only != "" && !slices.Contains(strings.Split(only, ","), s.name) {
			continue
		}
		on := s.deployments
		switch deployment {
		case "both":
			on = []string{"huber", "wrapline"}
		case "huber", "wrapline":
			on = []string{deployment}
		}
		for _, d := range on {
			begin := time.Now()
			env.Report.Printf("\n== %s, %s", s.name, d)
			if err := s.measure(ctx, &scenarioRun{env, s.name, d}); err != nil {
				env.Report.AddError("%s, %s: %v", s.name, d, err)
			}
			env.Report.Printf("  took %.0f s", time.Since(begin).Seconds())
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// addRow adds a row of this scenario to the report.
func (r *scenarioRun) addRow(measure string, value float64, unit string, baseline float64, against string, bound bench.Bound, note string) {
	r.Report.AddRow(bench.Row{Scenario: r.scenario, Deployment: r.deployment, Measure: measure, Value: value,
		Unit: unit, Baseline: baseline, Against: against, Bound: bound, Note: note})
}

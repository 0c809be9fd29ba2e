package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	coldRate = 60 // searches per second over all shards
	// coldTargets is the number of targets, each of another service, that become cold
	// at the same time.
	coldTargets = 6
)

// measureColdStart measures cold starts of targets under load, first with a new
// incarnation and then without one or any other sign. Their health and load endpoints
// report a warm, idle target all the time.
func measureColdStart(ctx context.Context, r *scenarioRun) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Behaviour = targetBehaviour(serviceMS, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.RunLoads(ctx, nil, rig.Load("", coldRate, warmUp)); err != nil {
		return err
	}
	steady, err := rig.RunLoads(ctx, nil, rig.Load("", coldRate, r.PhaseDuration))
	if err != nil {
		return err
	}
	r.Report.AddPhase(r.scenario, r.deployment, "steady", steady[0])
	for _, cause := range []string{"restart", "cold without warning"} {
		before, err := rig.Counts(ctx)
		if err != nil {
			return err
		}
		var took []float64
		results, err := rig.RunLoads(ctx, func() (err error) {
			took, err = r.turnCold(ctx, rig, cause == "restart")
			return err
		}, rig.Load("", coldRate, r.PhaseDuration))
		if err != nil {
			return fmt.Errorf("%s: %w", cause, err)
		}
		after, err := rig.Counts(ctx)
		if err != nil {
			return err
		}
		r.Report.AddPhase(r.scenario, r.deployment, cause, results[0])
		r.addRow(cause+": p99", bench.LatencyQuantile(results[0], 99), "ms", bench.LatencyQuantile(steady[0], 99), "steady", bench.Bound{}, "")
		r.Report.Printf("    back at full load after, ms: %.0f (%d of %d targets)", took, len(took), coldTargets)
		note := fmt.Sprintf("%d of %d targets; the ramp needs at least 200 ms", len(took), coldTargets)
		if len(took) > 0 {
			r.addRow(cause+": time to full load, slowest", slices.Max(took), "ms", 200, "one ramp step", bench.Bound{}, note)
		}
		if err := r.addColdLoadRows(rig, after, before, cause); err != nil {
			return err
		}
	}
	return nil
}

// turnCold makes targets cold and returns the times in milliseconds, sorted, until
// their holders use all slots again. Targets that don't get so far within the phase
// are left out.
func (r *scenarioRun) turnCold(ctx context.Context, rig *bench.Rig, restart bool) ([]float64, error) {
	services := rig.Search("").Services
	pending := map[string]bool{}
	begin := time.Now()
	for i := range coldTargets {
		zone, name := rig.ReplicaOf(services[i], 1)
		if err := rig.Change(ctx, zone, name, target.Change{Cold: !restart, Restart: restart}); err != nil {
			return nil, err
		}
		pending[name] = true
	}
	client := &http.Client{Timeout: time.Second}
	seenCold := map[string]bool{}
	var took []float64
	for time.Since(begin) < r.PhaseDuration && len(pending) > 0 {
		phases, err := phasesOf(ctx, client, rig.Instances)
		if err != nil {
			return nil, err
		}
		counts, err := rig.Counts(ctx)
		if err != nil {
			return nil, err
		}
		for name := range pending {
			if counts[name].Cold || phases[name] != "warm" {
				seenCold[name] = true
				continue
			}
			if seenCold[name] {
				took = append(took, float64(time.Since(begin).Milliseconds()))
				delete(pending, name)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(took)
	return took, nil
}

// phasesOf returns the phase of each target, as its holder reports it.
func phasesOf(ctx context.Context, client *http.Client, instances []harness.Instance) (map[string]string, error) {
	phases := map[string]string{}
	for _, i := range instances {
		d, err := harness.Status(ctx, client, i)
		if err != nil {
			return nil, err
		}
		for _, t := range d.Targets {
			if t.Holder == i.Name {
				phases[t.Name] = t.Phase
			}
		}
	}
	return phases, nil
}

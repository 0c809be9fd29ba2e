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
	// coldTargets turn cold at once, each of another service.
	coldTargets = 6
)

// coldStart makes targets cold without a new incarnation or any other sign.
// Their health and load endpoints report a warm, idle target throughout.
func coldStart(ctx context.Context, r *run) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Behaviour = targets(serviceMS, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.Run(ctx, nil, rig.Load("", coldRate, warmUp)); err != nil {
		return err
	}
	steady, err := rig.Run(ctx, nil, rig.Load("", coldRate, r.Phase))
	if err != nil {
		return err
	}
	r.Report.Phase(r.scenario, r.deployment, "steady", steady[0])
	for _, way := range []string{"restart", "cold without warning"} {
		before, err := rig.Counts(ctx)
		if err != nil {
			return err
		}
		var took []float64
		results, err := rig.Run(ctx, func() (err error) {
			took, err = r.turnCold(ctx, rig, way == "restart")
			return err
		}, rig.Load("", coldRate, r.Phase))
		if err != nil {
			return fmt.Errorf("%s: %w", way, err)
		}
		after, err := rig.Counts(ctx)
		if err != nil {
			return err
		}
		r.Report.Phase(r.scenario, r.deployment, way, results[0])
		r.add(way+": p99", bench.Quantile(results[0], 99), "ms", bench.Quantile(steady[0], 99), "steady", bench.Bound{}, "")
		r.Report.Print("    back at full load after, ms: %.0f (%d of %d targets)", took, len(took), coldTargets)
		note := fmt.Sprintf("%d of %d targets; the ramp needs at least 200 ms", len(took), coldTargets)
		if len(took) > 0 {
			r.add(way+": time to full load, slowest", slices.Max(took), "ms", 200, "one ramp step", bench.Bound{}, note)
		}
		if err := r.coldLoad(rig, after, before, way); err != nil {
			return err
		}
	}
	return nil
}

// turnCold makes the targets cold and returns the times until their holders
// use all slots again, for those that come so far within the phase.
func (r *run) turnCold(ctx context.Context, rig *bench.Rig, restart bool) ([]float64, error) {
	services := rig.Search("").Services
	names := map[string]bool{}
	begin := time.Now()
	for i := range coldTargets {
		zone, name := rig.TargetOf(services[i], 1)
		if err := rig.Change(ctx, zone, name, target.Change{Cold: !restart, Restart: restart}); err != nil {
			return nil, err
		}
		names[name] = true
	}
	client := &http.Client{Timeout: time.Second}
	wasLow := map[string]bool{}
	var took []float64
	for time.Since(begin) < r.Phase && len(names) > 0 {
		phases, err := phasesOf(ctx, client, rig.Instances)
		if err != nil {
			return nil, err
		}
		counts, err := rig.Counts(ctx)
		if err != nil {
			return nil, err
		}
		for name := range names {
			if counts[name].Cold || phases[name] != "warm" {
				wasLow[name] = true
				continue
			}
			if wasLow[name] {
				took = append(took, float64(time.Since(begin).Milliseconds()))
				delete(names, name)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(took)
	return took, nil
}

// phasesOf returns the phase of each target as its holder states it.
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

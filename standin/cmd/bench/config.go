package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/platform"
)

const (
	configChanges = 20
	// configPause separates two changes, so that each is measured alone.
	configPause = 200 * time.Millisecond
)

// configSizes are the deployments, as numbers of instances per zone.
var configSizes = [][]int{{1, 1, 1}, {2, 2, 2}, {3, 3, 2}, {4, 4, 4}, {8, 8, 8}}

// measureConfig measures, by number of instances, the time from the acceptance of a
// configuration until it is in force at all instances, the calls to the platform, and
// the resource usage of idle instances.
func measureConfig(ctx context.Context, r *scenarioRun) error {
	var n []float64
	series := map[string][]float64{}
	addValue := func(name string, v float64) { series[name] = append(series[name], v) }
	for _, size := range configSizes {
		count := size[0] + size[1] + size[2]
		n = append(n, float64(count))
		if err := r.measureConfigAt(ctx, size, count, addValue); err != nil {
			return fmt.Errorf("%d instances: %w", count, err)
		}
	}
	for _, s := range []struct{ name, unit string }{
		{"slowest change in force", "ms"}, {"median change in force", "ms"},
		{"platform calls per change", "calls"}, {"platform calls per idle minute", "calls"},
		{"idle processor time per instance", "% of a core"},
		{"idle memory per instance", "MB"},
		{"idle read and written bytes per instance", "KB/s"},
		{"idle connections per instance", "sockets"},
	} {
		y := series[s.name]
		r.Report.AddFit(r.scenario, s.name, s.unit, n, y)
		last := len(y) - 1
		if s.name == "slowest change in force" {
			for i := range y {
				r.addRow(fmt.Sprintf("%s, %v instances", s.name, n[i]), y[i], "ms", 3000, "bound of 3 s", bench.AtMost(1), fmt.Sprintf("%d changes", configChanges))
			}
			continue
		}
		r.addRow(fmt.Sprintf("%s, %v instances", s.name, n[last]), y[last], "", y[0], fmt.Sprintf("%v instances", n[0]), bench.Bound{}, s.unit)
	}
	return nil
}

// measureConfigAt measures a deployment of count instances and adds a value to each
// series.
func (r *scenarioRun) measureConfigAt(ctx context.Context, size []int, count int, addValue func(string, float64)) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Instances = size
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	// Wait until placements no longer change and the instance list, which lags, is up
	// to date.
	rig.StopBalancer()
	time.Sleep(3 * time.Second)
	calls, used, err := r.measureIdle(ctx, rig)
	if err != nil {
		return err
	}
	perMinute := float64(calls) / r.PhaseDuration.Minutes()
	perInstance := func(total float64) float64 { return total / float64(count) / r.PhaseDuration.Seconds() }
	addValue("platform calls per idle minute", perMinute)
	addValue("idle processor time per instance", 100*perInstance(used.CPU.Seconds()))
	addValue("idle memory per instance", float64(used.Resident)/float64(count)/1e6)
	addValue("idle read and written bytes per instance", perInstance(float64(used.IO)/1e3))
	addValue("idle connections per instance", float64(used.Connections)/float64(count))

	before, err := platformCalls(ctx, rig)
	if err != nil {
		return err
	}
	begin := time.Now()
	var took []float64
	for i := range configChanges {
		d, err := changeConfig(ctx, rig, i)
		if err != nil {
			return err
		}
		took = append(took, float64(d.Microseconds())/1000)
		time.Sleep(configPause)
	}
	after, err := platformCalls(ctx, rig)
	if err != nil {
		return err
	}
	// The bench itself reads the object twice and writes it once for each change. These
	// calls don't count.
	ownCalls := 3 * configChanges
	perChange := (float64(after-before) - float64(ownCalls) - perMinute*time.Since(begin).Minutes()) / configChanges
	slices.Sort(took)
	addValue("slowest change in force", took[len(took)-1])
	addValue("median change in force", took[len(took)/2])
	addValue("platform calls per change", perChange)
	r.Report.Printf("  %2d instances: %d changes in force after %.0f ms (median), %.0f ms (slowest); %.1f platform calls per change, %.0f per idle minute; per idle instance %.2f%% of a core, %.1f MB, %.1f KB/s, %d sockets",
		count, configChanges, took[len(took)/2], took[len(took)-1], perChange, perMinute,
		100*perInstance(used.CPU.Seconds()), float64(used.Resident)/float64(count)/1e6, perInstance(float64(used.IO)/1e3), used.Connections/count)
	return nil
}

// measureIdle returns the platform calls and the resource usage of all instances
// during a phase without requests.
func (r *scenarioRun) measureIdle(ctx context.Context, rig *bench.Rig) (int64, bench.Usage, error) {
	pids := rig.Pids()
	before, err := bench.UsageOf(pids)
	if err != nil {
		return 0, before, err
	}
	calls, err := platformCalls(ctx, rig)
	if err != nil {
		return 0, before, err
	}
	time.Sleep(r.PhaseDuration)
	after, err := bench.UsageOf(pids)
	if err != nil {
		return 0, before, err
	}
	now, err := platformCalls(ctx, rig)
	return now - calls, after.Since(before), err
}

func platformCalls(ctx context.Context, rig *bench.Rig) (int64, error) {
	var c platform.Calls
	err := rig.Platform.Get(ctx, "/admin/calls", &c)
	return c.Reads + c.Writes + c.Watches, err
}

// changeConfig replaces the configuration by one with another connection limit, and
// returns the time from the answer of the platform until all instances report the
// version as in force.
func changeConfig(ctx context.Context, rig *bench.Rig, i int) (time.Duration, error) {
	doc := rig.Topology.Document
	doc.Services = slices.Clone(doc.Services)
	doc.Services[0].Connections += 1 + i%2
	if err := rig.Platform.Put(ctx, "config/main", doc); err != nil {
		return 0, err
	}
	accepted := time.Now()
	var o struct{ Version int64 }
	if err := rig.Platform.Get(ctx, "/objects/config/main", &o); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	seen := make([]time.Duration, len(rig.Instances))
	errs := make([]error, len(rig.Instances))
	var wg sync.WaitGroup
	for k, instance := range rig.Instances {
		wg.Go(func() {
			for {
				d, err := harness.Status(ctx, client, instance)
				if err == nil && d.ConfigVersion >= o.Version {
					seen[k] = time.Since(accepted)
					return
				}
				select {
				case <-time.After(5 * time.Millisecond):
				case <-ctx.Done():
					errs[k] = fmt.Errorf("configuration %d is not in force at %s after 10 s", o.Version, instance.Name)
					return
				}
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	return slices.Max(seen), nil
}

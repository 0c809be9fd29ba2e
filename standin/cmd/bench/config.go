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
	// configPause separates two changes, so that each is seen alone.
	configPause = 200 * time.Millisecond
)

// configSizes are the instances per zone.
var configSizes = [][]int{{1, 1, 1}, {2, 2, 2}, {3, 3, 2}, {4, 4, 4}, {8, 8, 8}}

// config measures the time from accepted to in force everywhere, the calls of
// the platform, and what an idle instance uses, against the number of instances.
func config(ctx context.Context, r *run) error {
	var n []float64
	series := map[string][]float64{}
	keep := func(name string, v float64) { series[name] = append(series[name], v) }
	for _, size := range configSizes {
		count := size[0] + size[1] + size[2]
		n = append(n, float64(count))
		if err := r.configAt(ctx, size, count, keep); err != nil {
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
		r.Report.Fit(r.scenario, s.name, s.unit, n, y)
		last := len(y) - 1
		if s.name == "slowest change in force" {
			for i := range y {
				r.add(fmt.Sprintf("%s, %v instances", s.name, n[i]), y[i], "ms", 3000, "bound of 3 s", bench.AtMost(1), fmt.Sprintf("%d changes", configChanges))
			}
			continue
		}
		r.add(fmt.Sprintf("%s, %v instances", s.name, n[last]), y[last], "", y[0], fmt.Sprintf("%v instances", n[0]), bench.Bound{}, s.unit)
	}
	return nil
}

func (r *run) configAt(ctx context.Context, size []int, count int, keep func(string, float64)) error {
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
	// Placements settle and the lagging list becomes visible.
	rig.StopBalancer()
	time.Sleep(3 * time.Second)
	calls, used, err := r.idle(ctx, rig)
	if err != nil {
		return err
	}
	perMinute := float64(calls) / r.Phase.Minutes()
	perInstance := func(total float64) float64 { return total / float64(count) / r.Phase.Seconds() }
	keep("platform calls per idle minute", perMinute)
	keep("idle processor time per instance", 100*perInstance(used.CPU.Seconds()))
	keep("idle memory per instance", float64(used.Resident)/float64(count)/1e6)
	keep("idle read and written bytes per instance", perInstance(float64(used.IO)/1e3))
	keep("idle connections per instance", float64(used.Connections)/float64(count))

	before, err := platformCalls(ctx, rig)
	if err != nil {
		return err
	}
	begin := time.Now()
	var took []float64
	for i := range configChanges {
		d, err := change(ctx, rig, i)
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
	// Each change reads the object twice and writes it once.
	own := 3 * configChanges
	perChange := (float64(after-before) - float64(own) - perMinute*time.Since(begin).Minutes()) / configChanges
	slices.Sort(took)
	keep("slowest change in force", took[len(took)-1])
	keep("median change in force", took[len(took)/2])
	keep("platform calls per change", perChange)
	r.Report.Print("  %2d instances: %d changes in force after %.0f ms (median), %.0f ms (slowest); %.1f platform calls per change, %.0f per idle minute; per idle instance %.2f%% of a core, %.1f MB, %.1f KB/s, %d sockets",
		count, configChanges, took[len(took)/2], took[len(took)-1], perChange, perMinute,
		100*perInstance(used.CPU.Seconds()), float64(used.Resident)/float64(count)/1e6, perInstance(float64(used.IO)/1e3), used.Connections/count)
	return nil
}

// idle returns the platform calls and the usage of all instances in a phase
// without requests.
func (r *run) idle(ctx context.Context, rig *bench.Rig) (int64, bench.Usage, error) {
	pids := rig.Pids()
	before, err := bench.UsageOf(pids)
	if err != nil {
		return 0, before, err
	}
	calls, err := platformCalls(ctx, rig)
	if err != nil {
		return 0, before, err
	}
	time.Sleep(r.Phase)
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

// change replaces the configuration by one that differs in a connection limit,
// and returns the time from the platform's answer until all instances state
// the new version.
func change(ctx context.Context, rig *bench.Rig, i int) (time.Duration, error) {
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

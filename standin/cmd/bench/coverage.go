package main

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	coverageRate = 15 // searches per second, for each declared search
	// killInterval spreads the kills over the load, so that instances meet newly lost
	// replicas again and again.
	killInterval = 20 * time.Millisecond
)

// measureCoverage measures the answers while one replica of each service is killed.
func measureCoverage(ctx context.Context, r *scenarioRun) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	rig.WarmUp(ctx, coverageRate, warmUp)
	loads := func() []harness.Load {
		var all []harness.Load
		for _, s := range t.Document.Searches {
			all = append(all, rig.Load(s.Name, coverageRate, r.PhaseDuration))
		}
		return all
	}
	steady, err := rig.RunLoads(ctx, nil, loads()...)
	if err != nil {
		return err
	}
	for _, res := range steady {
		r.Report.AddPhase(r.scenario, r.deployment, res.Name+", all replicas", res)
	}
	lost, err := rig.RunLoads(ctx, func() error { return killOneReplicaPerService(ctx, rig) }, loads()...)
	if err != nil {
		return err
	}
	for i, res := range lost {
		r.Report.AddPhase(r.scenario, r.deployment, res.Name+", replicas lost", res)
		s := rig.Search(res.Name)
		answered := res.Outcomes["answered"]
		if s.Class == declare.ClassComplete {
			r.addRow(res.Name+": complete answers that are complete", float64(answered-res.Faults.Incomplete), "", float64(answered), "answers", bench.AtLeast(1), "")
			r.addRow(res.Name+": answered", float64(answered), "", float64(res.Arrivals), "sent", bench.Bound{}, "one replica of each service lost")
		} else {
			r.addRow(res.Name+": full answers", float64(res.Full), "", float64(res.Arrivals), "sent", bench.AtLeast(0.999), "one replica of each service lost")
		}
		r.addRow(res.Name+": p99 with replicas lost", bench.LatencyQuantile(res, 99), "ms", bench.LatencyQuantile(steady[i], 99), "all replicas", bench.Bound{}, "")
	}
	return nil
}

func killOneReplicaPerService(ctx context.Context, rig *bench.Rig) error {
	for i, s := range rig.Topology.Document.Services {
		zone, name := rig.ReplicaOf(s.Name, 1+i%s.Replicas)
		if err := rig.Change(ctx, zone, name, target.Change{Kill: true}); err != nil {
			return err
		}
		time.Sleep(killInterval)
	}
	return nil
}

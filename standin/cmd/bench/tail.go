package main

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/link"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	// tailRate is in searches per second over all shards. At 40, the processors of a
	// shared machine limit the load and not the targets.
	tailRate = 20
	// serviceMS is the median service time. At 10 ms a straggler takes 150 ms, which is
	// clearly longer than the scheduling delays of a shared machine.
	serviceMS = 10
	// slowReplicaMS is added to the time of each answer of the slow replica.
	slowReplicaMS = 100
	// warmUp is the duration of the load before a measurement, and warmUpRate its rate in
	// searches per second. The rate is far below the capacity of the machine, since the
	// latencies of the warm-up count for the hedge delay for 16 s.
	warmUp     = 5 * time.Second
	warmUpRate = 40
	// counterPublishWait is longer than the interval of 1 s at which instances publish
	// their counters.
	counterPublishWait = 1200 * time.Millisecond
)

// targetBehaviour returns targets with a median service time of ms. With faults, 1% of
// the requests take 15 times as long, and every 20 s there is a pause of 150 ms.
func targetBehaviour(ms float64, faults bool) func(declare.Service) target.Behaviour {
	return func(s declare.Service) target.Behaviour {
		b := harness.DefaultBehaviour(s)
		b.ServiceMS, b.StragglerShare, b.PauseMS = ms, 0, 0
		if faults {
			b.StragglerShare, b.StragglerFactor = 0.01, 15
			b.PauseMS, b.PauseEveryMS = 150, 20000
		}
		return b
	}
}

// injectFaults makes one replica slow and one cold, and one link between zones slow
// and lossy. Its delay of 12 ms is that between regions in section 1.6 of the design
// page; a lost packet is sent again after 200 ms.
func injectFaults(ctx context.Context, r *bench.Rig) error {
	services := r.Search("").Services
	zone, name := r.ReplicaOf(services[0], 1)
	slow := float64(slowReplicaMS)
	if err := r.Change(ctx, zone, name, target.Change{SlowMS: &slow}); err != nil {
		return err
	}
	zone, name = r.ReplicaOf(services[1], 1)
	cold := r.Topology.Behaviour(r.Service(services[1]))
	// It stays cold to the end of the phase: neither time nor answers make it warm.
	cold.ColdMS, cold.ColdRequests = 600_000, 0
	if err := r.Change(ctx, zone, name, target.Change{Behaviour: &cold, Cold: true}); err != nil {
		return err
	}
	zones := r.Topology.Document.Zones
	delay, jitter, loss, retransmit := 12.0, 12.0, 0.001, 200.0
	return r.Link.Post(ctx, "/admin/link", link.Change{A: zones[0].Name, B: zones[2].Name,
		DelayMS: &delay, JitterMS: &jitter, LossShare: &loss, RetransmitMS: &retransmit})
}

// runTailPhase starts a deployment with the settings, warms it up, injects the faults if
// wanted, and measures the search with the most shards.
func (r *scenarioRun) runTailPhase(ctx context.Context, name string, settings bench.Settings, faults bool) (*harness.Result, error) {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return nil, err
	}
	t.Behaviour = targetBehaviour(serviceMS, faults)
	rig, err := r.Start(ctx, t, settings)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	if _, err := rig.RunLoads(ctx, nil, rig.Load("", warmUpRate, warmUp)); err != nil {
		return nil, err
	}
	if faults {
		if err := injectFaults(ctx, rig); err != nil {
			return nil, err
		}
	}
	before, err := bench.GatewayCounters(ctx, rig.Instances)
	if err != nil {
		return nil, err
	}
	results, err := rig.RunLoads(ctx, nil, rig.Load("", tailRate, r.PhaseDuration))
	if err != nil {
		return nil, err
	}
	r.Report.AddPhase(r.scenario, r.deployment, name, results[0])
	time.Sleep(counterPublishWait)
	after, err := bench.GatewayCounters(ctx, rig.Instances)
	if err != nil {
		return nil, err
	}
	count := func(name string) float64 { return after[name] - before[name] }
	r.Report.Printf("    %.0f first attempts, %.0f hedges of which %.0f won, %.0f retries, %.0f reroutes, %.0f repeats refused by the budget",
		count("first"), count("hedge"), count("hedge_wins"), count("retry"), count("reroute"), count("budget_refusals"))
	return results[0], nil
}

// measureTail compares the tail latency of the hedging policies under faults with that
// without hedging, and with that of a run without faults.
func measureTail(ctx context.Context, r *scenarioRun) error {
	results := map[string]*harness.Result{}
	for _, p := range []struct {
		name     string
		settings bench.Settings
		faults   bool
	}{
		{"fault-free", nil, false},
		{"no hedging", bench.Policy("hedging", "off"), true},
		{"fixed hedging", bench.Policy("hedging", "fixed"), true},
		{"quantile hedging", nil, true},
		{"quantile hedging, round-robin", bench.Policy("replica_choice", "round-robin"), true},
	} {
		res, err := r.runTailPhase(ctx, p.name, p.settings, p.faults)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		results[p.name] = res
	}
	for _, policy := range []string{"quantile hedging", "fixed hedging", "quantile hedging, round-robin"} {
		for _, q := range []float64{50, 99, 99.9} {
			offBound, faultFreeBound := bench.AtMost(0.5), bench.AtMost(1.5)
			if policy != "quantile hedging" || q == 50 {
				// The bounds apply to the default policy at p99 and p99.9 only.
				offBound, faultFreeBound = bench.Bound{}, bench.Bound{}
			}
			n := results[policy].AnsweredLatency.TotalCount()
			note := ""
			if float64(n)*(100-q) < 1000 {
				note = fmt.Sprintf("%d answers: fewer than 10 above the quantile", n)
			}
			for _, base := range []struct {
				name  string
				bound bench.Bound
			}{{"no hedging", offBound}, {"fault-free", faultFreeBound}} {
				r.addRow(fmt.Sprintf("%s, p%v", policy, q), bench.LatencyQuantile(results[policy], q), "ms",
					bench.LatencyQuantile(results[base.name], q), base.name, base.bound, note)
			}
		}
	}
	return nil
}

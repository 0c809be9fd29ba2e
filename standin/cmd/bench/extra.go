package main

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// windowFirstAttempts is the number of first attempts over which section 3.5 of the
// design page bounds the share of hedges and retries.
const windowFirstAttempts = 2000

const (
	// extraServiceMS is the median service time. Multiplied by slowFactor, it results in
	// a load of about 90% of the slots, so that queues grow and requests fail.
	extraServiceMS = 20
	extraRate      = 30 // searches per second
)

// slowFactor multiplies the service times in the phase in which all targets are slow.
const slowFactor = 5

// extraLoad is the load beyond first attempts in one phase.
type extraLoad struct {
	share         float64      // requests at the targets above searches × shards
	single, total bench.Window // worst of one instance, and of all together
}

// measureExtra measures how many requests reach the targets per search and shard, with
// the retry budget and with naive retries.
func measureExtra(ctx context.Context, r *scenarioRun) error {
	for _, phase := range []struct {
		name    string
		faults  bool
		allSlow bool
	}{{"steady", false, false}, {"stragglers", true, false}, {"every target slow", true, true}} {
		budgeted, err := r.runExtraPhase(ctx, phase.name, nil, phase.faults, phase.allSlow)
		if err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
		naive, err := r.runExtraPhase(ctx, phase.name+", naive retries", bench.Policy("retries", "naive"), phase.faults, phase.allSlow)
		if err != nil {
			return fmt.Errorf("%s, naive retries: %w", phase.name, err)
		}
		bound := bench.AtMost(1.05)
		r.addRow(phase.name+": requests per search and shard", 1+budgeted.share, "", 1, "searches × shards", bound, "at the targets, whole phase")
		r.addRow(phase.name+": worst window of one entry", 1+budgeted.single.Share(), "", 1, "first attempts", bound,
			fmt.Sprintf("%d extra of %d first", budgeted.single.Repeats, budgeted.single.FirstAttempts))
		r.addRow(phase.name+": worst window of all entries", 1+budgeted.total.Share(), "", 1, "first attempts", bound,
			fmt.Sprintf("%d extra of %d first", budgeted.total.Repeats, budgeted.total.FirstAttempts))
		r.addRow(phase.name+": extra requests", 100*budgeted.share, "%", 100*naive.share, "naive retries", bench.Bound{}, "")
	}
	return nil
}

// runExtraPhase runs one phase with a deployment of its own.
func (r *scenarioRun) runExtraPhase(ctx context.Context, name string, settings bench.Settings, faults, allSlow bool) (extraLoad, error) {
	var out extraLoad
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return out, err
	}
	t.Behaviour = targetBehaviour(extraServiceMS, faults)
	rig, err := r.Start(ctx, t, settings)
	if err != nil {
		return out, err
	}
	defer rig.Close()
	if _, err := rig.RunLoads(ctx, nil, rig.Load("", warmUpRate/2, warmUp)); err != nil {
		return out, err
	}
	if faults {
		if err := injectFaults(ctx, rig); err != nil {
			return out, err
		}
	}
	if allSlow {
		if err := slowDown(ctx, rig, slowFactor); err != nil {
			return out, err
		}
	}
	time.Sleep(counterPublishWait)
	before, err := rig.ArrivedRequests(ctx)
	if err != nil {
		return out, err
	}
	watch := bench.NewRepeatWatch(rig.Instances)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watch.Run(watchCtx)
	results, err := rig.RunLoads(ctx, nil, rig.Load("", extraRate, r.PhaseDuration))
	if err != nil {
		return out, err
	}
	time.Sleep(counterPublishWait)
	watch.Sample(ctx)
	after, err := rig.ArrivedRequests(ctx)
	if err != nil {
		return out, err
	}
	r.Report.AddPhase(r.scenario, r.deployment, name, results[0])
	out.share = extraShare(after-before, results, rig)
	out.single, out.total = watch.WorstWindows(windowFirstAttempts)
	r.Report.Printf("    extra requests %+.2f%%; worst window of one entry %+.2f%% of %d, of all %+.2f%% of %d",
		100*out.share, 100*out.single.Share(), out.single.FirstAttempts, 100*out.total.Share(), out.total.FirstAttempts)
	return out, nil
}

// extraShare returns the share of requests at the targets above searches × shards.
// Refused searches count with all their shards, since their requests may have been
// sent.
func extraShare(arrived int64, results []*harness.Result, rig *bench.Rig) float64 {
	expected := 0
	for _, res := range results {
		expected += (res.Arrivals - res.Outcomes[harness.OutcomeNotSent]) * len(rig.Search(res.Name).Services)
	}
	if expected == 0 {
		return 0
	}
	return float64(arrived)/float64(expected) - 1
}

// slowDown multiplies the median service time of all targets.
func slowDown(ctx context.Context, rig *bench.Rig, factor float64) error {
	counts, err := rig.Counts(ctx)
	if err != nil {
		return err
	}
	for name, c := range counts {
		b := rig.Topology.Behaviour(rig.Service(c.Service))
		b.ServiceMS *= factor
		if err := rig.Change(ctx, c.Zone, name, target.Change{Behaviour: &b}); err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// windowSize is the number of first attempts over which section 3.5 bounds
// the extra requests.
const windowSize = 2000

// extraServiceMS is the median service time. With slowFactor it leads to a
// load of about 90% of the slots, so that queues grow and requests fail.
const (
	extraServiceMS = 20
	extraRate      = 30
)

// slowFactor multiplies all service times in the phase where every target is slow.
const slowFactor = 5

// extraLoad is what one phase sent.
type extraLoad struct {
	total      float64 // share of requests at the targets above searches × shards
	entry, all bench.Window
}

// extra measures the target requests over searches × shards, against the same
// load with naive retries.
func extra(ctx context.Context, r *run) error {
	for _, phase := range []struct {
		name    string
		faults  bool
		allSlow bool
	}{{"steady", false, false}, {"stragglers", true, false}, {"every target slow", true, true}} {
		budget, err := r.extraOf(ctx, phase.name, nil, phase.faults, phase.allSlow)
		if err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
		naive, err := r.extraOf(ctx, phase.name+", naive retries", bench.Policy("retries", "naive"), phase.faults, phase.allSlow)
		if err != nil {
			return fmt.Errorf("%s, naive retries: %w", phase.name, err)
		}
		bound := bench.AtMost(1.05)
		r.add(phase.name+": requests per search and shard", 1+budget.total, "", 1, "searches × shards", bound, "at the targets, whole phase")
		r.add(phase.name+": worst window of one entry", 1+budget.entry.Share(), "", 1, "first attempts", bound,
			fmt.Sprintf("%d extra of %d first", budget.entry.Extra, budget.entry.First))
		r.add(phase.name+": worst window of all entries", 1+budget.all.Share(), "", 1, "first attempts", bound,
			fmt.Sprintf("%d extra of %d first", budget.all.Extra, budget.all.First))
		r.add(phase.name+": extra requests", 100*budget.total, "%", 100*naive.total, "naive retries", bench.Bound{}, "")
	}
	return nil
}

func (r *run) extraOf(ctx context.Context, name string, settings bench.Settings, faults, allSlow bool) (extraLoad, error) {
	var out extraLoad
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return out, err
	}
	t.Behaviour = targets(extraServiceMS, faults)
	rig, err := r.Start(ctx, t, settings)
	if err != nil {
		return out, err
	}
	defer rig.Close()
	if _, err := rig.Run(ctx, nil, rig.Load("", warmUpRate/2, warmUp)); err != nil {
		return out, err
	}
	if faults {
		if err := disturb(ctx, rig); err != nil {
			return out, err
		}
	}
	if allSlow {
		if err := slowDown(ctx, rig, slowFactor); err != nil {
			return out, err
		}
	}
	time.Sleep(publishing)
	before, err := rig.Arrived(ctx)
	if err != nil {
		return out, err
	}
	watch := bench.NewExtraWatch(rig.Instances)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watch.Run(watchCtx)
	results, err := rig.Run(ctx, nil, rig.Load("", extraRate, r.Phase))
	if err != nil {
		return out, err
	}
	time.Sleep(publishing)
	watch.Sample(ctx)
	after, err := rig.Arrived(ctx)
	if err != nil {
		return out, err
	}
	r.Report.Phase(r.scenario, r.deployment, name, results[0])
	out.total = extraShare(after-before, results, rig)
	out.entry, out.all = watch.Worst(windowSize)
	r.Report.Print("    extra requests %+.2f%%; worst window of one entry %+.2f%% of %d, of all %+.2f%% of %d",
		100*out.total, 100*out.entry.Share(), out.entry.First, 100*out.all.Share(), out.all.First)
	return out, nil
}

// extraShare returns the requests at the targets above searches × shards.
// Searches that were refused count with all their shards, since their
// requests may have been sent.
func extraShare(arrived int64, results []*harness.Result, rig *bench.Rig) float64 {
	want := 0
	for _, res := range results {
		want += (res.Sent - res.Outcomes[harness.OutcomeNotSent]) * len(rig.Search(res.Name).Services)
	}
	if want == 0 {
		return 0
	}
	return float64(arrived)/float64(want) - 1
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

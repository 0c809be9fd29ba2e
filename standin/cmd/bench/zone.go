package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

const zoneRate = 25 // searches per second over all shards

// measureZone takes the second availability zone out and back in under load. Its targets
// restart in between, so that they are cold when the zone returns.
func measureZone(ctx context.Context, r *scenarioRun) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	name := t.Document.Zones[1].Name
	load := func() harness.Load { return rig.Load("", zoneRate, r.PhaseDuration) }
	if _, err := rig.RunLoads(ctx, nil, rig.Load("", 2*zoneRate, warmUp)); err != nil {
		return err
	}
	phase := func(label string, action func() error) (*harness.Result, error) {
		results, err := rig.RunLoads(ctx, action, load())
		if err != nil {
			return nil, err
		}
		r.Report.AddPhase(r.scenario, r.deployment, label, results[0])
		return results[0], nil
	}
	steady, err := phase("steady", nil)
	if err != nil {
		return err
	}
	out, err := phase("zone leaves", func() error { return takeZoneOut(ctx, rig, name) })
	if err != nil {
		return err
	}
	left, err := rig.Counts(ctx)
	if err != nil {
		return err
	}
	if err := rig.Change(ctx, name, "*", target.Change{Restart: true}); err != nil {
		return err
	}
	back, err := phase("zone returns", func() error { return returnZone(ctx, rig, name) })
	if err != nil {
		return err
	}
	counts, err := rig.Counts(ctx)
	if err != nil {
		return err
	}
	for _, p := range []struct {
		name string
		res  *harness.Result
	}{{"zone leaves", out}, {"zone returns", back}} {
		r.addRow(p.name+": p99", bench.LatencyQuantile(p.res, 99), "ms", bench.LatencyQuantile(steady, 99), "steady", bench.AtMost(2), "")
		refused := p.res.Arrivals - p.res.Outcomes["answered"]
		r.addRow(p.name+": answered searches", float64(p.res.Outcomes["answered"]), "", float64(p.res.Arrivals), "sent", bench.AtLeast(1), bench.FormatCounts(p.res.Refusals))
		r.addRow(p.name+": full answers", float64(p.res.Full), "", float64(p.res.Arrivals), "sent", bench.Bound{}, "steady "+formatFullShare(steady))
		r.Report.Printf("    %s: %d searches not answered", p.name, refused)
	}
	var last, late, after int64
	for _, c := range left {
		last, late, after = max(last, c.ZoneOutLastMS), late+c.LateAfterZoneOut, after+c.AfterZoneOut
	}
	r.addRow("zone leaves: last new work in the zone", float64(last), "ms", 3000, "bound of 3 s", bench.AtMost(1), "")
	r.Report.Printf("    %d requests after the zone was out, %d later than 3 s", after, late)
	return r.addColdLoadRows(rig, counts, left, "zone returns")
}

func formatFullShare(res *harness.Result) string {
	return bench.FormatCounts(map[string]int{"full": res.Full, "sent": res.Arrivals})
}

// takeZoneOut takes a zone out. Its targets count requests from the time at which the
// platform accepted the change, since the command may return later.
func takeZoneOut(ctx context.Context, rig *bench.Rig, zone string) error {
	version := func() (int64, error) {
		var o struct{ Version int64 }
		err := rig.Platform.Get(ctx, "/objects/config/main", &o)
		return o.Version, err
	}
	before, err := version()
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- rig.RunCtl(ctx, "zone", "out", zone) }()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		now, err := version()
		if err != nil {
			return err
		}
		if now != before {
			break
		}
		if time.Now().After(end) {
			return errors.New("the platform has no new configuration after 5 s")
		}
	}
	if err := rig.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": true}); err != nil {
		return err
	}
	return <-done
}

func returnZone(ctx context.Context, rig *bench.Rig, zone string) error {
	if err := rig.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": false}); err != nil {
		return err
	}
	return rig.RunCtl(ctx, "zone", "in", zone)
}

// addColdLoadRows compares the most requests that a cold target got at once with what
// it bears cold. The targets count this maximum over the whole run.
func (r *scenarioRun) addColdLoadRows(rig *bench.Rig, counts, before map[string]target.Counts, name string) error {
	worstRatio, most, bears := 0.0, 0, 1
	var violations, unwarned int64
	for target, c := range counts {
		bearsCold := rig.Service(c.Service).BearsCold
		if ratio := float64(c.MaxCold) / float64(bearsCold); ratio > worstRatio {
			worstRatio, most, bears = ratio, c.MaxCold, bearsCold
		}
		violations += c.ColdViolations - before[target].ColdViolations
		unwarned += c.UnwarnedViolations - before[target].UnwarnedViolations
	}
	r.addRow(name+": most load that a cold target saw", float64(most), "", float64(bears), "what it bears", bench.AtMost(1),
		fmt.Sprintf("over the whole run; %d arrivals too many before a sender could know", unwarned))
	r.Report.Printf("    loads above what a cold target bears: %d known to be cold, %d before a sender could know", violations, unwarned)
	r.addRow(name+": arrivals within what a cold target bears", float64(arrivals(counts, before)-violations), "",
		float64(arrivals(counts, before)), "arrivals", bench.AtLeast(1), "targets known to be cold")
	return nil
}

// arrivals returns the number of requests that the targets got since before.
func arrivals(counts, before map[string]target.Counts) int64 {
	var sum int64
	for name, c := range counts {
		sum += c.Arrived - before[name].Arrived
	}
	return sum
}

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

// zone takes the second availability zone out under load and back in. Its
// targets restart in between, so that they return cold.
func zone(ctx context.Context, r *run) error {
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
	load := func() harness.Load { return rig.Load("", zoneRate, r.Phase) }
	if _, err := rig.Run(ctx, nil, rig.Load("", 2*zoneRate, warmUp)); err != nil {
		return err
	}
	phase := func(label string, action func() error) (*harness.Result, error) {
		results, err := rig.Run(ctx, action, load())
		if err != nil {
			return nil, err
		}
		r.Report.Phase(r.scenario, r.deployment, label, results[0])
		return results[0], nil
	}
	steady, err := phase("steady", nil)
	if err != nil {
		return err
	}
	out, err := phase("zone leaves", func() error { return takeOut(ctx, rig, name) })
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
	back, err := phase("zone returns", func() error { return takeIn(ctx, rig, name) })
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
		r.add(p.name+": p99", bench.Quantile(p.res, 99), "ms", bench.Quantile(steady, 99), "steady", bench.AtMost(2), "")
		refused := p.res.Sent - p.res.Outcomes["answered"]
		r.add(p.name+": answered searches", float64(p.res.Outcomes["answered"]), "", float64(p.res.Sent), "sent", bench.AtLeast(1), bench.Counts(p.res.Refusals))
		r.add(p.name+": full answers", float64(p.res.Full), "", float64(p.res.Sent), "sent", bench.Bound{}, "steady "+share(steady))
		r.Report.Print("    %s: %d searches not answered", p.name, refused)
	}
	var last, late, after int64
	for _, c := range left {
		last, late, after = max(last, c.ZoneOutLastMS), late+c.LateAfterZoneOut, after+c.AfterZoneOut
	}
	r.add("zone leaves: last new work in the zone", float64(last), "ms", 3000, "bound of 3 s", bench.AtMost(1), "")
	r.Report.Print("    %d requests after the zone was out, %d later than 3 s", after, late)
	return r.coldLoad(rig, counts, left, "zone returns")
}

func share(res *harness.Result) string {
	return bench.Counts(map[string]int{"full": res.Full, "sent": res.Sent})
}

// takeOut takes a zone out. The targets count from when the platform accepted
// the change; the command may return later.
func takeOut(ctx context.Context, rig *bench.Rig, zone string) error {
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
	go func() { done <- rig.Ctl(ctx, "zone", "out", zone) }()
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

func takeIn(ctx context.Context, rig *bench.Rig, zone string) error {
	if err := rig.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": false}); err != nil {
		return err
	}
	return rig.Ctl(ctx, "zone", "in", zone)
}

// coldLoad compares the most requests that a cold target saw at once with what
// it bears. Targets keep the maximum over their whole life.
func (r *run) coldLoad(rig *bench.Rig, counts, before map[string]target.Counts, name string) error {
	worst, most, bears := 0.0, 0, 1
	var known, unwarned int64
	for target, c := range counts {
		b := rig.Service(c.Service).BearsCold
		if s := float64(c.MaxCold) / float64(b); s > worst {
			worst, most, bears = s, c.MaxCold, b
		}
		known += c.ColdViolations - before[target].ColdViolations
		unwarned += c.UnwarnedViolations - before[target].UnwarnedViolations
	}
	r.add(name+": most load that a cold target saw", float64(most), "", float64(bears), "what it bears", bench.AtMost(1),
		fmt.Sprintf("over the whole run; %d arrivals too many before a sender could know", unwarned))
	r.Report.Print("    loads above what a cold target bears: %d known to be cold, %d before a sender could know", known, unwarned)
	r.add(name+": arrivals within what a cold target bears", float64(arrivals(counts, before)-known), "",
		float64(arrivals(counts, before)), "arrivals", bench.AtLeast(1), "targets known to be cold")
	return nil
}

func arrivals(counts, before map[string]target.Counts) int64 {
	var sum int64
	for name, c := range counts {
		sum += c.Arrived - before[name].Arrived
	}
	return sum
}

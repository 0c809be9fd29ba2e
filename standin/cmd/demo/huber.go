package main

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/platform"
	"github.com/baobabsill/baobabsill/standin/target"
)

const archiveRate = 25 // searches per second, each over 50 shards

func runHuber(ctx context.Context, d *deployment) error {
	archive := func(duration time.Duration) harness.Load { return d.load("pattern-archive", archiveRate, duration) }
	steps := []struct {
		name   string
		action func() error
		loads  []harness.Load
	}{
		{"Cold start: first searches after all targets started", nil, []harness.Load{archive(5 * time.Second)}},
		{"Steady", nil, []harness.Load{archive(8 * time.Second), d.load("stitching-card", 20, 8*time.Second)}},
		{"Index snapshot changes under load", func() error { return d.changeSnapshot(ctx, "pattern-archive") }, []harness.Load{archive(5 * time.Second)}},
		{"Crossed, truncated, duplicated and late answers", func() error { return d.spoil(ctx) }, []harness.Load{archive(3 * time.Second)}},
		{"Orders beside searches", func() error { return d.orderUnderLoad(ctx) }, []harness.Load{archive(4 * time.Second)}},
		{"Zone out under load", func() error { return d.takeOut(ctx, "augsburg-hall", 5*time.Second) }, []harness.Load{archive(6 * time.Second)}},
		{"Zone in under load", func() error { return d.takeIn(ctx, "augsburg-hall") }, []harness.Load{archive(6 * time.Second)}},
		{"Two targets leave under load, by drain and by configuration", func() error { return d.retire(ctx) }, []harness.Load{archive(5 * time.Second)}},
		{"A target crashes and returns cold", func() error { return d.crashTarget(ctx) }, []harness.Load{archive(4 * time.Second)}},
		{"An instance stops under load", nil, []harness.Load{archive(5 * time.Second)}},
	}
	var stopped *harness.Process
	for i, s := range steps {
		last := i == len(steps)-1
		if last {
			stopped = d.cluster.Processes[d.cluster.Instances[1].Name]
			s.action = func() error { return d.stopOne(stopped) }
		}
		results, err := d.phase(ctx, s.name, s.action, s.loads...)
		if err != nil {
			return err
		}
		if last {
			broken := 0
			for _, r := range results {
				broken += r.Outcomes[harness.OutcomeBroken] + r.Outcomes[harness.OutcomeNoInstance]
			}
			d.checks.note(9, broken == 0, "%s: %s stopped under load, %d callers lost their connection", d.name, stopped.Name, broken)
		}
	}
	return d.refuseOrders(ctx, "shipping", "order")
}

// changeSnapshot adds a snapshot to all targets and to the shard map, and
// drops the old one later.
func (d *deployment) changeSnapshot(ctx context.Context, search string) error {
	s := d.search(search)
	counts, err := d.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	all := func(change func(c target.Counts) target.Change) error {
		for name, c := range counts {
			if err := d.cluster.Change(ctx, c.Zone, name, change(c)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := all(func(c target.Counts) target.Change {
		next := d.cluster.Topology.Snapshot(c.Service, nextSnapshot)
		return target.Change{AddSnapshot: &next}
	}); err != nil {
		return err
	}
	if err := d.cluster.Platform.Put(ctx, "shardmap/"+search, harness.ShardMap(s, firstSnapshot, nextSnapshot)); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if err := d.cluster.Platform.Put(ctx, "shardmap/"+search, harness.ShardMap(s, nextSnapshot)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return all(func(c target.Counts) target.Change {
		// Only the services of this search drop the snapshot.
		for _, service := range s.Services {
			if service == c.Service {
				return target.Change{DropSnapshot: firstSnapshot}
			}
		}
		return target.Change{}
	})
}

func (d *deployment) spoil(ctx context.Context) error {
	for i, c := range []target.Change{{Crossed: 5}, {Truncated: 5}, {Duplicated: 5}, {Late: 5, LateMS: 150}} {
		service := fmt.Sprintf("order-portal-%02d", i+1)
		for r := 1; r <= 2; r++ {
			zone := d.zoneOf(i, r)
			if err := d.cluster.Change(ctx, zone, fmt.Sprintf("%s-r%d", service, r), c); err != nil {
				return err
			}
		}
	}
	return nil
}

// zoneOf returns the zone of a replica of the service with an index.
func (d *deployment) zoneOf(service, replica int) string {
	zones := d.cluster.Topology.Document.Zones
	return zones[(service+replica-1)%len(zones)].Name
}

func (d *deployment) orderUnderLoad(ctx context.Context) error {
	instances := d.cluster.Instances
	show := func(what string, r harness.Reply) {
		fmt.Printf("  %-52s %s %s %s\n", what, r.Outcome, r.Reason, r.Result)
	}
	show("order through "+instances[0].Name, d.execute(ctx, &instances[0], "order", "order-1"))
	show("the same order through "+instances[len(instances)-1].Name, d.execute(ctx, &instances[len(instances)-1], "order", "order-1"))
	for i := range 10 {
		key := fmt.Sprintf("order-many-%d", i)
		d.execute(ctx, nil, "order", key)
		d.execute(ctx, nil, "order", key)
	}
	lose := 1
	if err := d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{LoseAnswers: &lose}); err != nil {
		return err
	}
	show("order whose claim's answer is lost", d.execute(ctx, nil, "order", "order-lost"))
	none := 0
	if err := d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{LoseAnswers: &none}); err != nil {
		return err
	}
	key, err := d.balancer.IssueKey(ctx)
	if err != nil {
		return err
	}
	down, up := true, false
	if err := d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{Down: &down}); err != nil {
		return err
	}
	show("order with a key of its own, platform down", d.execute(ctx, nil, "order", "order-outage"))
	show("order with an issued key, platform down", d.execute(ctx, nil, "order", key))
	show("the same through another instance", d.execute(ctx, nil, "order", key))
	return d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{Down: &up})
}

func (d *deployment) takeOut(ctx context.Context, zone string, stay time.Duration) error {
	accepted, err := d.change(ctx, "zone", "out", zone)
	if err != nil {
		return err
	}
	// The targets count from now; the command may return later than the change.
	if err := d.cluster.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": true}); err != nil {
		return err
	}
	d.zoneOuts++
	time.Sleep(time.Until(accepted.Add(stay)))
	return nil
}

func (d *deployment) takeIn(ctx context.Context, zone string) error {
	if err := d.cluster.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": false}); err != nil {
		return err
	}
	_, err := d.change(ctx, "zone", "in", zone)
	return err
}

func (d *deployment) retire(ctx context.Context) error {
	d.drains++
	announce, silent := target.DrainAnnounce, target.DrainSilent
	if err := d.cluster.Change(ctx, d.zoneOf(5, 1), "order-portal-06-r1", target.Change{Drain: &announce}); err != nil {
		return err
	}
	if _, err := d.change(ctx, "target", "retire", "order-portal-07-r1"); err != nil {
		return err
	}
	return d.cluster.Change(ctx, d.zoneOf(6, 1), "order-portal-07-r1", target.Change{Drain: &silent})
}

func (d *deployment) crashTarget(ctx context.Context) error {
	zone, name := d.zoneOf(8, 1), "order-portal-09-r1"
	if err := d.cluster.Change(ctx, zone, name, target.Change{Kill: true}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return d.cluster.Change(ctx, zone, name, target.Change{Restart: true})
}

func (d *deployment) stopOne(p *harness.Process) error {
	begin := time.Now()
	err := harness.Stop(13*time.Second, p)
	d.checks.note(9, err == nil, "%s: %s stopped in %.1f s, %s", d.name, p.Name, time.Since(begin).Seconds(), exits(err))
	return nil
}

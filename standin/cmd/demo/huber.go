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
		{"Crossed, truncated, duplicated and late answers", func() error { return d.corruptAnswers(ctx) }, []harness.Load{archive(3 * time.Second)}},
		{"Orders beside searches", func() error { return d.sendOrders(ctx) }, []harness.Load{archive(4 * time.Second)}},
		{"Zone out under load", func() error { return d.takeZoneOut(ctx, "augsburg-hall", 5*time.Second) }, []harness.Load{archive(6 * time.Second)}},
		{"Zone in under load", func() error { return d.returnZone(ctx, "augsburg-hall") }, []harness.Load{archive(6 * time.Second)}},
		{"Two targets leave under load, by drain and by configuration", func() error { return d.retireTargets(ctx) }, []harness.Load{archive(5 * time.Second)}},
		{"A target crashes and returns cold", func() error { return d.crashTarget(ctx) }, []harness.Load{archive(4 * time.Second)}},
		{"An instance stops under load", nil, []harness.Load{archive(5 * time.Second)}},
	}
	var stopped *harness.Process
	for i, s := range steps {
		last := i == len(steps)-1
		if last {
			stopped = d.cluster.Processes[d.cluster.Instances[1].Name]
			s.action = func() error { return d.stopInstance(stopped) }
		}
		results, err := d.runPhase(ctx, s.name, s.action, s.loads...)
		if err != nil {
			return err
		}
		if last {
			broken := 0
			for _, r := range results {
				broken += r.Outcomes[harness.OutcomeBroken] + r.Outcomes[harness.OutcomeNoInstance]
			}
			d.checks.record(9, broken == 0, "%s: %s stopped under load, %d callers lost their connection", d.name, stopped.Name, broken)
		}
	}
	return d.refuseOrders(ctx, "shipping", "order")
}

// changeSnapshot adds the next snapshot to all targets and to the shard map of a
// search, and removes the first one later.
func (d *deployment) changeSnapshot(ctx context.Context, search string) error {
	s := d.search(search)
	counts, err := d.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	changeAll := func(change func(c target.Counts) target.Change) error {
		for name, c := range counts {
			if err := d.cluster.Change(ctx, c.Zone, name, change(c)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := changeAll(func(c target.Counts) target.Change {
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
	return changeAll(func(c target.Counts) target.Change {
		// Services of other searches keep the first snapshot.
		for _, service := range s.Services {
			if service == c.Service {
				return target.Change{DropSnapshot: firstSnapshot}
			}
		}
		return target.Change{}
	})
}

// corruptAnswers makes the targets of four services send some of their answers
// crossed, truncated, duplicated or late, one kind each.
func (d *deployment) corruptAnswers(ctx context.Context) error {
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

// zoneOf returns the zone of a replica. Services count from 0, replicas from 1.
func (d *deployment) zoneOf(service, replica int) string {
	zones := d.cluster.Topology.Document.Zones
	return zones[(service+replica-1)%len(zones)].Name
}

// sendOrders sends orders twice, through different instances, after a lost answer of
// the platform, and while the platform is down.
func (d *deployment) sendOrders(ctx context.Context) error {
	instances := d.cluster.Instances
	printReply := func(what string, r harness.Reply) {
		fmt.Printf("  %-52s %s %s %s\n", what, r.Outcome, r.Reason, r.Result)
	}
	printReply("order through "+instances[0].Name, d.execute(ctx, &instances[0], "order", "order-1"))
	printReply("the same order through "+instances[len(instances)-1].Name, d.execute(ctx, &instances[len(instances)-1], "order", "order-1"))
	for i := range 10 {
		key := fmt.Sprintf("order-many-%d", i)
		d.execute(ctx, nil, "order", key)
		d.execute(ctx, nil, "order", key)
	}
	lose := 1
	if err := d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{LoseAnswers: &lose}); err != nil {
		return err
	}
	printReply("order whose claim succeeds, but the answer is lost", d.execute(ctx, nil, "order", "order-lost"))
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
	printReply("order with the caller's key, platform down", d.execute(ctx, nil, "order", "order-outage"))
	printReply("order with an issued key, platform down", d.execute(ctx, nil, "order", key))
	printReply("the same order through another instance", d.execute(ctx, nil, "order", key))
	return d.cluster.Platform.Post(ctx, "/admin/fault", platform.Fault{Down: &up})
}

// takeZoneOut takes a zone out and returns wait after the platform accepted that.
func (d *deployment) takeZoneOut(ctx context.Context, zone string, wait time.Duration) error {
	accepted, err := d.changeConfig(ctx, "zone", "out", zone)
	if err != nil {
		return err
	}
	// The targets count from now on. This may be later than the acceptance, since the
	// command may return later.
	if err := d.cluster.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": true}); err != nil {
		return err
	}
	d.zoneOuts++
	time.Sleep(time.Until(accepted.Add(wait)))
	return nil
}

func (d *deployment) returnZone(ctx context.Context, zone string) error {
	if err := d.cluster.Targets[zone].Post(ctx, "/admin/zone", map[string]bool{"out": false}); err != nil {
		return err
	}
	_, err := d.changeConfig(ctx, "zone", "in", zone)
	return err
}

// retireTargets makes one target leave by its own drain and another by the
// configuration only.
func (d *deployment) retireTargets(ctx context.Context) error {
	d.drains++
	announce, silent := target.DrainAnnounce, target.DrainSilent
	if err := d.cluster.Change(ctx, d.zoneOf(5, 1), "order-portal-06-r1", target.Change{Drain: &announce}); err != nil {
		return err
	}
	if _, err := d.changeConfig(ctx, "target", "retire", "order-portal-07-r1"); err != nil {
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

func (d *deployment) stopInstance(p *harness.Process) error {
	begin := time.Now()
	err := harness.Stop(13*time.Second, p)
	d.checks.record(9, err == nil, "%s: %s stopped in %.1f s, %s", d.name, p.Name, time.Since(begin).Seconds(), formatExit(err))
	return nil
}

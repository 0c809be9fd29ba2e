//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// splitShard is the shard of browse that the next snapshot splits into two.
const splitShard = "browse.archive-4"

// browseShardMap returns the shard map of browse with the given snapshots. In
// nextSnapshot, splitShard is split over two services.
func (d *deployment) browseShardMap(snapshots ...string) state.ShardMap {
	m := harness.ShardMap(d.search("browse"), snapshots...)
	for i, s := range m.Snapshots {
		if s.ID != nextSnapshot {
			continue
		}
		last := s.Shards[len(s.Shards)-1]
		left, right := last, last
		left.ID, left.To = splitShard+".left", "005"
		right.ID, right.From, right.Service = splitShard+".right", "005", "archive-1"
		m.Snapshots[i].Shards = append(s.Shards[:len(s.Shards)-1], left, right)
	}
	return m
}

// nextSnapshotOf returns the shards of nextSnapshot that a service holds.
func (d *deployment) nextSnapshotOf(service string) *target.Snapshot {
	s := d.Topology.Snapshot(service, nextSnapshot)
	switch service {
	case "archive-4":
		delete(s.Shards, splitShard)
		s.Shards[splitShard+".left"] = itemsPerShard
	case "archive-1":
		s.Shards[splitShard+".right"] = itemsPerShard
	}
	return &s
}

// Guards against answers that mix two snapshots, state a wrong coverage or lack
// shards while, under load, the index snapshot is replaced, a shard is split and a
// replica loses the new snapshot.
func TestSnapshotChanges(t *testing.T) {
	d := startDeployment(t, nil)
	d.warmUp()
	allergen := d.load("allergen", 30, 5*time.Second)
	browse := d.load("browse", 60, 5*time.Second)
	browse.Shards = map[string]int{nextSnapshot: 5}
	var duringChange, afterLoss map[string]int
	results := d.runWithLoads("snapshot replaced", func() {
		for name, c := range d.targetCounts() {
			d.changeTargets(c.Zone, name, target.Change{AddSnapshot: d.nextSnapshotOf(c.Service)})
		}
		must(t, d.Platform.Put(d.ctx, "shardmap/browse", d.browseShardMap(firstSnapshot, nextSnapshot)))
		time.Sleep(1200 * time.Millisecond)
		// One replica loses the new snapshot and doesn't announce it.
		d.changeTargets("east", "archive-4-r1", target.Change{DropSnapshot: nextSnapshot})
		time.Sleep(1200 * time.Millisecond)
		must(t, d.Platform.Put(d.ctx, "shardmap/browse", d.browseShardMap(nextSnapshot)))
		time.Sleep(time.Second)
	}, browse, allergen)
	d.checkFullAnswers(results)
	duringChange = results[0].Snapshots
	if duringChange[firstSnapshot] == 0 || duringChange[nextSnapshot] == 0 {
		t.Errorf("answers by snapshot, want some of both: %v", duringChange)
	}

	// Once the other replica loses it too, browse has to give partial answers.
	browse.Duration = 2 * time.Second
	results = d.runWithLoads("snapshot lost", func() {
		d.changeTargets("middle", "archive-4-r2", target.Change{DropSnapshot: nextSnapshot})
	}, browse)
	afterLoss = results[0].Snapshots
	if afterLoss[firstSnapshot] > 0 || results[0].Partial == 0 {
		t.Errorf("answers by snapshot: %v, partial %d; want partial ones, and none from the first snapshot", afterLoss, results[0].Partial)
	}
}

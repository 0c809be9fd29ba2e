//go:build failures

package failures

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

// splitShard is the shard of browse that is split into two.
const splitShard = "browse.archive-4"

// shardMaps returns the maps of browse: the first snapshot as it is, and the
// next one with splitShard split over two services.
func (d *deployment) shardMaps(snapshots ...string) state.ShardMap {
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

// holding returns what a service holds of the next snapshot.
func (d *deployment) holding(service string) *target.Snapshot {
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

// Guards against answers that mix two snapshots, that state a wrong coverage
// or that lose shards when the index snapshot is replaced, a shard is split
// and a replica loses the snapshot, all under load.
func TestSnapshotChanges(t *testing.T) {
	d := start(t, nil)
	d.warm()
	allergen := d.load("allergen", 30, 5*time.Second)
	browse := d.load("browse", 60, 5*time.Second)
	browse.Shards = map[string]int{nextSnapshot: 5}
	var early, late map[string]int
	results := d.underLoads("snapshot replaced", func() {
		for name, c := range d.counts() {
			d.change(c.Zone, name, target.Change{AddSnapshot: d.holding(c.Service)})
		}
		must(t, d.Platform.Put(d.ctx, "shardmap/browse", d.shardMaps(firstSnapshot, nextSnapshot)))
		time.Sleep(1200 * time.Millisecond)
		// One replica loses the new snapshot without a word.
		d.change("east", "archive-4-r1", target.Change{DropSnapshot: nextSnapshot})
		time.Sleep(1200 * time.Millisecond)
		must(t, d.Platform.Put(d.ctx, "shardmap/browse", d.shardMaps(nextSnapshot)))
		time.Sleep(time.Second)
	}, browse, allergen)
	d.served(results)
	early = results[0].Snapshots
	if early[firstSnapshot] == 0 || early[nextSnapshot] == 0 {
		t.Errorf("answers by snapshot: %v", early)
	}

	// Both replicas of a shard lose the snapshot: browse must say so.
	browse.Duration = 2 * time.Second
	results = d.underLoads("snapshot lost", func() {
		d.change("middle", "archive-4-r2", target.Change{DropSnapshot: nextSnapshot})
	}, browse)
	late = results[0].Snapshots
	if late[firstSnapshot] > 0 || results[0].Partial == 0 {
		t.Errorf("answers by snapshot: %v, partial %d", late, results[0].Partial)
	}
}

package forward

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Guards against leaves that send to a zone that their entry knows to be evacuated.
func TestLeafHeedsEvacuationOfItsEntry(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		f.stores["d1"].SetEvacuated(map[string]bool{"b2": true}, time.Now())
		before := map[string]int{}
		for id, r := range f.replicas {
			before[id] = r.exchangeCount()
		}
		a, _ := f.query(t, "d1", "q")
		if a.Code != Merged || a.MissingCount > 0 {
			t.Errorf("%s with %d missing: %v", a.Code, a.MissingCount, a.MissingDetails)
		}
		for id, r := range f.replicas {
			if strings.HasSuffix(id, "/b2") && r.exchangeCount() > before[id] {
				t.Errorf("%s got a request in an evacuated zone", id)
			}
		}
	})
}

// Around a change of the shards, an entry may know a configuration that its leaves do not
// know yet, or no longer. Guards against queries that fail then.
func TestEntryAndLeafKnowDifferentConfigurations(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		half := f.shards[:fleetShards/2]
		rest := slices.DeleteFunc(slices.Collect(maps.Keys(f.instances)), func(name string) bool { return name == "d4" })
		f.setShards(2, half, rest...)
		if a, took := f.query(t, "d4", "old"); a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
			t.Errorf("old entry: %s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
		all := f.shards
		f.shards = half
		f.setShards(2, half)
		f.warmUp(t)
		f.shards = all
		f.setShards(3, all, "d4")
		if a, took := f.query(t, "d4", "new"); a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
			t.Errorf("new entry: %s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
	})
}

// Leaves that are asked for one shard must not together send to more replicas than the
// route allows, whatever each believes of them: one leaf may know that a replica leaves,
// or that another has joined, and the other not yet.
func TestLeavesChooseTheSameReplicas(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const service = "s1"
		replicas := []catalog.Replica{
			{ID: "s1/a1", Zone: "a1", StartedAt: 3}, {ID: "s1/b1", Zone: "b1", StartedAt: 1}, {ID: "s1/c1", Zone: "c1", StartedAt: 2},
			{ID: "s1/a2", Zone: "a2", StartedAt: 9},
		}
		chosen := func(known []catalog.Replica, draining, departed string) map[string]bool {
			store := catalog.NewStore(0)
			store.UpdateReplicas(func(all map[string]catalog.Replica) {
				for _, r := range known {
					r.Service, r.Address, r.Draining = service, r.ID, r.ID == draining
					all[r.ID] = r
				}
			})
			store.UpdateReplicas(func(all map[string]catalog.Replica) { delete(all, departed) })
			store.SetConfig(f.stores["d1"].Load().Config)
			f.replicas["s1/c1"] = f.replicas["s1/b1"]
			f.replicas["s1/a2"] = f.replicas["s1/b1"]
			pool := replica.NewPool(logs.OrDiscard(nil), func(address string) replica.Client { return f.replicas[address] })
			fw := NewForwarder(logs.OrDiscard(nil), tally.NoopScope, store, pool, nil, *f.instances["d1"].options.Load())
			p := fw.newPart(&GatherRequest{
				Query: &Request{AttemptID: "a"}, Home: "a1", Within: time.Second,
				Route: &catalog.Route{Name: "r", Objective: testObjective, MaxAttempts: 2, Shards: []string{service}},
			}, time.Now())
			ids := map[string]bool{}
			for _, c := range p.candidates(service, time.Now()) {
				ids[c.replica.ID] = true
			}
			return ids
		}
		union := map[string]bool{}
		for _, ids := range []map[string]bool{
			chosen(replicas[:3], "", ""), chosen(replicas[:3], "s1/a1", ""), chosen(replicas, "s1/b1", ""), chosen(replicas, "", ""),
			chosen(replicas[:3], "", "s1/b1"), chosen(replicas, "", "s1/a1"),
		} {
			if len(ids) == 0 {
				t.Error("no replica is chosen")
			}
			maps.Copy(union, ids)
		}
		if len(union) != 2 || !union["s1/a1"] {
			t.Errorf("the leaves choose %v, want two with that of the home zone", union)
		}
	})
}

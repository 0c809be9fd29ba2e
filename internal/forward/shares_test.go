package forward

import (
	"fmt"
	"maps"
	"testing"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Each instance computes its share of a replica's limits alone. The sum must not
// exceed the limits with any number of instances, also if there are more instances
// than connections, and every instance must be able to send to enough replicas.
func TestSharesKeepTheLimits(t *testing.T) {
	for _, n := range []int{1, 8, 11, 64, 77} {
		names := map[string]catalog.Instance{}
		for i := range n {
			names[fmt.Sprintf("front-%d", i)] = catalog.Instance{}
		}
		store := catalog.NewStore(0)
		store.SetInstances(names)
		store.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "s", MaxConnections: 54, ColdRate: 55}}, catalog.Limits{}))
		snap := store.Load()
		used := make(map[string]int, n)
		for i := range 200 {
			r := catalog.Replica{ID: fmt.Sprintf("r%d", i), Service: "s"}
			open, idle, cold := 0, 0, 0
			for self := range names {
				v := &view{snap: snap, options: &Options{Shares: Shares{Self: self, ColdOverage: 1.5, ColdSlack: 5}}, ranks: newRanking(self, snap.InstanceNames)}
				s, by := v.options.Shares, v.sendersOf("s")
				if s.sendsTo(v, by, r) {
					bounds := s.connectionLimits(snap, by, r)
					open += bounds.MaxOpen
					idle += bounds.MaxIdle
					cold += s.coldLimit(snap, by, r)
					used[self]++
				}
			}
			if open > 54 || open == 0 {
				t.Fatalf("%d instances: %d connections to a replica", n, open)
			}
			// If all instances restart after a power loss, each needs one new connection
			// while the replica still holds the old ones.
			if n <= 54/2 && idle+n > 54 {
				t.Fatalf("%d instances: %d idle connections to a replica", n, idle)
			}
			if cold > 87 || cold == 0 {
				t.Fatalf("%d instances: %d requests a second to a cold replica", n, cold)
			}
		}
		for self := range names {
			if used[self] < 100 {
				t.Errorf("%d instances: %s sends to %d of 200 replicas", n, self, used[self])
			}
		}
	}
}

// A service that declares no cold rate has no limit for cold replicas. If the missing
// rate counted as 0, replicas would get no requests for seconds after their start.
func TestNoColdRateMeansNoLimit(t *testing.T) {
	store := catalog.NewStore(0)
	store.SetInstances(manyInstances())
	store.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "s"}, {Name: "t", ColdRate: 800}}, catalog.Limits{}))
	s, by := Shares{Self: "d1", ColdOverage: 1.5, ColdSlack: 5}, senders{count: 11}
	if n := s.coldLimit(store.Load(), by, catalog.Replica{Service: "s"}); n < 1000 {
		t.Errorf("%d requests a second without a declared rate", n)
	}
	if n := s.coldLimit(store.Load(), by, catalog.Replica{Service: "t"}); n > 1205 || n == 0 {
		t.Errorf("%d requests a second with a declared rate", n)
	}
}

// Where only members send, their shares of the connections and of the limits of a replica
// must add up to less than it accepts, with room for instances that are not members; every
// replica needs members; and each member has to know its place.
func TestMembersKeepTheLimits(t *testing.T) {
	for _, n := range []int{12, 64, 195, 600} {
		f := newScatterFleet(1, 0)
		registered := map[string]catalog.Instance{}
		zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
		for i := range n {
			registered[fmt.Sprintf("d%d", i)] = catalog.Instance{Address: "x", Zone: zones[i%6], Capacity: 0.2 + float64(i%4)/4}
		}
		const connections, rate = 20, 55
		route := catalog.Route{Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, Objective: testObjective, MaxAttempts: 2}
		var services []catalog.Service
		listed := map[string]catalog.Replica{}
		for i := range 30 {
			s := fmt.Sprintf("s%d", i)
			route.Shards = append(route.Shards, s)
			services = append(services, catalog.Service{Name: s, MaxConnections: connections, ColdRate: rate})
			for _, zone := range []string{zones[i%6], zones[(i+2)%6]} {
				listed[s+zone] = catalog.Replica{ID: s + zone, Service: s, Zone: zone, Address: "x"}
			}
		}
		store := f.stores["d0"]
		store.UpdateReplicas(func(all map[string]catalog.Replica) { maps.Copy(all, listed) })
		store.SetInstances(registered)
		store.SetConfig(catalog.NewConfig(9, []catalog.Route{route}, services, catalog.Limits{}))
		open, cold, ranks := map[string]int{}, map[string]int{}, map[string]map[int]bool{}
		for name, in := range registered {
			options := *f.instances["d0"].options.Load()
			options.Location = Location{Zone: in.Zone, Region: scatterZones[in.Zone], Regions: scatterZones}
			options.Shares = Shares{Self: name, ColdOverage: 1.5, ColdSlack: 5}
			f.instances["d0"].Configure(options)
			v := f.instances["d0"].currentView()
			for _, s := range route.Shards {
				for _, u := range v.services[s].usable {
					id, by := u.replica.ID, v.services[s].senders
					open[id] += options.Shares.connectionLimits(v.snap, by, u.replica).MaxOpen
					cold[id] += u.coldLimit
					if ranks[id] == nil {
						ranks[id] = map[int]bool{}
					}
					if rank := v.rateShare(u.replica).Rank; ranks[id][rank] || rank >= by.count {
						t.Errorf("%d instances: place %d of %d in %s twice or beyond", n, rank, by.count, id)
					} else {
						ranks[id][rank] = true
					}
				}
			}
		}
		for id := range listed {
			if open[id] == 0 || open[id] > connections*9/10 {
				t.Errorf("%d instances: %d connections to %s", n, open[id], id)
			}
			if cold[id] == 0 || cold[id] > rate*3/2+5 {
				t.Errorf("%d instances: %d requests a second to %s while it is cold", n, cold[id], id)
			}
		}
	}
}

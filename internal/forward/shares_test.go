package forward

import (
	"fmt"
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

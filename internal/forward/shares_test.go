package forward

import (
	"fmt"
	"testing"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Guards the limits of a replica with few and with many daemons.
func TestSharesKeepTheLimits(t *testing.T) {
	for _, n := range []int{1, 8, 11, 64, 77} {
		names := map[string]catalog.Daemon{}
		for i := range n {
			names[fmt.Sprintf("front-%d", i)] = catalog.Daemon{}
		}
		store := catalog.NewStore(0)
		store.SetDaemons(names)
		store.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "s", MaxConnections: 54, ColdRate: 55}}, catalog.Limits{}))
		snap := store.Load()
		used := make(map[string]int, n)
		for i := range 200 {
			r := catalog.Replica{ID: fmt.Sprintf("r%d", i), Service: "s"}
			open, idle, cold := 0, 0, 0
			for self := range names {
				s := Shares{Self: self, ColdOverage: 1.5, ColdSlack: 5}
				if s.admits(snap, newRanking(self, snap.Daemons), r) {
					bounds := s.connections(snap, r)
					open += bounds.Open
					idle += bounds.Idle
					cold += s.coldLimit(snap, r)
					used[self]++
				}
			}
			if open > 54 || open == 0 {
				t.Fatalf("%d daemons: %d connections to a replica", n, open)
			}
			// Daemons that lost their power together need one each at once.
			if n <= 54/2 && idle+n > 54 {
				t.Fatalf("%d daemons: %d idle connections to a replica", n, idle)
			}
			if cold > 87 || cold == 0 {
				t.Fatalf("%d daemons: %d requests a second to a cold replica", n, cold)
			}
		}
		for self := range names {
			if used[self] < 100 {
				t.Errorf("%d daemons: %s sends to %d of 200 replicas", n, self, used[self])
			}
		}
	}
}

// Guards against replicas that are not used for seconds after their start, though
// their service declares no bound for cold replicas.
func TestNoColdRateIsNoBound(t *testing.T) {
	store := catalog.NewStore(0)
	store.SetDaemons(manyDaemons())
	store.SetConfig(catalog.NewConfig(1, nil, []catalog.Service{{Name: "s"}, {Name: "t", ColdRate: 800}}, catalog.Limits{}))
	s := Shares{Self: "d1", ColdOverage: 1.5, ColdSlack: 5}
	if n := s.coldLimit(store.Load(), catalog.Replica{Service: "s"}); n < 1000 {
		t.Errorf("%d requests a second without a declared rate", n)
	}
	if n := s.coldLimit(store.Load(), catalog.Replica{Service: "t"}); n > 1205 || n == 0 {
		t.Errorf("%d requests a second with a declared rate", n)
	}
}

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// Guards against queries that fail or are late with a leaf that is killed, that loses its
// answer or that is frozen, and against entries that go on asking it first.
func TestLeafIsLost(t *testing.T) {
	for _, fault := range []leafFault{killed, lostWork, frozen} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *scatterFleet) {
				const entry = "d5"
				leaf := f.firstLeaf(entry)
				f.setFault(fault, leaf)
				for n := range 20 {
					a, took := f.query(t, entry, fmt.Sprint("q", n))
					if a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
						t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := f.callCount(leaf); n > 3*fleetSize+10 {
					t.Errorf("the lost leaf was asked %d times", n)
				}
				f.setFault(sound, leaf)
				time.Sleep(suspectProbeInterval)
				f.instances[entry].PrepareLeaves(t.Context())
				time.Sleep(suspectProbeInterval)
				before := f.callCount(leaf)
				f.query(t, entry, "after")
				if f.callCount(leaf) == before {
					t.Error("the leaf is not asked again after its return")
				}
			})
		})
	}
}

// Guards against an entry that asks a leaf which is about to stop, or that has no
// configuration yet, until its calls fail.
func TestLeafThatStopsOrStarts(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const entry = "d5"
		leaf := f.firstLeaf(entry)
		f.instances[leaf].SetLeaving()
		f.query(t, entry, "last")
		before := f.callCount(leaf)
		for n := range 10 {
			if a, _ := f.query(t, entry, fmt.Sprint("q", n)); a.Code != Merged || a.MissingCount > 0 {
				t.Errorf("%s with %d missing", a.Code, a.MissingCount)
			}
		}
		if f.callCount(leaf) != before {
			t.Errorf("a stopping leaf was asked %d more times", f.callCount(leaf)-before)
		}
		second := f.firstLeaf("d7")
		f.stores[second] = catalog.NewStore(0)
		f.instances[second] = NewForwarder(logs.OrDiscard(nil), tally.NoopScope, f.stores[second], nil, nil, Options{MaxInFlight: 10})
		if a, took := f.query(t, "d7", "started"); a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
			t.Errorf("%s with %d missing after %v with a leaf that has just started", a.Code, a.MissingCount, took)
		}
	})
}

// A zone that is cut off has to go on serving what it can, and the others too: half of the
// zone's shards have no replica that it reaches.
func TestZoneIsCutOff(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		f.mu.Lock()
		f.cutZones["c2"] = true
		f.mu.Unlock()
		served := 0
		for n := range 5 {
			for name, zone := range f.zones {
				a, took := f.query(t, name, fmt.Sprint("q", n, name))
				if zone == "c2" && a.Code != Merged && took > time.Second {
					t.Errorf("%s in the zone: %s after %v", name, a.Code, took)
				}
				if zone != "c2" && a.Code == Merged && took < testObjective {
					served++
				}
			}
			time.Sleep(time.Second)
			for _, fw := range f.instances {
				fw.PrepareLeaves(t.Context())
			}
		}
		if want := 5 * 50 * 9 / 10; served < want {
			t.Errorf("%d queries outside of the zone served in time, want %d", served, want)
		}
	})
}

// Guards against a leaf without room that holds the request instead of turning it away.
func TestOverloadedLeafRefusesAtOnce(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const entry = "d5"
		leaf := f.firstLeaf(entry)
		options := *f.instances[leaf].options.Load()
		options.MaxInFlight = 0
		f.instances[leaf].Configure(options)
		for n := range 5 {
			if a, took := f.query(t, entry, fmt.Sprint("q", n)); a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
				t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
			}
		}
	})
}

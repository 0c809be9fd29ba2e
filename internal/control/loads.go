package control

import (
	"maps"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

// takeLoads publishes what an instance reports of the targets that it serves.
func (m *Membership) takeLoads(from string, loads []state.Load, now time.Time) {
	m.leases.ObserveLoads(from, loads, now)
	if m.mergeLoads(m.store.Load(), from, loads) == nil {
		return
	}
	m.store.Update(func(next *state.Snapshot) {
		if merged := m.mergeLoads(next, from, loads); merged != nil {
			next.Loads = merged
		}
	})
}

// mergeLoads returns the loads of the snapshot with those that an instance
// reports, or nil if nothing changes. Reports of others than the holder count
// only while the holder does not answer, and an instance cannot take back that
// a target leaves.
func (m *Membership) mergeLoads(snap *state.Snapshot, from string, loads []state.Load) map[string]state.Load {
	var merged map[string]state.Load
	for _, l := range loads {
		old, known := snap.Loads[l.Target]
		holder := snap.Placements[snap.Targets[l.Target].Zone].Holders[l.Target]
		if known && holder != from && l.Phase != state.PhaseLeaving && m.answers(snap, holder) {
			continue
		}
		if known && old.Phase == state.PhaseLeaving && old.Incarnation == l.Incarnation {
			l.Phase = state.PhaseLeaving
		}
		if old == l {
			continue
		}
		if merged == nil {
			merged = make(map[string]state.Load, len(snap.Loads)+1)
			maps.Copy(merged, snap.Loads)
		}
		merged[l.Target] = l
	}
	return merged
}

// answers reports whether an instance is the local one or answers heartbeats.
func (m *Membership) answers(snap *state.Snapshot, name string) bool {
	live := snap.Instances[name].Liveness
	return name == m.self.Name || live == state.Alive || live == state.Draining
}

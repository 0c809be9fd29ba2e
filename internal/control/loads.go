package control

import (
	"maps"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

// publishLoads passes the loads that an instance reports of its targets to the
// leases and writes them to the Store.
func (m *Membership) publishLoads(from string, loads []state.Load, now time.Time) {
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
// reports, or nil if nothing changes. A report of another instance than the
// holder counts only if the target has no load yet, if the holder is
// unresponsive, or if it says that the target is leaving. Leaving is never
// revoked for the same incarnation.
func (m *Membership) mergeLoads(snap *state.Snapshot, from string, loads []state.Load) map[string]state.Load {
	var merged map[string]state.Load
	for _, l := range loads {
		old, known := snap.Loads[l.Target]
		holder := snap.Placements[snap.Targets[l.Target].Zone].Holders[l.Target]
		if known && holder != from && l.Phase != state.PhaseLeaving && m.isAnswering(snap, holder) {
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

// isAnswering reports whether an instance is the local one or one that answers
// heartbeats.
func (m *Membership) isAnswering(snap *state.Snapshot, name string) bool {
	liveness := snap.Instances[name].Liveness
	return name == m.self.Name || liveness == state.Alive || liveness == state.Draining
}

// Package placement decides which instance sends to which target: the
// placement object of a zone, the leases on it, and the handover between
// holders.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/state"
)

// weight orders instances for a target (rendezvous hashing).
func weight(instance, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// first returns the instance with the highest weight for the target, or "".
func first(instances []string, target string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range instances {
		w := weight(name, target)
		if best == "" || w > bestWeight || w == bestWeight && name < best {
			best, bestWeight = name, w
		}
	}
	return best
}

// Assign maps each target to one of the members by rendezvous hashing. The
// change of a member moves only the targets of that member.
func Assign(members, targets []string) map[string]string {
	holders := make(map[string]string, len(targets))
	if len(members) == 0 {
		return holders
	}
	for _, t := range targets {
		holders[t] = first(members, t)
	}
	return holders
}

// reachable reports whether the instance answers heartbeats. The instance
// self is always reachable for itself.
func reachable(snap *state.Snapshot, self, name string) bool {
	if name == self {
		return true
	}
	i, ok := snap.Instances[name]
	return ok && i.Liveness != state.Suspect
}

// standIn returns the instance that takes over while the holder of the target
// is unreachable: the next in rendezvous order among the live instances of the
// zone, or among all live instances if the zone has none.
func standIn(snap *state.Snapshot, self, selfZone, zone, holder, target string) string {
	var inZone, all []string
	add := func(name, z string) {
		if name == holder {
			return
		}
		all = append(all, name)
		if z == zone {
			inZone = append(inZone, name)
		}
	}
	add(self, selfZone)
	for name, i := range snap.Instances {
		if i.Liveness == state.Alive {
			add(name, i.Zone)
		}
	}
	if len(inZone) > 0 {
		return first(inZone, target)
	}
	return first(all, target)
}

// Route returns the instance that a sub-request for the target goes to, or ""
// for an unknown target. It reads nothing but its arguments.
func Route(snap *state.Snapshot, self, selfZone, target string) string {
	t, ok := snap.Targets[target]
	if !ok {
		return ""
	}
	holder := snap.Placements[t.Zone].Holders[target]
	if holder != "" && reachable(snap, self, holder) {
		return holder
	}
	return standIn(snap, self, selfZone, t.Zone, holder, target)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

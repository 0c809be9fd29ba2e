// Package placement decides which instance sends to which target. It maintains
// the placement object of a zone, the leases of its members and the handover of
// targets between holders.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/state"
)

// weight returns the rendezvous hash of an instance for a target.
func weight(instance, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(instance)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// highestWeight returns the instance with the highest weight for the target, or
// "" without instances. Equal weights go to the first name.
func highestWeight(instances []string, target string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range instances {
		w := weight(name, target)
		if best == "" || w > bestWeight || w == bestWeight && name < best {
			best, bestWeight = name, w
		}
	}
	return best
}

// Assign maps each target to one of the members by rendezvous hashing. A member
// that joins or leaves moves only the targets that it gains or loses.
func Assign(members, targets []string) map[string]string {
	holders := make(map[string]string, len(targets))
	if len(members) == 0 {
		return holders
	}
	for _, t := range targets {
		holders[t] = highestWeight(members, t)
	}
	return holders
}

// reachable reports whether an instance is known and not suspect. The instance
// self always counts as reachable.
func reachable(snap *state.Snapshot, self, name string) bool {
	if name == self {
		return true
	}
	i, ok := snap.Instances[name]
	return ok && i.Liveness != state.Suspect
}

// fallbackInstance returns the instance that serves a target while its holder
// is unreachable: the one with the highest weight among the live instances of
// the zone, or among all live instances if the zone has none.
func fallbackInstance(snap *state.Snapshot, self, selfZone, zone, holder, target string) string {
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
		return highestWeight(inZone, target)
	}
	return highestWeight(all, target)
}

// InstanceFor returns the instance that a sub-request for the target goes to, or ""
// for an unknown target. It depends on its arguments only.
func InstanceFor(snap *state.Snapshot, self, selfZone, target string) string {
	t, ok := snap.Targets[target]
	if !ok {
		return ""
	}
	holder := snap.Placements[t.Zone].Holders[target]
	if holder != "" && reachable(snap, self, holder) {
		return holder
	}
	return fallbackInstance(snap, self, selfZone, t.Zone, holder, target)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// removeAfter and addAfter are how long an instance must have been
	// unreachable or alive before it is removed or added, so that a flapping
	// link moves no targets.
	removeAfter = 2 * time.Second
	addAfter    = 2 * time.Second
	// minorityDelay replaces removeAfter while fewer instances are alive than
	// members are unreachable. The unreachable members can then remove this
	// side first, so that an instance whose own link fails does not remove all
	// others.
	minorityDelay = 6 * time.Second
	// rankDelay is how much longer each live instance waits than the one before
	// it in order of names, before it writes a due change.
	rankDelay = 500 * time.Millisecond
	// maxObservationGap is the longest time between two observations. After a
	// longer pause of the process the earlier ones are discarded.
	maxObservationGap = time.Second
)

// planner decides on the members of a zone by how long its instances have been
// alive or unreachable. Only the Controller's Run uses it; it is not safe for
// concurrent use.
type planner struct {
	self, zone                   string
	observedAt                   time.Time            // last call of observeLiveness
	aliveSince, unreachableSince map[string]time.Time // by instance
	changeDueSince               time.Time
	orphan                       orphanWatch
}

func newPlanner(self, zone string) *planner {
	return &planner{self: self, zone: zone, aliveSince: map[string]time.Time{}, unreachableSince: map[string]time.Time{}}
}

// observeLiveness updates since when the instances of the zone have been alive
// or unreachable. join says that the local instance wants to be a member.
func (pl *planner) observeLiveness(snap *state.Snapshot, p state.Placement, join bool, now time.Time) {
	if now.Sub(pl.observedAt) > maxObservationGap {
		clear(pl.aliveSince)
		clear(pl.unreachableSince)
		pl.changeDueSince, pl.orphan.orphanedSince = time.Time{}, EpochTime{}
	}
	pl.observedAt = now
	names := slices.Clone(p.Members)
	for name, i := range snap.Instances {
		if i.Zone == pl.zone {
			names = append(names, name)
		}
	}
	for _, name := range append(names, pl.self) {
		liveness := snap.Instances[name].Liveness
		isAlive := name == pl.self && join || name != pl.self && liveness == state.Alive
		// A draining member removes itself.
		isUnreachable := name != pl.self && liveness != state.Alive && liveness != state.Draining
		trackSince(pl.aliveSince, name, isAlive, now)
		trackSince(pl.unreachableSince, name, isUnreachable, now)
	}
	unknown := func(name string, _ time.Time) bool { return !slices.Contains(names, name) && name != pl.self }
	maps.DeleteFunc(pl.aliveSince, unknown)
	maps.DeleteFunc(pl.unreachableSince, unknown)
}

// trackSince keeps the time from which a condition has held for name, or none
// while it does not hold.
func trackSince(since map[string]time.Time, name string, holds bool, now time.Time) {
	if _, ok := since[name]; !holds {
		delete(since, name)
	} else if !ok {
		since[name] = now
	}
}

// members returns the members that the zone should have, sorted, and the reason
// if they differ from those of p, else "".
func (pl *planner) members(p state.Placement, now time.Time) (members []string, reason string) {
	if len(p.Members) == 0 || p.Released {
		return slices.Sorted(maps.Keys(pl.aliveSince)), "no placement"
	}
	unreachable := pl.countUnreachable(p)
	if unreachable == len(p.Members) {
		// This instance may itself be cut off if it reaches no member.
		if !pl.orphan.isOrphaned(p, now) {
			return p.Members, ""
		}
		return slices.Sorted(maps.Keys(pl.aliveSince)), reasonOrphaned
	}
	delay := removeAfter
	if len(pl.aliveSince) < unreachable {
		delay = minorityDelay
	}
	for _, m := range p.Members {
		if since, unreachable := pl.unreachableSince[m]; unreachable && now.Sub(since) >= delay {
			reason = "member suspect: " + m
			continue
		}
		members = append(members, m)
	}
	for name, since := range pl.aliveSince {
		if !slices.Contains(p.Members, name) && now.Sub(since) >= addAfter {
			members, reason = append(members, name), "instance joined: "+name
		}
	}
	slices.Sort(members)
	return members, reason
}

func (pl *planner) countUnreachable(p state.Placement) (n int) {
	for _, m := range p.Members {
		if _, unreachable := pl.unreachableSince[m]; unreachable {
			n++
		}
	}
	return n
}

// observeEvidence updates since when no member of p has been reachable while the
// platform answered. It is called after observeLiveness.
func (pl *planner) observeEvidence(p state.Placement, e *Evidence, now time.Time) {
	unreachable := len(p.Members) > 0 && !p.Released && pl.countUnreachable(p) == len(p.Members)
	for _, m := range p.PreviousMembers {
		// A reachable instance that has not adopted p may still grant at the
		// previous epoch.
		if _, alive := pl.aliveSince[m]; alive && m != pl.self && e.PeerEpochs[m].Epoch < p.Epoch {
			unreachable = false
		}
	}
	pl.orphan.observe(p, pl.self, unreachable, e.Platform, now)
}

// isMyTurn reports whether the local instance may write a due change now: the
// first live instance by name at once, each further one after another rankDelay.
func (pl *planner) isMyTurn(now time.Time) bool {
	if pl.changeDueSince.IsZero() {
		pl.changeDueSince = now
	}
	rank := 0
	for name := range pl.aliveSince {
		if name < pl.self {
			rank++
		}
	}
	return now.Sub(pl.changeDueSince) >= time.Duration(rank)*rankDelay
}

// nextPlacement returns the placement that follows p with the given members and
// targets.
func nextPlacement(p state.Placement, zone string, members, targets []string) state.Placement {
	n := state.Placement{Zone: zone, Members: members, Holders: Assign(members, targets)}
	if p.Epoch == 0 || p.Released {
		return n
	}
	n.PreviousMembers = p.Members
	for t, holder := range p.Holders {
		if n.Holders[t] != holder {
			if n.Previous == nil {
				n.Previous = map[string]string{}
			}
			n.Previous[t] = holder
		}
	}
	return n
}

// zoneTargets returns the names of the targets of a zone, sorted.
func zoneTargets(snap *state.Snapshot, zone string) []string {
	var names []string
	for name, t := range snap.Targets {
		if t.Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

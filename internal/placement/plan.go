package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// removeAfter and addAfter keep a flapping link from moving targets.
	removeAfter = 2 * time.Second
	addAfter    = 2 * time.Second
	// minorityDelay is removeAfter for instances that are fewer than the
	// members they would remove. Those can remove them first, so that an
	// instance whose own link fails does not remove everybody else.
	minorityDelay = 6 * time.Second
	// rankDelay is how long each further instance in order of names waits
	// before it reconciles.
	rankDelay = 500 * time.Millisecond
	// stallGap is the pause of the process after which the liveness seen
	// before counts no more.
	stallGap = time.Second
)

// planner decides the members of a zone from the liveness of the instances
// over time. It is not safe for concurrent use.
type planner struct {
	self, zone string
	last       time.Time
	up, down   map[string]time.Time // since when an instance is alive or not
	dirty      time.Time            // since when a change is due
	orphan     orphanWatch
}

func newPlanner(self, zone string) *planner {
	return &planner{self: self, zone: zone, up: map[string]time.Time{}, down: map[string]time.Time{}}
}

// observe updates the times since when the instances of the zone are alive.
// join says that the local instance wants to be a member.
func (pl *planner) observe(snap *state.Snapshot, p state.Placement, join bool, now time.Time) {
	if now.Sub(pl.last) > stallGap {
		clear(pl.up)
		clear(pl.down)
		pl.dirty, pl.orphan.since = time.Time{}, Mark{}
	}
	pl.last = now
	names := slices.Clone(p.Members)
	for name, i := range snap.Instances {
		if i.Zone == pl.zone {
			names = append(names, name)
		}
	}
	for _, name := range append(names, pl.self) {
		live := snap.Instances[name].Liveness
		isUp := name == pl.self && join || name != pl.self && live == state.Alive
		// A draining member leaves by itself and is not removed for it.
		isDown := name != pl.self && live != state.Alive && live != state.Draining
		note(pl.up, name, isUp, now)
		note(pl.down, name, isDown, now)
	}
	unknown := func(name string, _ time.Time) bool { return !slices.Contains(names, name) && name != pl.self }
	maps.DeleteFunc(pl.up, unknown)
	maps.DeleteFunc(pl.down, unknown)
}

func note(since map[string]time.Time, name string, holds bool, now time.Time) {
	if _, ok := since[name]; !holds {
		delete(since, name)
	} else if !ok {
		since[name] = now
	}
}

// members returns the members that the zone should have, sorted, and the
// reason of the change, or "" for none.
func (pl *planner) members(p state.Placement, now time.Time) (members []string, reason string) {
	if len(p.Members) == 0 || p.Released {
		return slices.Sorted(maps.Keys(pl.up)), "no placement"
	}
	missing := pl.missing(p)
	if missing == len(p.Members) {
		// An instance that reaches no member may be cut off itself.
		if !pl.orphan.isOrphaned(p, now) {
			return p.Members, ""
		}
		return slices.Sorted(maps.Keys(pl.up)), reasonOrphaned
	}
	delay := removeAfter
	if len(pl.up) < missing {
		delay = minorityDelay
	}
	for _, m := range p.Members {
		if since, down := pl.down[m]; down && now.Sub(since) >= delay {
			reason = "member suspect: " + m
			continue
		}
		members = append(members, m)
	}
	for name, since := range pl.up {
		if !slices.Contains(p.Members, name) && now.Sub(since) >= addAfter {
			members, reason = append(members, name), "instance joined: "+name
		}
	}
	slices.Sort(members)
	return members, reason
}

// missing returns the number of members that are unreachable.
func (pl *planner) missing(p state.Placement) (n int) {
	for _, m := range p.Members {
		if _, down := pl.down[m]; down {
			n++
		}
	}
	return n
}

// observeEvidence updates since when no member is reachable while the platform
// answers. It is called after observe.
func (pl *planner) observeEvidence(p state.Placement, e *Evidence, now time.Time) {
	unreachable := len(p.Members) > 0 && !p.Released && pl.missing(p) == len(p.Members)
	for _, m := range p.PreviousMembers {
		// A reachable instance that has not moved to p may still grant at the
		// epoch before.
		if _, up := pl.up[m]; up && m != pl.self && e.Seen[m].Epoch < p.Epoch {
			unreachable = false
		}
	}
	pl.orphan.observe(p, pl.self, unreachable, e.Platform, now)
}

// turn reports whether it is the local instance's turn to reconcile a change
// that is due: the first live instance by name at once, others later.
func (pl *planner) turn(now time.Time) bool {
	if pl.dirty.IsZero() {
		pl.dirty = now
	}
	rank := 0
	for name := range pl.up {
		if name < pl.self {
			rank++
		}
	}
	return now.Sub(pl.dirty) >= time.Duration(rank)*rankDelay
}

// nextPlacement returns the placement that follows p with other members or targets.
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

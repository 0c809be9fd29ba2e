package placement

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// orphanDelay is how long all members of the placement must have been
	// unreachable, while the platform answers, before other instances take the
	// placement over. Members remove each other within minorityDelay plus one
	// rankDelay per instance, less than 10 s for eight instances, and a member
	// that restarts under its name needs a few seconds. 30 s allow for both and
	// are still short for a zone that cannot recover in any other way.
	//
	// The delay does not prove that the members are gone; they may be cut off.
	// Two holders can both be confirmed only if all old members are alive, reach
	// each other and the targets, have been cut off from every new instance of
	// the zone for this long, and are cut off from the platform when the
	// takeover is written.
	orphanDelay = 30 * time.Second
	// orphanReadAge is the age of the last answered placement read above which
	// the platform counts as unavailable. It spans three reads, so that one lost
	// answer does not restart orphanDelay.
	orphanReadAge = 3 * readInterval

	reasonOrphaned = "no member reachable"
)

// orphanWatch decides when an instance that is not a member may take over a
// placement without reachable members. It belongs to the planner and is not safe
// for concurrent use.
type orphanWatch struct {
	// orphanedSince is the epoch of the orphaned placement and the time since
	// when no member has been reachable while the platform answered with this
	// epoch. It is zero if the placement is not orphaned.
	orphanedSince EpochTime
	// lastOwnMembers are the members of the last placement that had the local
	// instance as a member.
	lastOwnMembers []string
	// tookOver is set once this process wrote a takeover. It writes only one,
	// because instances that reach the platform but not each other would
	// otherwise take the zone from each other forever.
	tookOver bool
}

// observe updates orphanedSince. unreachable says that no member of p is
// reachable; read is the last answered platform read.
func (w *orphanWatch) observe(p state.Placement, self string, unreachable bool, read EpochTime, now time.Time) {
	if slices.Contains(p.Members, self) {
		w.lastOwnMembers = p.Members
	}
	// An instance that its fellow members removed is itself the one that is cut
	// off and must not take over.
	removedByPeers := slices.ContainsFunc(p.Members, func(m string) bool { return slices.Contains(w.lastOwnMembers, m) })
	switch {
	case !unreachable || removedByPeers || w.tookOver || read.Epoch != p.Epoch || now.Sub(read.At) > orphanReadAge:
		w.orphanedSince = EpochTime{}
	case w.orphanedSince.Epoch != p.Epoch:
		w.orphanedSince = EpochTime{p.Epoch, now}
	}
}

// isOrphaned reports whether the placement p may be taken over.
func (w *orphanWatch) isOrphaned(p state.Placement, now time.Time) bool {
	return !w.orphanedSince.At.IsZero() && w.orphanedSince.Epoch == p.Epoch && now.Sub(w.orphanedSince.At) >= orphanDelay
}

// takeoverPlacement returns the placement that follows p when none of the new
// members is a member of p. It names no previous members, because none is
// expected to report when it left p. It keeps the moves of p, because whether
// they have ended is unknown.
func takeoverPlacement(p state.Placement, zone string, members, targets []string) state.Placement {
	n := nextPlacement(p, zone, members, targets)
	n.PreviousMembers = nil
	for t, holder := range p.Previous {
		if n.Previous[t] == "" && n.Holders[t] != holder {
			n.Previous = withEntry(n.Previous, t, holder)
		}
	}
	return n
}

package placement

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// orphanDelay is how long no member of the placement may have been
	// reachable, with the platform answering, before other instances take the
	// placement over. Members remove each other within minorityDelay and one
	// rankDelay per instance, less than 10 s for eight instances, and a member
	// that restarts under its name needs a few seconds. 30 s leave both time,
	// and are short for a zone that nobody else can bring back.
	//
	// The delay shows nothing about members that are alive but cut off. Two
	// holders can both be confirmed only if all old members are alive, reach
	// each other and the targets, have been cut off from every new instance of
	// the zone for this long, and are cut off from the platform when the
	// takeover is written.
	orphanDelay = 30 * time.Second
	// orphanReadAge is the age of the last answered read of the placement
	// after which the platform counts as not answering. It spans three reads,
	// so that one lost answer does not restart the delay.
	orphanReadAge = 3 * readEvery

	reasonOrphaned = "no member reachable"
)

// orphanWatch decides when instances that are no members may take over the
// placement. It is not safe for concurrent use.
type orphanWatch struct {
	// since is the epoch and since when its members are unreachable while the
	// platform answers with it. It is zero while that does not hold.
	since Mark
	// peers are the members of the last placement that had the local instance.
	peers []string
	// tookOver says that this process wrote a takeover. It writes no other
	// one: instances that reach the platform but not each other would
	// otherwise take the zone from each other for ever.
	tookOver bool
}

// observe updates the time since when the zone is orphaned. unreachable says
// that no member of p is reachable. read is the last answered platform read.
func (w *orphanWatch) observe(p state.Placement, self string, unreachable bool, read Mark, now time.Time) {
	if slices.Contains(p.Members, self) {
		w.peers = p.Members
	}
	// Instances that were removed by their own peers are the cut-off ones.
	removedByPeers := slices.ContainsFunc(p.Members, func(m string) bool { return slices.Contains(w.peers, m) })
	switch {
	case !unreachable || removedByPeers || w.tookOver || read.Epoch != p.Epoch || now.Sub(read.At) > orphanReadAge:
		w.since = Mark{}
	case w.since.Epoch != p.Epoch:
		w.since = Mark{p.Epoch, now}
	}
}

// isOrphaned reports whether the placement p may be taken over.
func (w *orphanWatch) isOrphaned(p state.Placement, now time.Time) bool {
	return !w.since.At.IsZero() && w.since.Epoch == p.Epoch && now.Sub(w.since.At) >= orphanDelay
}

// takeoverPlacement returns the placement that follows p with members of which none is
// a member of p. It names no previous members, since none is expected to say
// when it left p, and it carries the moves of p on, since nobody can tell
// whether they have ended.
func takeoverPlacement(p state.Placement, zone string, members, targets []string) state.Placement {
	n := nextPlacement(p, zone, members, targets)
	n.PreviousMembers = nil
	for t, holder := range p.Previous {
		if n.Previous[t] == "" && n.Holders[t] != holder {
			n.Previous = put(n.Previous, t, holder)
		}
	}
	return n
}

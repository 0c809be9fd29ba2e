package placement

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// LeaseTerm is how long a grant or a platform read confirms a lease. It
	// counts from the send time of the heartbeat or read.
	LeaseTerm = 1500 * time.Millisecond
	// MaxClockError is the assumed bound of the drift between the clocks of two
	// instances over one LeaseTerm.
	MaxClockError = 100 * time.Millisecond
	// warmReportAge is the greatest age that the last warm report of a target
	// may have had when its holder was last heard. With an older report no
	// lease is provisional.
	warmReportAge = 5 * time.Second
)

// LeaseKind is the kind of a lease.
type LeaseKind int

const (
	// NoLease permits nothing.
	NoLease LeaseKind = iota
	// Provisional permits sends to a target that was last reported warm, while
	// the platform or the peers do not confirm the lease or while the target's
	// holder is unreachable. Another instance may send to the target as well.
	Provisional
	// Confirmed means that no other instance has a confirmed lease on the target.
	Confirmed
)

// String returns the name of the kind for logs.
func (k LeaseKind) String() string { return [...]string{"none", "provisional", "confirmed"}[k] }

// Lease is the time-limited permission of an instance to send to a target.
// Until is set unless Kind is NoLease. Holder is the instance that should serve the
// target, as far as the deciding instance knows.
type Lease struct {
	Kind   LeaseKind
	Until  time.Time
	Holder string
}

// EpochTime is an epoch with a time: the send time of the heartbeat or platform read
// that was answered with the epoch, or the time when an instance was first seen
// at the epoch.
type EpochTime struct {
	Epoch int64
	At    time.Time
}

// LoadReport has the latest loads that one instance reported of its targets.
type LoadReport struct {
	// HeardAt is when the last report arrived, even if it named no target.
	HeardAt time.Time
	Loads   map[string]ReportedLoad // by target
}

// ReportedLoad is a load with the time of its report.
type ReportedLoad struct {
	Load state.Load
	At   time.Time
}

// Evidence is what an instance has observed and what its leases are decided on.
// It is immutable. All times are from the local clock; all epochs are those of
// the local zone.
type Evidence struct {
	// Adopted is the epoch of the local placement and when the instance adopted
	// it.
	Adopted EpochTime
	// Platform is the last read of the placement that the platform answered.
	// At is zero if this process has read none.
	Platform EpochTime
	// ReceivedGrants are the last heartbeats that other members answered with a grant.
	ReceivedGrants map[string]EpochTime
	// PeerEpochs are the latest epochs of the other instances of the zone, with the
	// time when each was first seen.
	PeerEpochs map[string]EpochTime
	// Released are the targets that their previous holder has released, with
	// the epoch of the placement that moved them.
	Released map[string]int64
	// Granted are the times of the last grants of this instance, by member.
	Granted map[string]time.Time
	// Reports are the loads that instances reported, including the local one.
	Reports map[string]LoadReport
	// Closed ends all leases when the last instance of a zone stops.
	Closed bool
}

// DecideLease returns the lease of the instance self on a target at the local time
// now. It depends on its arguments only.
func DecideLease(snap *state.Snapshot, e *Evidence, self, selfZone, target string, now time.Time) Lease {
	t, ok := snap.Targets[target]
	if !ok {
		return Lease{}
	}
	p := snap.Placements[t.Zone]
	holder := p.Holders[target]
	if e.Closed {
		return Lease{Holder: holder}
	}
	if holder == self && t.Zone == selfZone {
		if !moveEnded(p, e, self, target, now) {
			previous := p.Previous[target]
			if mayServeAsFallback(snap, e, self, t, previous, now) {
				return Lease{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
			}
			return Lease{Holder: previous}
		}
		if until := confirmedUntil(p, e, self); until.After(now) {
			return Lease{Kind: Confirmed, Until: until, Holder: self}
		}
		if isReportedWarm(e, self, t) {
			return Lease{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
		}
		return Lease{Holder: self}
	}
	if holder != "" && reachable(snap, self, holder) {
		return Lease{Holder: holder}
	}
	next := fallbackInstance(snap, self, selfZone, t.Zone, holder, target)
	if next == self && holder != "" && mayServeAsFallback(snap, e, self, t, holder, now) {
		return Lease{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
	}
	return Lease{Holder: next}
}

// mayServeAsFallback reports whether self may serve the target in place of an
// unreachable holder. It waits one LeaseTerm after its last grant to the holder,
// so that this grant no longer confirms the holder's lease.
func mayServeAsFallback(snap *state.Snapshot, e *Evidence, self string, t state.Target, holder string, now time.Time) bool {
	return holder != "" && holder != self && !reachable(snap, self, holder) &&
		!now.Before(e.Granted[holder].Add(LeaseTerm)) && isReportedWarm(e, holder, t)
}

// isReportedWarm reports whether the instance reported the current incarnation
// of the target warm at most warmReportAge before it was last heard.
func isReportedWarm(e *Evidence, instance string, t state.Target) bool {
	r := e.Reports[instance]
	l, ok := r.Loads[t.Name]
	return ok && l.Load.Phase == state.PhaseWarm && l.Load.Incarnation == t.Incarnation &&
		r.HeardAt.Sub(l.At) <= warmReportAge
}

// confirmedUntil returns the time until which the leases of the member self are
// confirmed, by the platform or by the other members, whichever is later. It is
// zero if neither confirms them.
func confirmedUntil(p state.Placement, e *Evidence, self string) time.Time {
	var until time.Time
	if !slices.Contains(p.Members, self) {
		return until
	}
	if e.Platform.Epoch == p.Epoch && !e.Platform.At.IsZero() {
		until = e.Platform.At.Add(LeaseTerm)
	}
	if grants := grantedUntil(p, e, self); grants.After(until) {
		until = grants
	}
	return until
}

// grantedUntil returns the time until which the grants of all other members
// last. It is zero if a grant is missing or there is no other member.
func grantedUntil(p state.Placement, e *Evidence, self string) time.Time {
	var until time.Time
	for _, m := range p.Members {
		if m == self {
			continue
		}
		g, ok := e.ReceivedGrants[m]
		if !ok || g.Epoch != p.Epoch {
			return time.Time{}
		}
		if end := g.At.Add(LeaseTerm); until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}

// moveEnded reports whether no previous holder of a target can still have a
// confirmed lease, because it released the target or because its lease has
// expired. It is true for targets that the placement did not move.
func moveEnded(p state.Placement, e *Evidence, self, target string, now time.Time) bool {
	const wait = LeaseTerm + MaxClockError
	previous, moved := p.Previous[target]
	if !moved || p.Epoch == 0 {
		return true
	}
	waited := e.Adopted.Epoch == p.Epoch && !now.Before(e.Adopted.At.Add(wait))
	if len(p.PreviousMembers) == 0 {
		// After a takeover no previous member reports when it adopted the
		// epoch, and only reads and grants from before the write can confirm
		// one. A release by the previous holder is not enough, because the
		// move to that holder may not have ended.
		return waited
	}
	if e.Released[target] == p.Epoch {
		return true
	}
	if e.Adopted.Epoch != p.Epoch {
		return false
	}
	others := without(p.PreviousMembers, previous)
	if len(others) == 0 {
		// Only the platform could confirm a single member, and it stopped when
		// this epoch was written.
		return waited
	}
	for _, m := range others {
		epochSeen := e.PeerEpochs[m]
		if m == self {
			epochSeen = e.Adopted
		}
		if epochSeen.Epoch >= p.Epoch && !now.Before(epochSeen.At.Add(wait)) {
			return true
		}
	}
	return false
}

// allMovesEnded reports whether every move of the placement has ended. The next
// placement may be written only then, because it names one previous holder per
// target, and a target that moved again earlier would have two.
func allMovesEnded(p state.Placement, e *Evidence, self string, now time.Time) bool {
	for t := range p.Previous {
		if !moveEnded(p, e, self, t, now) {
			return false
		}
	}
	return true
}

package placement

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// LeaseTerm is how long evidence for a right is good, from the send time
	// of the question.
	LeaseTerm = 1500 * time.Millisecond
	// MaxClockError bounds the difference between the clocks of two instances
	// over one LeaseTerm.
	MaxClockError = 100 * time.Millisecond
	// warmReportAge is how long before the end of its holder's life a target
	// must have been reported warm for another instance to serve it.
	warmReportAge = 5 * time.Second
)

// Kind says what an instance may send to a target.
type Kind int

// Kinds of rights.
const (
	None Kind = iota
	Provisional
	Confirmed
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"none", "provisional", "confirmed"}[k] }

// Right is the right of an instance to send to a target. Until is set unless
// Kind is None. Holder is the instance that the deciding one believes in.
type Right struct {
	Kind   Kind
	Until  time.Time
	Holder string
}

// Mark is an epoch with a time: the send time of a question that was answered
// with the epoch, or the time when an instance was first seen at it.
type Mark struct {
	Epoch int64
	At    time.Time
}

// LoadReport is what one instance last said of the targets that it holds.
type LoadReport struct {
	// HeardAt is when the instance last said anything.
	HeardAt time.Time
	Loads   map[string]ReportedLoad // by target
}

// ReportedLoad is a load with the time of its report.
type ReportedLoad struct {
	Load state.Load
	At   time.Time
}

// Evidence is what an instance knows about its leases. It is immutable. All
// times come from the local clock. Epochs are those of the local zone.
type Evidence struct {
	// Adopted is the local placement epoch and when the instance moved to it.
	Adopted Mark
	// Platform is the last read of the placement that the platform answered.
	// A zero At means that this process has read none.
	Platform Mark
	// Grants are the heartbeats that other members answered with a grant.
	Grants map[string]Mark
	// Seen are the epochs of the other instances of the zone.
	Seen map[string]Mark
	// Released are the targets that their previous holder reported released,
	// with the epoch of the placement that moved them.
	Released map[string]int64
	// Granted are the times when this instance last granted others anything.
	Granted map[string]time.Time
	// Reports are the loads that instances reported, the local one included.
	Reports map[string]LoadReport
	// Closed ends all rights, for the last instance of a zone that stops.
	Closed bool
}

// Decide returns the right of the instance self to send to a target at a time
// of its clock. It reads nothing but its arguments.
func Decide(snap *state.Snapshot, e *Evidence, self, selfZone, target string, now time.Time) Right {
	t, ok := snap.Targets[target]
	if !ok {
		return Right{}
	}
	p := snap.Placements[t.Zone]
	holder := p.Holders[target]
	if e.Closed {
		return Right{Holder: holder}
	}
	if holder == self && t.Zone == selfZone {
		if !mayStart(p, e, self, target, now) {
			previous := p.Previous[target]
			if mayStandIn(snap, e, self, t, previous, now) {
				return Right{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
			}
			return Right{Holder: previous}
		}
		if until := confirmedUntil(p, e, self); until.After(now) {
			return Right{Kind: Confirmed, Until: until, Holder: self}
		}
		if reportedWarm(e, self, t) {
			return Right{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
		}
		return Right{Holder: self}
	}
	if holder != "" && reachable(snap, self, holder) {
		return Right{Holder: holder}
	}
	next := standIn(snap, self, selfZone, t.Zone, holder, target)
	if next == self && holder != "" && mayStandIn(snap, e, self, t, holder, now) {
		return Right{Kind: Provisional, Until: now.Add(LeaseTerm), Holder: self}
	}
	return Right{Holder: next}
}

// mayStandIn reports whether self may serve the target in place of a holder
// that is unreachable and that is itself provisional by now.
func mayStandIn(snap *state.Snapshot, e *Evidence, self string, t state.Target, holder string, now time.Time) bool {
	return holder != "" && holder != self && !reachable(snap, self, holder) &&
		!now.Before(e.Granted[holder].Add(LeaseTerm)) && reportedWarm(e, holder, t)
}

// reportedWarm reports whether the instance reported the target warm, for the
// target's present incarnation, near the end of its own life.
func reportedWarm(e *Evidence, instance string, t state.Target) bool {
	r := e.Reports[instance]
	l, ok := r.Loads[t.Name]
	return ok && l.Load.Phase == state.PhaseWarm && l.Load.Incarnation == t.Incarnation &&
		r.HeardAt.Sub(l.At) <= warmReportAge
}

// confirmedUntil returns the end of the lease on the placement, which is the
// later of the platform's and the peers'. It is zero without evidence.
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

// grantedUntil returns the end of the lease that the other members grant. It
// is zero if one of them did not, or if there is none.
func grantedUntil(p state.Placement, e *Evidence, self string) time.Time {
	var until time.Time
	for _, m := range p.Members {
		if m == self {
			continue
		}
		g, ok := e.Grants[m]
		if !ok || g.Epoch != p.Epoch {
			return time.Time{}
		}
		if end := g.At.Add(LeaseTerm); until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}

// mayStart reports whether nobody else can be confirmed for a target that the
// placement moved, because its previous holder released it or because the
// previous holder's lease has run out.
func mayStart(p state.Placement, e *Evidence, self, target string, now time.Time) bool {
	const wait = LeaseTerm + MaxClockError
	previous, moved := p.Previous[target]
	if !moved || p.Epoch == 0 {
		return true
	}
	waited := e.Adopted.Epoch == p.Epoch && !now.Before(e.Adopted.At.Add(wait))
	if len(p.PreviousMembers) == 0 {
		// After a takeover, no previous member says when it moved, and only
		// reads and grants from before the write can confirm one of them. The
		// release by the previous holder is not enough, because the move to
		// that holder may not have ended.
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
		// A single member was confirmed by the platform only, which this
		// epoch ended when it was written.
		return waited
	}
	for _, m := range others {
		moved := e.Seen[m]
		if m == self {
			moved = e.Adopted
		}
		if moved.Epoch >= p.Epoch && !now.Before(moved.At.Add(wait)) {
			return true
		}
	}
	return false
}

// settled reports whether every move of the placement has ended, so that the
// next epoch need not carry it. A target whose holders changed twice would
// otherwise have two previous holders.
func settled(p state.Placement, e *Evidence, self string, now time.Time) bool {
	for t := range p.Previous {
		if !mayStart(p, e, self, t, now) {
			return false
		}
	}
	return true
}

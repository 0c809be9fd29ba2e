package placement

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against a holder that keeps using a confirmed lease which has expired
// during a pause of the process, or which lacks the grant of one member.
func TestPausedHolderIsNotConfirmed(t *testing.T) {
	store := state.NewStore()
	p := state.Placement{Zone: "z", Epoch: 5, Members: []string{"a", "b", "c"}, Holders: map[string]string{"t": "a"}}
	store.Update(func(s *state.Snapshot) {
		s.Targets = map[string]state.Target{"t": {Name: "t", Zone: "z", Incarnation: "i"}}
		s.Placements = map[string]state.Placement{"z": p}
	})
	r, now := NewLeases("a", "z", store), time.Unix(1000, 0)
	expect := func(situation string, at time.Time, want LeaseKind) {
		t.Helper()
		if got := r.Lease("t", at); got.Kind != want {
			t.Errorf("%s: %v, want %v", situation, got.Kind, want)
		}
	}
	r.ObserveAdoptedEpoch(5, now)
	r.ObserveAnswer("b", 5, true, now)
	expect("one grant of two", now, NoLease)
	r.ObserveAnswer("c", 4, true, now)
	expect("a grant of another epoch", now, NoLease)
	r.ObserveAnswer("c", 5, true, now)
	expect("all grants", now, Confirmed)
	expect("after a pause", now.Add(LeaseTerm), NoLease)
	r.ObserveLoads("a", []state.Load{{Target: "t", Phase: state.PhaseWarm, Incarnation: "i"}}, now)
	expect("after a pause, warm", now.Add(3*time.Second), Provisional)
	r.ObservePlatform(5, now.Add(3*time.Second))
	expect("after a read", now.Add(3*time.Second), Confirmed)
	expect("after another pause", now.Add(3*time.Second+LeaseTerm), Provisional)
	r.ObservePlatform(6, now.Add(5*time.Second))
	expect("after a read of a later epoch", now.Add(5*time.Second), Provisional)
}

// Guards against a restarted member that has forgotten its epoch and grants at an
// earlier one, which would confirm the lease of the previous holder again.
func TestRestartedMemberGrantsAfterRead(t *testing.T) {
	store := state.NewStore()
	store.Update(func(s *state.Snapshot) {
		s.Placements = map[string]state.Placement{"z": {Zone: "z", Epoch: 5, Members: []string{"a", "b"}}}
	})
	r, now := NewLeases("a", "z", store), time.Unix(1000, 0)
	if r.Grant("b", 5, now) {
		t.Error("granted without a platform read")
	}
	r.ObservePlatform(6, now)
	if r.Grant("b", 5, now) {
		t.Error("granted at an earlier epoch than the platform has")
	}
	r = NewLeases("a", "z", store)
	r.ObservePlatform(5, now)
	if !r.Grant("b", 5, now) || r.Grant("b", 4, now) || r.Grant("c", 5, now) {
		t.Error("grants must go to members at the local epoch, and only to them")
	}
	store.Update(func(s *state.Snapshot) {
		s.Placements = map[string]state.Placement{"z": {Zone: "z", Epoch: 6, Members: []string{"a", "b"}}}
	})
	if r.Grant("b", 5, now) {
		t.Error("granted at an epoch that this instance left")
	}
}

// Guards against a new holder that starts too early because it counts the wait
// from its adoption of an earlier epoch instead of the one that moved the target.
func TestNewHolderWaitsFromTheMove(t *testing.T) {
	store := state.NewStore()
	store.Update(func(s *state.Snapshot) {
		s.Targets = map[string]state.Target{"t": {Name: "t", Zone: "z"}}
		s.Placements = map[string]state.Placement{"z": {
			Zone: "z", Epoch: 5, Members: []string{"a", "b"}, Holders: map[string]string{"t": "a"},
			Previous: map[string]string{"t": "b"}, PreviousMembers: []string{"b"},
		}}
	})
	r, now := NewLeases("a", "z", store), time.Unix(1000, 0)
	kindAfter := func(after time.Duration) LeaseKind {
		r.ObservePlatform(5, now.Add(after))
		return r.Lease("t", now.Add(after)).Kind
	}
	r.ObserveAdoptedEpoch(4, now.Add(-time.Minute))
	if kindAfter(0) != NoLease {
		t.Error("the lease started before the instance adopted the epoch of the move")
	}
	r.ObserveAdoptedEpoch(5, now)
	if kindAfter(LeaseTerm) != NoLease || kindAfter(LeaseTerm+MaxClockError) != Confirmed {
		t.Error("the wait must be LeaseTerm plus MaxClockError from the adoption of the move")
	}
}

// Guards against an instance that removes the other members because its own link
// failed, or that takes over the placement although it reaches no member.
func TestMinorityWaits(t *testing.T) {
	p := state.Placement{Zone: "z", Epoch: 5, Members: []string{"a", "b", "c"}}
	snap := &state.Snapshot{Instances: map[string]state.Instance{}}
	membersAfter := func(self string, after time.Duration) int {
		pl, start := newPlanner(self, "z"), time.Unix(1000, 0)
		for at := time.Duration(0); at <= after; at += reconcileInterval {
			pl.observeLiveness(snap, p, true, start.Add(at))
		}
		members, _ := pl.members(p, start.Add(after))
		return len(members)
	}
	if got := membersAfter("a", 5*time.Second); got != 3 {
		t.Errorf("a minority left %d members after 5 s", got)
	}
	if got := membersAfter("a", 7*time.Second); got != 1 {
		t.Errorf("the last live member has %d members after 7 s", got)
	}
	if got := membersAfter("d", time.Minute); got != 3 {
		t.Errorf("an instance that reaches no member decided on %d members", got)
	}
	snap.Instances["b"] = state.Instance{Name: "b", Zone: "z", Liveness: state.Alive}
	if got := membersAfter("a", 2*time.Second); got != 2 {
		t.Errorf("the majority has %d members after 2 s", got)
	}
}

// Guards against a premature takeover because orphanDelay did not start anew after
// a pause of the process, a platform outage, a new epoch, an answer of a member, or
// the sight of an instance that is still at the previous epoch.
func TestOrphanDelayRestarts(t *testing.T) {
	p := state.Placement{Zone: "z", Epoch: 5, Members: []string{"a", "b"}, PreviousMembers: []string{"a", "x"}}
	e := &Evidence{PeerEpochs: map[string]EpochTime{"x": {Epoch: 4}}}
	snap, pl, now := &state.Snapshot{Instances: map[string]state.Instance{}}, newPlanner("d", "z"), time.Unix(1000, 0)
	observe := func(answeredAt time.Time) {
		e.Platform = EpochTime{p.Epoch, answeredAt}
		pl.observeLiveness(snap, p, true, now)
		pl.observeEvidence(p, e, now)
	}
	expect := func(situation string, after time.Duration, want bool) {
		t.Helper()
		for end := now.Add(after); now.Before(end); {
			now = now.Add(reconcileInterval)
			observe(now)
		}
		if _, reason := pl.members(p, now); (reason == reasonOrphaned) != want {
			t.Errorf("%s: taken over: %v after %v", situation, !want, after)
		}
	}
	alive := func(name string) func() {
		return func() {
			snap.Instances[name] = state.Instance{Name: name, Zone: "z", Liveness: state.Alive}
			observe(now)
			delete(snap.Instances, name)
		}
	}
	observe(now)
	for situation, disturb := range map[string]func(){
		"pause":              func() { now = now.Add(time.Minute) },
		"outage":             func() { observe(now.Add(-orphanReadAge - time.Second)) },
		"epoch":              func() { p.Epoch++ },
		"member answered":    alive("b"),
		"instance is behind": alive("x"),
	} {
		expect(situation, orphanDelay+reconcileInterval, true)
		disturb()
		expect(situation, orphanDelay-time.Second, false)
	}
	e.PeerEpochs["x"] = EpochTime{Epoch: p.Epoch}
	expect("undisturbed", 2*time.Second, true)
	alive("x")()
	expect("instance is at the epoch", reconcileInterval, true)
}

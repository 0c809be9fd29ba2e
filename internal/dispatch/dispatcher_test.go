package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeLeases struct{ lease placement.Lease }

func (f *fakeLeases) Lease(string, time.Time) placement.Lease { return f.lease }

// fakePool calls admit before and after waitForSlot, as the real pool does around
// the wait for a slot.
type fakePool struct {
	load        state.Load
	waitForSlot func()
	sent        []target.Request
	limit       int
	released    []string
	reconciled  int
}

func (f *fakePool) Do(_ context.Context, _ state.Target, _ declare.Service, request target.Request, admit target.Admit) outcome.Result {
	if _, _, r := admit(); r != outcome.ReasonNone {
		return outcome.Refused(r)
	}
	if f.waitForSlot != nil {
		f.waitForSlot()
	}
	_, limit, r := admit()
	if r != outcome.ReasonNone {
		return outcome.Refused(r)
	}
	f.limit = limit
	f.sent = append(f.sent, request)
	return outcome.Result{Code: outcome.Answered, Body: []byte("{}")}
}

func (f *fakePool) LoadOf(string) (state.Load, bool) { return f.load, f.load.Phase != "" }
func (f *fakePool) Loads() []state.Load              { return []state.Load{f.load} }
func (f *fakePool) AdoptLoad(l state.Load)           { f.load = l }
func (f *fakePool) Reconcile(*state.Snapshot)        { f.reconciled++ }
func (f *fakePool) Release(name string) state.Load {
	f.released = append(f.released, name)
	return state.Load{}
}

// fakeFreshness reports the state as stale until Ensure, which then calls confirm.
type fakeFreshness struct {
	needsRefresh bool
	confirm      func()
}

func (f *fakeFreshness) NeedsRefresh() bool { return f.needsRefresh }
func (f *fakeFreshness) Ensure(context.Context) bool {
	if f.needsRefresh {
		f.confirm()
		f.needsRefresh = false
	}
	return false
}

type harness struct {
	fresh      *fakeFreshness
	store      *state.Store
	leases     *fakeLeases
	pool       *fakePool
	dispatcher *Dispatcher
	req        *peerpb.ExecuteRequest
}

func newHarness() *harness {
	r := &harness{fresh: &fakeFreshness{}, store: state.NewStore(), pool: &fakePool{},
		leases: &fakeLeases{placement.Lease{Kind: placement.Confirmed, Until: time.Now().Add(time.Second)}}}
	r.store.Update(func(n *state.Snapshot) {
		n.Config = declare.Document{Zones: []declare.Zone{{Name: "z"}}, Services: []declare.Service{{Name: "s", Slots: 4, BearsCold: 1}}}
		n.Targets = map[string]state.Target{"t": {Name: "t", Service: "s", Zone: "z", Address: "10.0.0.1:1", Incarnation: "i1"}}
		n.Placements = map[string]state.Placement{"z": {Holders: map[string]string{"t": "me"}}}
	})
	r.dispatcher = NewDispatcher(nil, nil, "me", r.store, r.fresh, r.leases, r.pool)
	r.req = &peerpb.ExecuteRequest{RequestId: "r", AttemptId: "a", Service: "s", Target: "t", Operation: "search",
		Snapshot: "s1", Shard: "h1", DeadlineUnixMs: time.Now().Add(500 * time.Millisecond).UnixMilli(), Idempotent: true}
	return r
}

func (r *harness) update(change func(n *state.Snapshot)) func() {
	return func() { r.store.Update(change) }
}

// causes returns changes that make the dispatcher refuse the request. The first
// word of each name is the expected reason.
func (r *harness) causes() map[string]func() {
	return map[string]func(){
		"zone-out": r.update(func(n *state.Snapshot) { n.Config.Zones = []declare.Zone{{Name: "z", Out: true}} }),
		"leaving": r.update(func(n *state.Snapshot) {
			t := n.Targets["t"]
			t.Leaving = true
			n.Targets = map[string]state.Target{"t": t}
		}),
		"leaving by configuration": r.update(func(n *state.Snapshot) { n.Config.RetiredTargets = []string{"t"} }),
		"no-replica":               r.update(func(n *state.Snapshot) { n.Targets = map[string]state.Target{} }),
		"no-right":                 func() { r.leases.lease.Kind, r.leases.lease.Holder = placement.NoLease, "other" },
		"no-right any more":        func() { r.leases.lease.Until, r.leases.lease.Holder = time.Now(), "other" },
		"expired":                  func() { time.Sleep(500 * time.Millisecond) },
		"malformed operation":      func() { r.req.Operation = "../health" },
		"malformed deadline":       func() { r.req.DeadlineUnixMs = 0 },
		"malformed attempt":        func() { r.req.AttemptId = "" },
	}
}

// Guards against a request that is sent to a target although this is not allowed
// when the request arrives, or no longer allowed once it has waited for a slot.
func TestRefusals(t *testing.T) {
	for name := range newHarness().causes() {
		want, _, _ := strings.Cut(name, " ")
		for _, waiting := range []bool{false, want != "malformed"} {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness()
				if cause := r.causes()[name]; waiting {
					r.pool.waitForSlot = cause
				} else {
					cause()
				}
				reply := r.dispatcher.Execute(context.Background(), r.req)
				if (reply.Outcome == string(outcome.Invalid)) != (want == "malformed") || reply.Reason != want || len(r.pool.sent) != 0 {
					t.Errorf("%s, waiting %v: %s %s, %d sent", name, waiting, reply.Outcome, reply.Reason, len(r.pool.sent))
				}
				if (reply.Holder == "other") != (want == "no-right") {
					t.Errorf("%s: holder %q", name, reply.Holder)
				}
			})
		}
	}
}

// Guards against a process that resumes after a pause and sends a request by the
// state from before the pause, which may have come before the request or while
// the request waited for a slot.
func TestStaleStateIsConfirmedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		pause := func() { r.fresh.needsRefresh, r.fresh.confirm = true, r.causes()["zone-out"] }
		r.pool.waitForSlot = pause
		if reply := r.dispatcher.Execute(context.Background(), r.req); reply.Reason != "no-right" || len(r.pool.sent) != 0 {
			t.Errorf("paused while waiting: %s, %d sent", reply.Reason, len(r.pool.sent))
		}
		pause()
		if reply := r.dispatcher.Execute(context.Background(), r.req); reply.Reason != "zone-out" || len(r.pool.sent) != 0 {
			t.Errorf("paused before: %s, %d sent", reply.Reason, len(r.pool.sent))
		}
	})
}

// Guards against a holder with a provisional lease that sends to a target which is
// not known to be warm, or that uses more than half of its slots.
func TestProvisional(t *testing.T) {
	cases := map[string]struct {
		reported, own, later state.Phase // later is the own phase when the slot is free
		incarnation          string
		slots, limit         int
	}{
		"reported warm":     {reported: state.PhaseWarm, incarnation: "i1", slots: 4, limit: 2},
		"one slot":          {reported: state.PhaseWarm, incarnation: "i1", slots: 1, limit: 1},
		"unknown":           {slots: 4},
		"reported cold":     {reported: state.PhaseCold, incarnation: "i1", slots: 4},
		"other incarnation": {reported: state.PhaseWarm, incarnation: "i0", slots: 4},
		"own state warming": {own: state.PhaseWarming, slots: 4},
		"turned cold":       {reported: state.PhaseWarm, later: state.PhaseCold, incarnation: "i1", slots: 4},
	}
	for name, c := range cases {
		r := newHarness()
		r.leases.lease.Kind = placement.Provisional
		r.store.Update(func(n *state.Snapshot) { n.Config.Services = []declare.Service{{Name: "s", Slots: c.slots}} })
		if c.reported != "" {
			r.update(func(n *state.Snapshot) {
				n.Loads = map[string]state.Load{"t": {Phase: c.reported, Incarnation: c.incarnation}}
			})()
		}
		r.pool.load.Phase = c.own
		if c.later != "" {
			r.pool.waitForSlot = func() { r.pool.load = state.Load{Phase: c.later} }
		}
		reply := r.dispatcher.Execute(context.Background(), r.req)
		if c.limit == 0 && (reply.Reason != string(outcome.ReasonNoLease) || len(r.pool.sent) != 0) {
			t.Errorf("%s: %s %s", name, reply.Outcome, reply.Reason)
		}
		if c.limit > 0 && (reply.Outcome != string(outcome.Answered) || r.pool.limit != c.limit || reply.Load == nil) {
			t.Errorf("%s: %s %s, limit %d, load %v", name, reply.Outcome, reply.Reason, r.pool.limit, reply.Load)
		}
	}
}

// Guards against a pool that keeps the old state of a target after it moved to
// another holder, and against the release of a target for which this instance has
// a provisional lease or whose state the placement controller has yet to hand
// over.
func TestRunReleasesMovedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		r.pool.load = state.Load{Target: "t", Phase: state.PhaseWarm}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- r.dispatcher.Run(ctx) }()
		synctest.Wait()
		move := func(previous map[string]string) {
			r.store.Update(func(n *state.Snapshot) {
				n.Placements = map[string]state.Placement{"z": {Holders: map[string]string{"t": "other"}, Previous: previous}}
			})
			synctest.Wait()
		}
		r.leases.lease.Kind = placement.Provisional
		move(nil)
		if len(r.pool.released) != 0 {
			t.Error("released with a provisional lease")
		}
		r.leases.lease.Kind = placement.NoLease
		move(map[string]string{"t": r.dispatcher.self})
		if len(r.pool.released) != 0 {
			t.Error("released before the handover")
		}
		move(nil)
		if len(r.pool.released) != 1 || r.pool.reconciled != 4 {
			t.Errorf("released %v, %d passes", r.pool.released, r.pool.reconciled)
		}
		cancel()
		<-done
	})
}

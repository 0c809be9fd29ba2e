package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeRights struct{ right Right }

func (f *fakeRights) Right(string, time.Time) Right { return f.right }

// fakePool calls admit after wait, as the real one does under the slot.
type fakePool struct {
	load     *state.Load
	wait     func()
	sent     []target.Work
	limit    int
	released []string
	adopted  []state.Load
	passes   int
}

func (f *fakePool) Do(_ context.Context, _ state.Target, _ declare.Service, w target.Work, admit target.Admit) outcome.Result {
	if _, _, r := admit(); r != outcome.ReasonNone {
		return outcome.Refused(r)
	}
	if f.wait != nil {
		f.wait()
	}
	_, limit, r := admit()
	if r != outcome.ReasonNone {
		return outcome.Refused(r)
	}
	f.limit = limit
	f.sent = append(f.sent, w)
	return outcome.Result{Code: outcome.Answered, Body: []byte("{}")}
}

func (f *fakePool) Load(string) (state.Load, bool) {
	if f.load == nil {
		return state.Load{}, false
	}
	return *f.load, true
}
func (f *fakePool) Loads() []state.Load {
	if f.load == nil {
		return nil
	}
	return []state.Load{*f.load}
}
func (f *fakePool) Adopt(l state.Load) { f.adopted = append(f.adopted, l); f.load = &l }
func (f *fakePool) Release(name string) state.Load {
	f.released = append(f.released, name)
	return state.Load{}
}
func (f *fakePool) Reconcile(*state.Snapshot) { f.passes++ }

type rig struct {
	store  *state.Store
	rights *fakeRights
	pool   *fakePool
	d      *Dispatcher
	req    *peerpb.ExecuteRequest
}

func newRig() *rig {
	r := &rig{store: state.NewStore(), pool: &fakePool{},
		rights: &fakeRights{Right{Kind: RightConfirmed, Until: time.Now().Add(time.Second)}}}
	r.store.Update(func(n *state.Snapshot) {
		n.Config = declare.Document{Zones: []declare.Zone{{Name: "z"}}, Services: []declare.Service{{Name: "s", Slots: 4, BearsCold: 1}}}
		n.Targets = map[string]state.Target{"t": {Name: "t", Service: "s", Zone: "z", Address: "10.0.0.1:1", Incarnation: "i1"}}
		n.Placements = map[string]state.Placement{"z": {Holders: map[string]string{"t": "me"}}}
	})
	r.d = NewDispatcher(nil, nil, "me", r.store, r.rights, r.pool)
	r.req = &peerpb.ExecuteRequest{RequestId: "r", AttemptId: "a", Service: "s", Target: "t", Operation: "search",
		Snapshot: "s1", Shard: "h1", DeadlineUnixMs: time.Now().Add(500 * time.Millisecond).UnixMilli(), Idempotent: true}
	return r
}

func (r *rig) target(change func(t *state.Target)) {
	r.store.Update(func(n *state.Snapshot) {
		t := n.Targets["t"]
		change(&t)
		n.Targets = map[string]state.Target{"t": t}
	})
}

var changes = map[string]struct {
	want outcome.Reason
	act  func(r *rig)
}{
	"zone out": {outcome.ReasonZoneOut, func(r *rig) {
		r.store.Update(func(n *state.Snapshot) { n.Config.Zones = []declare.Zone{{Name: "z", Out: true}} })
	}},
	"listed as leaving": {outcome.ReasonLeaving, func(r *rig) { r.target(func(t *state.Target) { t.Leaving = true }) }},
	"retired by the configuration": {outcome.ReasonLeaving, func(r *rig) {
		r.store.Update(func(n *state.Snapshot) { n.Config.RetiredTargets = []string{"t"} })
	}},
	"target gone": {outcome.ReasonNoReplica, func(r *rig) {
		r.store.Update(func(n *state.Snapshot) { n.Targets = map[string]state.Target{} })
	}},
	"right lost":  {outcome.ReasonNoRight, func(r *rig) { r.rights.right = Right{Kind: RightNone, Holder: "other"} }},
	"right ended": {outcome.ReasonNoRight, func(r *rig) { r.rights.right.Until, r.rights.right.Holder = time.Now(), "other" }},
	"expired":     {outcome.ReasonExpired, func(r *rig) { time.Sleep(500 * time.Millisecond) }},
}

// Guards against a send whose permission ended before the request came or while
// it waited for a slot.
func TestRefusals(t *testing.T) {
	for name, c := range changes {
		for _, waiting := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRig()
				if waiting {
					r.pool.wait = func() { c.act(r) }
				} else {
					c.act(r)
				}
				reply := r.d.Execute(context.Background(), r.req)
				if reply.Outcome != string(outcome.NotRun) || reply.Reason != string(c.want) || len(r.pool.sent) != 0 {
					t.Errorf("%s, waiting %v: %s %s, %d sent", name, waiting, reply.Outcome, reply.Reason, len(r.pool.sent))
				}
				if (reply.Holder == "other") != (c.want == outcome.ReasonNoRight) {
					t.Errorf("%s: holder %q", name, reply.Holder)
				}
			})
		}
	}
}

// Guards against a provisional holder that sends to a target which is not known
// to be warm, or uses more than half its slots.
func TestProvisional(t *testing.T) {
	reported := func(p state.Phase, incarnation string) func(r *rig) {
		return func(r *rig) {
			r.store.Update(func(n *state.Snapshot) {
				n.Loads = map[string]state.Load{"t": {Target: "t", Phase: p, Limit: 4, Incarnation: incarnation}}
			})
		}
	}
	cases := map[string]struct {
		prepare func(r *rig)
		slots   int
		limit   int
	}{
		"reported warm":     {reported(state.PhaseWarm, "i1"), 4, 2},
		"one slot":          {reported(state.PhaseWarm, "i1"), 1, 1},
		"unknown":           {func(*rig) {}, 4, 0},
		"reported cold":     {reported(state.PhaseCold, "i1"), 4, 0},
		"other incarnation": {reported(state.PhaseWarm, "i0"), 4, 0},
		"own state warming": {func(r *rig) { r.pool.load = &state.Load{Phase: state.PhaseWarming} }, 4, 0},
		"turned cold since it was adopted": {func(r *rig) {
			reported(state.PhaseWarm, "i1")(r)
			r.pool.wait = func() { r.pool.load = &state.Load{Phase: state.PhaseCold} }
		}, 4, 0},
	}
	for name, c := range cases {
		r := newRig()
		r.rights.right.Kind = RightProvisional
		r.store.Update(func(n *state.Snapshot) { n.Config.Services = []declare.Service{{Name: "s", Slots: c.slots}} })
		c.prepare(r)
		reply := r.d.Execute(context.Background(), r.req)
		if c.limit == 0 && (reply.Reason != string(outcome.ReasonNoRight) || len(r.pool.sent) != 0) {
			t.Errorf("%s: %s %s", name, reply.Outcome, reply.Reason)
		}
		if c.limit > 0 && (reply.Outcome != string(outcome.Answered) || r.pool.limit != c.limit || reply.Load == nil) {
			t.Errorf("%s: %s %s, limit %d, load %v", name, reply.Outcome, reply.Reason, r.pool.limit, reply.Load)
		}
	}
}

// Guards against a malformed sub-request reaching a target.
func TestMalformed(t *testing.T) {
	for name, spoil := range map[string]func(q *peerpb.ExecuteRequest){
		"operation": func(q *peerpb.ExecuteRequest) { q.Operation = "../health" },
		"deadline":  func(q *peerpb.ExecuteRequest) { q.DeadlineUnixMs = 0 },
		"attempt":   func(q *peerpb.ExecuteRequest) { q.AttemptId = "" },
	} {
		r := newRig()
		spoil(r.req)
		if reply := r.d.Execute(context.Background(), r.req); reply.Outcome != string(outcome.Invalid) || len(r.pool.sent) != 0 {
			t.Errorf("%s: %s", name, reply.Outcome)
		}
	}
}

// Guards against a target that moved to another holder and keeps its old state
// here, and against releasing one that this instance serves provisionally.
func TestRunReleasesMovedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.pool.load = &state.Load{Target: "t", Phase: state.PhaseWarm}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- r.d.Run(ctx) }()
		synctest.Wait()
		move := func() {
			r.store.Update(func(n *state.Snapshot) {
				n.Placements = map[string]state.Placement{"z": {Holders: map[string]string{"t": "other"}}}
			})
			synctest.Wait()
		}
		r.rights.right.Kind = RightProvisional
		move()
		if len(r.pool.released) != 0 {
			t.Error("released with a provisional right")
		}
		r.rights.right.Kind = RightNone
		move()
		if len(r.pool.released) != 1 || r.pool.passes != 3 {
			t.Errorf("released %v, %d passes", r.pool.released, r.pool.passes)
		}
		cancel()
		<-done
	})
}

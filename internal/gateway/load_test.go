package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against operations and complete searches being refused while browse
// searches are still admitted, and against sub-requests of a refused request.
func TestAdmissionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeExecutor{do: scriptedExecutor("* ok 500ms")}
		store := newTestStore(1, declare.ClassPartial)
		store.Update(func(next *state.Snapshot) {
			next.Config.Searches = []declare.Search{
				{Name: "browse", Class: declare.ClassPartial, Priority: declare.PriorityBrowse},
				{Name: "normal", Class: declare.ClassPartial},
				{Name: "complete", Class: declare.ClassComplete, Priority: declare.PriorityBrowse},
			}
			m := next.ShardMaps["archive"]
			next.ShardMaps = map[string]state.ShardMap{"browse": m, "normal": m, "complete": m}
		})
		g := newGateway(store, f, Options{MaxInFlight: 20, Policy: Policy{Hedging: HedgeOff}})
		var admitted [3]atomic.Int64
		for i, name := range []string{"browse", "normal", "complete"} {
			for j := range 30 {
				go func() {
					req := request(100*i + j)
					req.Search = name
					if g.Search(t.Context(), req).Result.Reason != outcome.ReasonOverload {
						admitted[i].Add(1)
					}
				}()
			}
			synctest.Wait()
		}
		if r := g.ExecuteOnce(t.Context(), "r", declare.Operation{Services: []string{"s0"}}, nil, time.Now().Add(time.Second)); r.Reason != outcome.ReasonOverload || r.Code != outcome.NotRun {
			t.Errorf("an operation above the bound ended with %+v", r)
		}
		time.Sleep(time.Second)
		got := fmt.Sprint(admitted[0].Load(), admitted[1].Load(), admitted[2].Load(), len(f.sent))
		if got != "14 3 3 20" {
			t.Fatalf("admitted browse, normal, complete and sent: %s", got)
		}
	})
}

// Guards against hedges that are sent too early or too late, under overload, to a
// backlogged target, to a target that started to leave after the plan or without
// a token, and against slower attempts that run on after the shard is answered.
func TestHedge(t *testing.T) {
	for name, c := range map[string]struct {
		policy Policy
		change func(g *Gateway, store *state.Store)
		hedged bool
		until  time.Duration
	}{
		"quantile":       {Policy{}, nil, true, 6 * time.Millisecond},
		"fixed":          {Policy{Hedging: HedgeFixed, FixedDelay: 40 * time.Millisecond}, nil, true, 42 * time.Millisecond},
		"off":            {Policy{Hedging: HedgeOff}, nil, false, 0},
		"under overload": {Policy{}, func(g *Gateway, _ *state.Store) { g.budget.RecordOverload(time.Now().Add(500 * time.Millisecond)) }, false, 0},
		"queue": {Policy{}, func(_ *Gateway, s *state.Store) {
			setLoad(s, state.Load{Target: "s0-b", Phase: state.PhaseWarm, Limit: 2, Queued: 3})
		}, false, 0},
		"tokens": {Policy{}, func(g *Gateway, _ *state.Store) { g.budget.milliTokens.Store(0) }, false, 0},
		"leaving since the plan": {Policy{}, func(_ *Gateway, s *state.Store) {
			time.AfterFunc(time.Millisecond, func() {
				s.Update(func(next *state.Snapshot) { next.Config.RetiredTargets = []string{"s0-b"} })
			})
		}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The other shard keeps the query running, so that it is not the end
				// of the query that cancels the slower attempt.
				var ended, sent atomic.Int64
				start := time.Now()
				f := &fakeExecutor{}
				f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
					if req.Shard == "p1" {
						return completeReply(req), waitOrDone(ctx, 200*time.Millisecond)
					}
					sent.Add(1)
					if req.Target == "s0-b" {
						return completeReply(req), waitOrDone(ctx, time.Millisecond)
					}
					err := waitOrDone(ctx, 800*time.Millisecond)
					ended.Store(int64(time.Since(start)))
					return completeReply(req), err
				}
				store := newTestStore(2, declare.ClassPartial)
				g := newGateway(store, f, Options{Policy: c.policy})
				g.budget.milliTokens.Store(maxMilliTokens)
				for i := range 400 { // the quantile is 4 ms
					g.stats.service("s0").Record(time.Now(), time.Duration(1+i/125)*time.Millisecond)
				}
				if c.change != nil {
					c.change(g, store)
				}
				r := g.Search(t.Context(), request(1))
				synctest.Wait()
				if r.Result.Code != outcome.Answered || r.Coverage.Answered != 2 || (sent.Load() == 2) != c.hedged {
					t.Fatalf("%+v, %d sent", r, sent.Load())
				}
				if d := time.Duration(ended.Load()); c.hedged && (d < c.until-2*time.Millisecond || d > c.until) {
					t.Fatalf("the slower attempt ended after %v", d)
				}
			})
		})
	}
}

// Guards against an answer with items from a late reply, of the slower attempt of
// a shard or from an earlier index snapshot. Such replies arrive because the
// executor of this test ignores the cancellation.
func TestLateRepliesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeExecutor{}
		f.do = func(_ context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
			if req.Snapshot == "v2" && req.Shard == "p1" {
				return notRun(req, outcome.ReasonSnapshotGone), nil
			}
			if req.Shard == "p1" {
				time.Sleep(400 * time.Millisecond) // keeps the query running
			} else if req.Snapshot == "v2" || req.Target == "s0-a" {
				time.Sleep(300 * time.Millisecond) // longer than the delay of a hedge
			}
			return completeReply(req, req.Snapshot+"."+req.Target), nil
		}
		g := newGateway(newTestStore(2, declare.ClassComplete), f, Options{})
		g.budget.milliTokens.Store(maxMilliTokens)
		r := g.Search(t.Context(), request(1))
		if got := fmt.Sprintf("%s %s", r.Snapshot, r.Items); got != `v1 ["v1.s0-b" "v1.s1-a"]` {
			t.Fatal(got)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a shard that fails, or an operation that is refused, because the
// planned holder is not reached while another instance already holds the target.
func TestMovedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(1, declare.ClassPartial)
		f := &fakeExecutor{}
		f.do = func(_ context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
			store.Update(func(next *state.Snapshot) { next.Placements = map[string]state.Placement{"z1": {}} })
			if instance == "gone" {
				return nil, errNotSent
			}
			if !req.Idempotent {
				return makeReply("ran", req)
			}
			return completeReply(req), nil
		}
		g := newGateway(store, f, Options{})
		g.route = func(snap *state.Snapshot, _ string) string {
			if len(snap.Placements) > 0 {
				return "next"
			}
			return "gone"
		}
		r := g.Search(t.Context(), request(1))
		store.Update(func(next *state.Snapshot) { next.Placements = nil })
		one := g.ExecuteOnce(t.Context(), "r2", declare.Operation{Services: []string{"s0"}}, nil, time.Now().Add(time.Second))
		if r.Coverage.Answered != 1 || one.Code != outcome.Answered || len(f.sent) != 4 {
			t.Fatalf("%+v, %+v, %d sent", r, one, len(f.sent))
		}
		for i := 0; i < 4; i += 2 {
			if f.sent[i].Target != f.sent[i+1].Target {
				t.Errorf("sent to %s after %s", f.sent[i+1].Target, f.sent[i].Target)
			}
		}
	})
}

// Guards against a request that is refused because all its targets are between
// two holders for a moment, and against a partial search that waits long for
// their new holders.
func TestWaitsWhileHoldersMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			class    declare.Class
			moving   time.Duration
			answered bool
		}{
			{declare.ClassComplete, 700 * time.Millisecond, true}, // the deadline is 1 s
			{declare.ClassPartial, 100 * time.Millisecond, true},
			{declare.ClassPartial, time.Second, false},
		} {
			start := time.Now()
			f := &fakeExecutor{}
			f.do = func(_ context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				if time.Since(start) < tc.moving {
					return &peerpb.ExecuteReply{AttemptId: req.AttemptId, Outcome: string(outcome.NotRun), Reason: string(outcome.ReasonNoLease)}, nil
				}
				if !req.Idempotent {
					return makeReply("ran", req)
				}
				return completeReply(req), nil
			}
			g := newGateway(newTestStore(1, tc.class), f, Options{})
			r := g.Search(t.Context(), request(1))
			if (r.Result.Code == outcome.Answered) != tc.answered {
				t.Errorf("%s, moving for %s: %+v", tc.class, tc.moving, r.Result)
			}
			if !tc.answered && time.Since(start) > 200*time.Millisecond {
				t.Errorf("partial search waited %s", time.Since(start))
			}
			one := g.ExecuteOnce(t.Context(), "r2", declare.Operation{Services: []string{"s0"}}, nil, time.Now().Add(3*time.Second))
			if one.Code != outcome.Answered {
				t.Errorf("operation: %+v", one)
			}
		}
	})
}

// Guards against a quantile from too few or outdated samples, and against one
// with an error of more than one bucket.
func TestLatencyQuantile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Latency{}
		for i := range minSamples - 1 {
			l.Record(time.Now(), time.Duration(i)*time.Millisecond)
		}
		if _, ok := l.Quantile(time.Now()); ok {
			t.Fatal("quantile from too few samples")
		}
		for i := range 1000 {
			l.Record(time.Now(), time.Duration(i)*100*time.Microsecond)
		}
		time.Sleep(quantileCacheTime)
		if p, ok := l.Quantile(time.Now()); !ok || p < 96*time.Millisecond || p > 110*time.Millisecond {
			t.Fatalf("quantile %v, %v", p, ok)
		}
		time.Sleep(windowCount * windowLength)
		if p, ok := l.Quantile(time.Now()); ok {
			t.Fatalf("quantile %v from outdated samples", p)
		}
	})
}

// staleUntilEnsured is a Freshness that takes zone z1 out during Ensure.
type staleUntilEnsured struct{ store *state.Store }

func (f staleUntilEnsured) Ensure(context.Context) bool {
	f.store.Update(func(next *state.Snapshot) { next.Config.Zones = []declare.Zone{{Name: "z1", Out: true}} })
	return false
}

// Guards against requests that use the state from before the freshness gate, and
// against naive retries being bound by the retry budget.
func TestFreshStateAndNaiveRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeExecutor{do: scriptedExecutor("* broken")}
		store := newTestStore(1, declare.ClassPartial)
		g := newGateway(store, f, Options{Policy: Policy{Retries: RetryNaive}})
		g.Search(t.Context(), request(1))
		if len(f.sent) != 2 {
			t.Fatalf("naive retries: %d sent", len(f.sent))
		}
		g.fresh = staleUntilEnsured{store}
		g.Search(t.Context(), request(2))
		store.Update(func(next *state.Snapshot) { next.Config.Zones = nil })
		g.ExecuteOnce(t.Context(), "r3", declare.Operation{Services: []string{"s0"}}, nil, time.Now().Add(time.Second))
		for _, s := range f.sent[2:] {
			if s.Zone != "z2" {
				t.Errorf("sent to %s after the gate", s.Zone)
			}
		}
		if len(f.sent) != 4 {
			t.Errorf("%d sent", len(f.sent))
		}
	})
}

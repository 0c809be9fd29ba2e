package forward

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

func shards(n int) (names, services []string) {
	for i := range n {
		s := fmt.Sprintf("s%d", i)
		services = append(services, s)
		names = append(names, s+"/near", s+"/far")
	}
	return names, services
}

var lost = replica.Result{Kind: replica.Lost, Reason: "connection"}

// Guards against an answer that waits for a shard beyond its objective, and
// against one that does not say what is missing.
func TestPartialAnswerLeavesInTime(t *testing.T) {
	bubble(t, func(t *testing.T) {
		names, services := shards(10)
		r := newRig(names...).route(catalog.Route{Idempotent: true, Shards: services, TopK: 20, MinShare: 0.9})
		r.warm(t, 20)
		r.replicas["s3/near"].after(time.Minute)
		r.replicas["s3/far"].after(time.Minute)
		a, took := r.ask(t.Context())
		if a.Code != Merged || a.Missing != 1 || len(a.Signatures) != 9 {
			t.Fatalf("%s with %d parts, %d missing", a.Code, len(a.Signatures), a.Missing)
		}
		if took >= testObjective {
			t.Errorf("the answer left after %v, the objective is %v", took, testObjective)
		}
		r.replicas["s4/near"].after(time.Minute)
		r.replicas["s4/far"].after(time.Minute)
		if a, _ := r.ask(t.Context()); a.Code != TimedOut {
			t.Errorf("%s with two of ten shards missing, want %s", a.Code, TimedOut)
		}
	})
}

// Guards against queries that wait for a paused replica, and against hedges
// beyond the budget when all replicas are slow.
func TestHedgesStayWithinBudget(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig("s/near", "s/far").route(catalog.Route{Idempotent: true, Service: "s"})
		r.warm(t, 100)
		near, far := r.replicas["s/near"], r.replicas["s/far"]
		near.after(time.Second)
		if a, took := r.ask(t.Context()); a.Code != Forwarded || took >= testObjective {
			t.Errorf("%s after %v with one replica paused", a.Code, took)
		}
		time.Sleep(time.Minute)
		near.after(300 * time.Millisecond)
		far.after(300 * time.Millisecond)
		before := near.sent() + far.sent()
		const requests = 200
		for range requests {
			r.ask(t.Context())
		}
		extra := near.sent() + far.sent() - before - requests
		if limit := int(0.2*requests) + 20; extra > limit {
			t.Errorf("%d repeats for %d requests, want %d at most", extra, requests, limit)
		}
	})
}

// Guards against a second run of a request that is not idempotent, and against a
// refusal that says that a request has not run when it may have.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	notRun := replica.Result{Kind: replica.NotRun, Reason: "rejected with 503"}
	notSent := replica.Result{Kind: replica.NotSent, Reason: "connection", Unreachable: true}
	failed := complete("s", "no")
	failed.Reply.Status = 500
	cases := []struct {
		name      string
		near, far replica.Result
		code      Code
		runs      int // at most, over both replicas
	}{
		{"lost", lost, complete("f", "x"), Unknown, 1},
		{"failed", failed, complete("f", "x"), Forwarded, 1},
		{"rejected", notRun, complete("f", "x"), Forwarded, 1},
		{"not sent", notSent, complete("f", "x"), Forwarded, 1},
		{"rejected by both", notRun, notRun, NotRun, 0},
		{"not sent to either", notSent, notSent, NotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				r := newRig("s/near", "s/far").route(catalog.Route{Service: "s"})
				r.replicas["s/near"].always(c.near)
				r.replicas["s/far"].always(c.far)
				a, _ := r.ask(t.Context())
				if a.Code != c.code {
					t.Errorf("%s (%s), want %s", a.Code, a.Reason, c.code)
				}
				runs := 0
				for name, res := range map[string]replica.Result{"s/near": c.near, "s/far": c.far} {
					if res.Kind == replica.Lost || res.Kind == replica.Complete {
						runs += r.replicas[name].sent()
					}
				}
				if runs > c.runs {
					t.Errorf("%d runs, want %d at most", runs, c.runs)
				}
				if a.Code == NotRun && a.RetryAfter <= 0 {
					t.Error("a refusal does not say when to come back")
				}
			})
		})
	}
}

// Guards the promise of a refusal for queries over many shards.
func TestScatterIsRefusedOnlyIfNothingRan(t *testing.T) {
	bubble(t, func(t *testing.T) {
		names, services := shards(4)
		r := newRig(names...).route(catalog.Route{Idempotent: true, Shards: services, TopK: 5, MinShare: 1})
		for _, name := range []string{"s0/near", "s0/far"} {
			r.replicas[name].always(lost)
		}
		if a, _ := r.ask(t.Context()); a.Code == NotRun {
			t.Error("refused as not run, though shards ran it")
		}
		r.store.SetEvacuated(map[string]bool{"near": true, "far": true}, time.Now())
		a, took := r.ask(t.Context())
		if a.Code != NotRun || took > testObjective/4 {
			t.Errorf("%s after %v without usable replicas", a.Code, took)
		}
	})
}

// Guards regions, evacuated zones and draining replicas.
func TestUnusableReplicasGetNothing(t *testing.T) {
	cases := map[string]func(r *rig){
		"region":     func(r *rig) { r.route(catalog.Route{Idempotent: true, Service: "s", Regions: []string{"abroad"}}) },
		"evacuation": func(r *rig) { r.store.SetEvacuated(map[string]bool{"near": true}, time.Now()) },
		"draining": func(r *rig) {
			r.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
				rep := replicas["s/near"]
				rep.Draining = true
				replicas["s/near"] = rep
			})
		},
		"moved": func(r *rig) {
			r.replicas["s/near"].always(replica.Result{Kind: replica.NotRun, Misdirected: true})
			r.ask(context.Background())
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				r := newRig("s/near", "s/far").route(catalog.Route{Idempotent: true, Service: "s"})
				r.warm(t, 20)
				change(r)
				before := r.replicas["s/near"].sent()
				r.replicas["s/far"].always(lost)
				for range 20 {
					r.ask(t.Context())
				}
				if n := r.replicas["s/near"].sent() - before; n > 0 {
					t.Errorf("%d requests reached it", n)
				}
			})
		})
	}
}

// Guards against a shard that is given up because its healthy replica is busy for
// a moment and the other one refuses connections.
func TestBusyReplicaIsWaitedFor(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig("s/near", "s/far").route(catalog.Route{Idempotent: true, Service: "s"})
		r.warm(t, 20)
		r.replicas["s/far"].always(replica.Result{Kind: replica.NotSent, Unreachable: true, Reason: "connection"})
		// A hedge finds out that the other replica refuses connections.
		r.replicas["s/near"].after(150 * time.Millisecond)
		r.ask(t.Context())
		r.replicas["s/near"].after(10 * time.Millisecond)
		refused := r.replicas["s/far"].sent()
		if refused == 0 {
			t.Fatal("no hedge was sent")
		}
		r.store.SetDaemons(manyDaemons()) // one connection a daemon
		results := make(chan Answer, 4)
		for range cap(results) {
			go func() {
				a, _ := r.ask(t.Context())
				results <- a
			}()
		}
		for range cap(results) {
			if a := <-results; a.Code != Forwarded {
				t.Errorf("%s: %s", a.Code, a.Reason)
			}
		}
		if n := r.replicas["s/far"].sent() - refused; n > 0 {
			t.Errorf("%d requests went to a replica that refuses connections, beside a busy one", n)
		}
	})
}

func manyDaemons() map[string]catalog.Daemon {
	names := map[string]catalog.Daemon{"d1": {}}
	for i := range 79 {
		names[fmt.Sprintf("e%d", i)] = catalog.Daemon{}
	}
	return names
}

// Guards against all queries waiting for a shard that none of them needs.
func TestOverloadedShardIsLeftOut(t *testing.T) {
	bubble(t, func(t *testing.T) {
		names, services := shards(10)
		r := newRig(names...).route(catalog.Route{Idempotent: true, Shards: services, TopK: 5, MinShare: 0.8})
		r.warm(t, 20)
		for _, name := range []string{"s1/near", "s1/far"} {
			r.replicas[name].after(400 * time.Millisecond)
		}
		for range 30 {
			r.ask(t.Context())
		}
		before := r.replicas["s1/near"].sent() + r.replicas["s1/far"].sent()
		_, took := r.ask(t.Context())
		if after := r.replicas["s1/near"].sent() + r.replicas["s1/far"].sent(); after != before {
			t.Errorf("an overloaded shard got %d requests that could do without it", after-before)
		}
		if took > testObjective/2 {
			t.Errorf("the answer took %v", took)
		}
	})
}

// Guards replicas against work for callers that have left.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig("s/near").route(catalog.Route{Idempotent: true, Service: "s"})
		ended := make(chan time.Time, 1)
		r.replicas["s/near"].answer = func(int, replica.Work) (time.Duration, replica.Result) {
			return time.Minute, complete("s", "x")
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		a, took := r.ask(ctx)
		ended <- time.Now()
		if a.Code != Abandoned || took > 100*time.Millisecond {
			t.Errorf("%s after %v", a.Code, took)
		}
		time.Sleep(10 * time.Millisecond)
		for _, rep := range r.pool.Reports(time.Now()) {
			if rep.InFlight != 0 {
				t.Error("the exchange goes on")
			}
		}
	})
}

// Guards against a request that is answered later than its route allows.
func TestRequestEndsAtItsTimeout(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig("s/near").route(catalog.Route{Idempotent: true, Service: "s", Timeout: 300 * time.Millisecond})
		r.replicas["s/near"].after(time.Minute)
		if a, took := r.ask(t.Context()); a.Code != TimedOut || took > 310*time.Millisecond {
			t.Errorf("%s after %v", a.Code, took)
		}
	})
}

func TestTopRecordsAgainstSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		limit := rng.IntN(12)
		top := topRecords{limit: limit}
		var all [][]byte
		for range 1 + rng.IntN(5) {
			part := make([]byte, rng.IntN(120))
			for i := range part {
				part[i] = byte(rng.IntN(3)) // equal records are frequent
			}
			top.add(part)
			for p := part; len(p) >= recordSize; p = p[recordSize:] {
				all = append(all, p[:recordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := top.falling(); !bytes.Equal(got, want) {
			t.Fatalf("limit %d: got %x, want %x", limit, got, want)
		}
	}
}

// Guards the bound on repeats over all daemons, in any window.
func TestBudgetsOfAllDaemonsKeepTheBound(t *testing.T) {
	const daemons, perWindow, ratio, slack = 8, 900, 0.2, 56
	budgets := make([]*Budget, daemons)
	for i := range budgets {
		budgets[i] = NewBudget()
		budgets[i].SetBounds(ratio, slack)
		for range 10_000 { // saved tokens don't pile up
			budgets[i].Request("s", daemons)
		}
	}
	repeats := 0
	for n := range perWindow {
		b := budgets[n*n%daemons] // uneven
		b.Request("s", daemons)
		for b.Take("s") {
			repeats++
		}
	}
	for _, b := range budgets {
		for b.Take("s") {
			repeats++
		}
	}
	if bound := int(ratio*perWindow + slack); repeats > bound {
		t.Errorf("%d repeats in a window of %d requests, want %d at most", repeats, perWindow, bound)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	parts := []catalog.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	for start := range uint64(50) {
		n := 0
		for i := range uint64(100) {
			if pickPart(parts, start*7+i) == "a" {
				n++
			}
		}
		if n < 72 || n > 78 {
			t.Errorf("%d of 100 requests to a weight of 3 in 4", n)
		}
	}
}

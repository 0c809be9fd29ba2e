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

// shardNames returns the services of n shards and the names of two replicas of each.
func shardNames(n int) (names, services []string) {
	for i := range n {
		s := fmt.Sprintf("s%d", i)
		services = append(services, s)
		names = append(names, s+"/near", s+"/far")
	}
	return names, services
}

var lostResult = replica.Result{Outcome: replica.Lost, Reason: "connection"}

// If one shard does not answer, the merged answer of the others has to be sent
// within the objective and must report the missing shard. If more shards are missing
// than the route allows, there must be no partial answer.
func TestPartialAnswerIsSentInTime(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		names, services := shardNames(10)
		r := newHarness(names...).setRoute(catalog.Route{Idempotent: true, Shards: services, TopK: 20, MinShare: 0.9})
		r.warmUp(t, 20)
		r.replicas["s3/near"].answerAfter(time.Minute)
		r.replicas["s3/far"].answerAfter(time.Minute)
		a, took := r.sendRequest(t.Context())
		if a.Code != Merged || a.MissingCount != 1 || len(a.Signatures) != 9 {
			t.Fatalf("%s with %d shards merged and %d missing, want 9 and 1", a.Code, len(a.Signatures), a.MissingCount)
		}
		if took >= testObjective {
			t.Errorf("answered after %v, want less than the objective of %v", took, testObjective)
		}
		r.replicas["s4/near"].answerAfter(time.Minute)
		r.replicas["s4/far"].answerAfter(time.Minute)
		if a, _ := r.sendRequest(t.Context()); a.Code != TimedOut {
			t.Errorf("%s with two of ten shards missing, want %s", a.Code, TimedOut)
		}
	})
}

// A request must not wait for a paused replica while another replica could answer.
// If all replicas are slow, every request wants a hedge; the retry budget then has
// to bound the additional load.
func TestHedgesStayWithinBudget(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near", "s/far").setRoute(catalog.Route{Idempotent: true, Service: "s"})
		r.warmUp(t, 100)
		near, far := r.replicas["s/near"], r.replicas["s/far"]
		near.answerAfter(time.Second)
		if a, took := r.sendRequest(t.Context()); a.Code != Forwarded || took >= testObjective {
			t.Errorf("%s after %v with one replica paused", a.Code, took)
		}
		time.Sleep(time.Minute)
		near.answerAfter(300 * time.Millisecond)
		far.answerAfter(300 * time.Millisecond)
		start := time.Now()
		var requests []time.Time
		for range 200 {
			requests = append(requests, time.Now())
			r.sendRequest(t.Context())
		}
		var exchanges []time.Time
		for _, at := range append(near.times, far.times...) {
			if !at.Before(start) {
				exchanges = append(exchanges, at)
			}
		}
		for _, from := range exchanges {
			in := func(times []time.Time) (n int) {
				for _, at := range times {
					if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
						n++
					}
				}
				return n
			}
			n := in(requests)
			if repeats, limit := in(exchanges)-n, int(0.2*float64(n))+20; repeats > limit {
				t.Fatalf("%d repeats for %d requests in a window, want %d at most", repeats, n, limit)
			}
		}
	})
}

// A request that is not idempotent must not be sent again once a replica may have
// run it, and must not be refused as not run in that case. It may be repeated if the
// first replica rejected it or was not reached.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	notRun := replica.Result{Outcome: replica.NotRun, Reason: "rejected with 503"}
	notSent := replica.Result{Outcome: replica.NotSent, Reason: "connection", Unreachable: true}
	failed := successResult("s", "no")
	failed.Reply.Status = 500
	cases := []struct {
		name      string
		near, far replica.Result
		code      Code
		runs      int // at most, over both replicas
	}{
		{"lost", lostResult, successResult("f", "x"), Unknown, 1},
		{"failed", failed, successResult("f", "x"), Forwarded, 1},
		{"rejected", notRun, successResult("f", "x"), Forwarded, 1},
		{"not sent", notSent, successResult("f", "x"), Forwarded, 1},
		{"rejected by both", notRun, notRun, NotRun, 0},
		{"not sent to either", notSent, notSent, NotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				r := newHarness("s/near", "s/far").setRoute(catalog.Route{Service: "s"})
				r.replicas["s/near"].answerAlways(c.near)
				r.replicas["s/far"].answerAlways(c.far)
				a, _ := r.sendRequest(t.Context())
				if a.Code != c.code {
					t.Errorf("%s (%s), want %s", a.Code, a.Reason, c.code)
				}
				runs := 0
				for name, res := range map[string]replica.Result{"s/near": c.near, "s/far": c.far} {
					if res.Outcome == replica.Lost || res.Outcome == replica.Complete {
						runs += r.replicas[name].exchangeCount()
					}
				}
				if runs > c.runs {
					t.Errorf("%d runs, want %d at most", runs, c.runs)
				}
				if a.Code == NotRun && a.RetryAfter <= 0 {
					t.Error("the refusal has no retry delay")
				}
			})
		})
	}
}

// A query over many shards may be refused as not run only if no shard ran it. Here,
// one shard fails while the others answer; afterwards, no replica is usable.
func TestScatterIsRefusedOnlyIfNothingRan(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		names, services := shardNames(4)
		r := newHarness(names...).setRoute(catalog.Route{Idempotent: true, Shards: services, TopK: 5, MinShare: 1})
		for _, name := range []string{"s0/near", "s0/far"} {
			r.replicas[name].answerAlways(lostResult)
		}
		if a, _ := r.sendRequest(t.Context()); a.Code == NotRun {
			t.Error("refused as not run although some shards ran it")
		}
		r.store.SetEvacuated(map[string]bool{"near": true, "far": true}, time.Now())
		a, took := r.sendRequest(t.Context())
		if a.Code != NotRun || took > testObjective/4 {
			t.Errorf("%s after %v without usable replicas", a.Code, took)
		}
	})
}

// A replica must get no request if its region is not allowed for the route, its zone
// is evacuated, it is draining or another replica has taken over its address, even
// if all other replicas fail.
func TestUnusableReplicasGetNothing(t *testing.T) {
	cases := map[string]func(r *harness){
		"region": func(r *harness) {
			r.setRoute(catalog.Route{Idempotent: true, Service: "s", Regions: []string{"abroad"}})
		},
		"evacuation": func(r *harness) { r.store.SetEvacuated(map[string]bool{"near": true}, time.Now()) },
		"draining": func(r *harness) {
			r.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
				rep := replicas["s/near"]
				rep.Draining = true
				replicas["s/near"] = rep
			})
		},
		"moved": func(r *harness) {
			r.replicas["s/near"].answerAlways(replica.Result{Outcome: replica.NotRun, Misdirected: true})
			r.sendRequest(context.Background())
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				r := newHarness("s/near", "s/far").setRoute(catalog.Route{Idempotent: true, Service: "s"})
				r.warmUp(t, 20)
				change(r)
				before := r.replicas["s/near"].exchangeCount()
				r.replicas["s/far"].answerAlways(lostResult)
				for range 20 {
					r.sendRequest(t.Context())
				}
				if n := r.replicas["s/near"].exchangeCount() - before; n > 0 {
					t.Errorf("%d requests reached the unusable replica", n)
				}
			})
		})
	}
}

// If the only healthy replica has no free connection for a moment, requests have to
// wait for it. If they are sent to the other replica, which refuses connections,
// they fail.
func TestBusyReplicaIsWaitedFor(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near", "s/far").setRoute(catalog.Route{Idempotent: true, Service: "s"})
		r.warmUp(t, 20)
		r.replicas["s/far"].answerAlways(replica.Result{Outcome: replica.NotSent, Unreachable: true, Reason: "connection"})
		// A hedge to the other replica fails, so that this replica is ejected.
		r.replicas["s/near"].answerAfter(150 * time.Millisecond)
		r.sendRequest(t.Context())
		r.replicas["s/near"].answerAfter(10 * time.Millisecond)
		hedges := r.replicas["s/far"].exchangeCount()
		if hedges == 0 {
			t.Fatal("no hedge was sent")
		}
		r.store.SetInstances(manyInstances()) // one connection for each instance
		results := make(chan Answer, 4)
		for range cap(results) {
			go func() {
				a, _ := r.sendRequest(t.Context())
				results <- a
			}()
		}
		for range cap(results) {
			if a := <-results; a.Code != Forwarded {
				t.Errorf("%s: %s", a.Code, a.Reason)
			}
		}
		if n := r.replicas["s/far"].exchangeCount() - hedges; n > 0 {
			t.Errorf("%d requests were sent to the replica that refuses connections, want 0", n)
		}
	})
}

// manyInstances returns a list of 80 instances that includes the one under test.
func manyInstances() map[string]catalog.Instance {
	names := map[string]catalog.Instance{"d1": {}}
	for i := range 79 {
		names[fmt.Sprintf("e%d", i)] = catalog.Instance{}
	}
	return names
}

// If one shard is overloaded and the answer can do without it, queries have to leave
// it out. Otherwise they all wait in its queue and are late.
func TestOverloadedShardIsLeftOut(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		names, services := shardNames(10)
		r := newHarness(names...).setRoute(catalog.Route{Idempotent: true, Shards: services, TopK: 5, MinShare: 0.8})
		r.warmUp(t, 20)
		for _, name := range []string{"s1/near", "s1/far"} {
			r.replicas[name].answerAfter(400 * time.Millisecond)
		}
		for range 30 {
			r.sendRequest(t.Context())
		}
		before := r.replicas["s1/near"].exchangeCount() + r.replicas["s1/far"].exchangeCount()
		_, took := r.sendRequest(t.Context())
		if after := r.replicas["s1/near"].exchangeCount() + r.replicas["s1/far"].exchangeCount(); after != before {
			t.Errorf("the overloaded shard got %d exchanges, want 0", after-before)
		}
		if took > testObjective/2 {
			t.Errorf("answered after %v, want at most half the objective", took)
		}
	})
}

// When a caller disconnects, its exchange has to be cancelled. Otherwise the replica
// goes on working for nobody.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near").setRoute(catalog.Route{Idempotent: true, Service: "s"})
		ended := make(chan time.Time, 1)
		r.replicas["s/near"].answer = func(int, replica.Request) (time.Duration, replica.Result) {
			return time.Minute, successResult("s", "x")
		}
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, disconnect)
		a, took := r.sendRequest(ctx)
		ended <- time.Now()
		if a.Code != Abandoned || took > 100*time.Millisecond {
			t.Errorf("%s after %v", a.Code, took)
		}
		time.Sleep(10 * time.Millisecond)
		for _, rep := range r.pool.Reports(time.Now()) {
			if rep.InFlight != 0 {
				t.Error("the exchange was not cancelled")
			}
		}
	})
}

// A request has to end at the timeout of its route, even if the caller would wait
// longer and the replica never answers.
func TestRequestEndsAtItsTimeout(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		r := newHarness("s/near").setRoute(catalog.Route{Idempotent: true, Service: "s", Timeout: 300 * time.Millisecond})
		r.replicas["s/near"].answerAfter(time.Minute)
		if a, took := r.sendRequest(t.Context()); a.Code != TimedOut || took > 310*time.Millisecond {
			t.Errorf("%s after %v", a.Code, took)
		}
	})
}

// Compares topRecords with sorting all records. The replies are random, with many
// equal records and trailing fragments, which are the cases a heap may get wrong.
func TestTopRecordsAgainstSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		limit := rng.IntN(12)
		top := topRecords{limit: limit}
		var all [][]byte
		for range 1 + rng.IntN(5) {
			body := make([]byte, rng.IntN(120))
			for i := range body {
				body[i] = byte(rng.IntN(3)) // few values, so that records are often equal
			}
			top.add(body)
			for b := body; len(b) >= recordSize; b = b[recordSize:] {
				all = append(all, b[:recordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := top.descending(); !bytes.Equal(got, want) {
			t.Fatalf("limit %d: got %x, want %x", limit, got, want)
		}
	}
}

// Guards against more repeats than the bound that the instances share without
// coordination: together they must stay within it in any window, even if their load
// is uneven and they sent requests without a repeat for a long time before.
func TestRetryBudgetsStayWithinSharedBound(t *testing.T) {
	const instances, requests, ratio, slack, window = 8, 900, 0.2, 56, 10 * time.Second
	now := time.Now()
	budgets := make([]*RetryBudget, instances)
	for i := range budgets {
		budgets[i] = NewRetryBudget()
		budgets[i].SetBounds(ratio, slack, window)
		for range 10_000 { // unused tokens must not accumulate
			budgets[i].AddRequest("s", instances, now)
		}
		budgets[i].AddRequest("s", instances, now.Add(time.Hour))
	}
	repeats := 0
	now = now.Add(time.Hour)
	for n := range requests {
		now = now.Add(window / requests)
		b := budgets[n*n%instances] // uneven load
		b.AddRequest("s", instances, now)
		for b.TrySpend("s", now) {
			repeats++
		}
	}
	for _, b := range budgets {
		for b.TrySpend("s", now) {
			repeats++
		}
	}
	if bound := int(ratio*requests + slack); repeats > bound {
		t.Errorf("%d repeats in a window of %d requests, want %d at most", repeats, requests, bound)
	}
}

// A traffic split has to follow its weights in any 100 consecutive requests, not only
// on average over a long time.
func TestSplitFollowsWeights(t *testing.T) {
	parts := []catalog.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	for start := range uint64(50) {
		n := 0
		for i := range uint64(100) {
			if pickSplitService(parts, start*7+i) == "a" {
				n++
			}
		}
		if n < 72 || n > 78 {
			t.Errorf("%d of 100 requests went to a service with 3/4 of the weight", n)
		}
	}
}

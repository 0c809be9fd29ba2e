package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against a wrong coverage, a complete search that is answered in part, and
// an answer from two index snapshots or shard maps. Sub-requests fail at random
// while a shard map with split shards arrives during the query.
func TestAnswersStateTrueCoverageOfOneSnapshot(t *testing.T) {
	behaviors := []string{"ok", "ok", "empty", "unsent", "broken", "not-run/snapshot-gone", "not-run/leaving", "not-run/shed",
		"other-attempt", "other-shard", "other-snapshot", "partial", "cut"}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "shards")
		class := rapid.SampledFrom([]declare.Class{declare.ClassPartial, declare.ClassComplete}).Draw(rt, "class")
		script := ""
		for i := range 2 * n {
			for _, replica := range []string{"a", "b"} {
				script += fmt.Sprintf("s%d-%s %s %dms\n", i, replica, rapid.SampledFrom(behaviors).Draw(rt, "behavior"),
					rapid.SampledFrom([]int{1, 5, 300, 3000}).Draw(rt, "delay"))
			}
		}
		splitAt := time.Duration(rapid.IntRange(0, 8).Draw(rt, "split")) * time.Millisecond
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			valid := map[string]bool{} // "snapshot.shard" of valid, complete replies
			f := &fakeExecutor{}
			run := scriptedExecutor(script)
			f.do = func(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				r, err := run(ctx, instance, req)
				if err == nil && r.Outcome == string(outcome.Answered) {
					if _, reason := parseShardReply(req, r); reason == outcome.ReasonNone {
						f.mu.Lock()
						valid[req.Snapshot+"."+req.Shard] = true
						f.mu.Unlock()
					}
				}
				return r, err
			}
			store := newTestStore(n, class)
			timer := time.AfterFunc(splitAt, func() {
				store.Update(func(next *state.Snapshot) {
					split := state.IndexSnapshot{ID: "v3"}
					for i := range n {
						for _, half := range []string{"l", "r"} {
							split.Shards = append(split.Shards, state.Shard{ID: fmt.Sprintf("p%d%s", i, half), Service: fmt.Sprintf("s%d", i)})
						}
					}
					next.ShardMaps = map[string]state.ShardMap{"archive": {Snapshots: append(next.ShardMaps["archive"].Snapshots[1:2:2], split)}}
				})
			})
			defer timer.Stop()
			g := newGateway(store, f, Options{})
			g.budget.milliTokens.Store(maxMilliTokens)
			problem = checkAnswer(g.Search(t.Context(), request(1)), n, class, valid, &f.mu)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// checkAnswer returns what is wrong with a reply to a search with n shards, or "".
// valid has the snapshot and shard of each valid, complete reply of a target.
func checkAnswer(r SearchReply, n int, class declare.Class, valid map[string]bool, mu interface {
	Lock()
	Unlock()
}) string {
	mu.Lock()
	defer mu.Unlock()
	total := n
	if r.Snapshot == "v3" {
		total = 2 * n
	}
	missing := map[string]bool{}
	for _, m := range r.Coverage.Missing {
		missing[m] = true
	}
	if r.Snapshot != "" && (r.Coverage.Total != total || r.Coverage.Answered+len(missing) != total) {
		return fmt.Sprintf("coverage does not add up: %+v", r)
	}
	answered := 0
	for name := range valid {
		if snapshot, shard, _ := strings.Cut(name, "."); snapshot == r.Snapshot && !missing[shard] {
			answered++
		}
	}
	if answered < r.Coverage.Answered {
		return fmt.Sprintf("%d valid replies for %+v", answered, r)
	}
	for _, item := range r.Items {
		if !strings.HasPrefix(string(item), `"`+r.Snapshot+".") {
			return fmt.Sprintf("item of another snapshot: %+v", r)
		}
	}
	if r.Result.Code != outcome.Answered && r.Items != nil {
		return fmt.Sprintf("items in a refusal: %+v", r)
	}
	if class == declare.ClassComplete && r.Result.Code == outcome.Answered && r.Coverage.Answered != total {
		return fmt.Sprintf("complete search answered in part: %+v", r)
	}
	return ""
}

// Guards against an operation that runs twice because it is sent again after an
// attempt that may have run, and against an outcome other than that of the last
// attempt. Attempts fail at random, and the caller cancels at a random time.
func TestExecuteOnceStopsAfterUncertainAttempt(t *testing.T) {
	behaviors := []string{"ran", "broken", "cut", "other-attempt", "ok", "unsent", "not-run/leaving", "not-run/shed",
		"not-run/overload", "not-run/no-right=new", "not-run/no-right=newer", "not-run/expired"}
	rapid.Check(t, func(rt *rapid.T) {
		chain := rapid.SliceOfN(rapid.SampledFrom(behaviors), 20, 20).Draw(rt, "chain")
		cancelAt := time.Duration(rapid.IntRange(1, 30).Draw(rt, "cancel")) * time.Millisecond
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			last := outcome.Code("")
			f := &fakeExecutor{}
			f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				if last != "" && last != outcome.NotRun {
					problem = fmt.Sprintf("sent again after %s", last)
				}
				if last = outcome.Unknown; waitOrDone(ctx, 2*time.Millisecond) != nil {
					return nil, ctx.Err()
				}
				r, err := makeReply(chain[len(f.sent)-1], req)
				switch {
				case errors.Is(err, errNotSent), err == nil && r.Outcome == string(outcome.NotRun) && r.AttemptId == req.AttemptId:
					last = outcome.NotRun
				case err == nil && chain[len(f.sent)-1] == "ran":
					last = outcome.Answered
				}
				return r, err
			}
			g := newGateway(newTestStore(3, declare.ClassPartial), f, Options{})
			ctx, cancel := context.WithTimeoutCause(t.Context(), cancelAt, context.Canceled)
			defer cancel()
			r := g.ExecuteOnce(ctx, "r1", declare.Operation{Name: "order", Services: []string{"s0", "s1", "s2"}}, nil, time.Now().Add(time.Second))
			if problem == "" && r.Code != last {
				problem = fmt.Sprintf("outcome %s, last attempt %s", r.Code, last)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// Guards against hedges and retries above 5% of any 2,000 consecutive first
// attempts, with some slow sub-requests, with all targets slow and with failing
// targets.
func TestExtraLoadStaysWithinBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	synctest.Test(t, func(t *testing.T) {
		var phase string
		f := &fakeExecutor{}
		f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
			f.mu.Lock()
			d, broken := time.Duration(500+rng.IntN(1000))*time.Microsecond, false
			switch {
			case phase == "all slow":
				d = time.Duration(100+rng.IntN(100)) * time.Millisecond
			case rng.IntN(10) == 0 && phase == "stragglers":
				d = 80 * time.Millisecond
			case phase == "failing":
				broken = rng.IntN(3) == 0
			}
			f.mu.Unlock()
			if err := waitOrDone(ctx, d); err != nil {
				return nil, err
			}
			if broken {
				return nil, errors.New("connection reset")
			}
			return completeReply(req), nil
		}
		g := newGateway(newTestStore(50, declare.ClassPartial), f, Options{})
		for _, phase = range []string{"steady", "stragglers", "all slow", "failing"} {
			before := len(f.sent)
			for i := range 60 {
				g.Search(t.Context(), request(i))
			}
			extra := (len(f.sent) - before) - 60*50
			t.Logf("%s: %d extra for %d first attempts", phase, extra, 60*50)
			if phase != "steady" && extra == 0 {
				t.Errorf("%s: no hedge or retry was sent", phase)
			}
		}
		checkExtraLoad(t, f.sent)
	})
}

// checkExtraLoad checks that every window of 2,000 first attempts has at most 100
// extra attempts.
func checkExtraLoad(t *testing.T, sent []*peerpb.ExecuteRequest) {
	extraBefore := []int{} // extra attempts before each first attempt
	extra := 0
	for _, s := range sent {
		if strings.HasSuffix(s.AttemptId, ".0") {
			extraBefore = append(extraBefore, extra)
		} else {
			extra++
		}
	}
	for i := 0; i+2000 < len(extraBefore); i++ {
		if n := extraBefore[i+2000] - extraBefore[i]; n > 100 {
			t.Fatalf("%d extra attempts in the window from first attempt %d", n, i)
		}
	}
}

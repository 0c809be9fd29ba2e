package gateway

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Guards against an entry that keeps sending searches at full rate while holders
// refuse some of their shards, so that few are answered in full, and against a
// limit that stays low after the overload has ended.
func TestConcurrencyFollowsRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, refusedAtEntry, answered atomic.Int64
		f := &fakeExecutor{}
		f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
			// Both shards together serve 16 sub-requests at a time.
			if running.Add(1) > 16 {
				running.Add(-1)
				return notRun(req, outcome.ReasonOverload), nil
			}
			err := waitOrDone(ctx, 100*time.Millisecond)
			running.Add(-1)
			return completeReply(req), err
		}
		g := newGateway(newTestStore(2, declare.ClassComplete), f, Options{Policy: Policy{Hedging: HedgeOff}})
		for i := range 600 { // 200 searches a second, the capacity is 80
			go func() {
				r := g.Search(t.Context(), request(i))
				switch {
				case r.Result.Code == outcome.Answered:
					answered.Add(1)
				case r.Result.Code == outcome.NotRun && r.Coverage.Total == 0:
					refusedAtEntry.Add(1)
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := answered.Load(); n < 150 {
			t.Errorf("%d of 240 possible searches were answered", n)
		}
		if n := refusedAtEntry.Load(); n < 300 {
			t.Errorf("%d searches were refused before anything was sent", n)
		}
		low := g.concurrency[Critical].Limit()
		if low > 20 || low < minConcurrency {
			t.Errorf("limit %.1f under overload", low)
		}
		for i := range 100 {
			for range int(low) {
				go g.Search(t.Context(), request(i))
			}
			time.Sleep(200 * time.Millisecond)
		}
		if high := g.concurrency[Critical].Limit(); high <= low {
			t.Errorf("limit %.1f after the overload, %.1f before", high, low)
		}
	})
}

// Guards against a complete search whose other sub-requests keep running after
// one shard has failed, although it can no longer be answered, and against a
// partial search that ends when one shard fails.
func TestLostShardEndsCompleteSearch(t *testing.T) {
	for class, c := range map[declare.Class]struct {
		took time.Duration
		code outcome.Code
	}{
		declare.ClassComplete: {10 * time.Millisecond, outcome.Incomplete},
		declare.ClassPartial:  {500 * time.Millisecond, outcome.Answered},
	} {
		synctest.Test(t, func(t *testing.T) {
			var cancelled atomic.Int64
			f := &fakeExecutor{}
			f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				if req.Shard == "p0" {
					return notRun(req, outcome.ReasonOverload), waitOrDone(ctx, 10*time.Millisecond)
				}
				err := waitOrDone(ctx, 500*time.Millisecond)
				if err != nil {
					cancelled.Add(1)
				}
				return completeReply(req), err
			}
			g := newGateway(newTestStore(3, class), f, Options{Policy: Policy{Hedging: HedgeOff}})
			start := time.Now()
			r := g.Search(t.Context(), request(1))
			took := time.Since(start)
			synctest.Wait()
			if took != c.took || r.Result.Code != c.code || r.Result.Reason != outcome.ReasonOverload {
				t.Errorf("%s: %+v after %v", class, r.Result, took)
			}
			if (cancelled.Load() == 2) != (class == declare.ClassComplete) {
				t.Errorf("%s: %d of 2 sub-requests were cancelled", class, cancelled.Load())
			}
		})
	}
}

// Guards against a concurrency limit that is lowered without need: that of
// partial searches by a single hot shard, that of other priorities by refused
// searches of one priority, and that of the same priority by a single lost
// search.
func TestLossLowersLimitOfOwnPriority(t *testing.T) {
	for refusedShards, lowered := range map[string]bool{"p0": false, "p0 p1 p2": true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeExecutor{do: func(_ context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				if slices.Contains(strings.Fields(refusedShards), req.Shard) {
					return notRun(req, outcome.ReasonOverload), nil
				}
				return completeReply(req), nil
			}}
			g := newGateway(newTestStore(20, declare.ClassPartial), f, Options{Policy: Policy{Hedging: HedgeOff}})
			g.Search(t.Context(), request(1))
			if limit := g.concurrency[Normal].Limit(); limit < g.concurrency[Normal].max {
				t.Errorf("limit %.1f after one search", limit)
			}
			g.Search(t.Context(), request(2))
			for p, c := range g.concurrency {
				if isLowered := c.Limit() < c.max; isLowered != (lowered && Priority(p) == Normal) {
					t.Errorf("%s refused: limit %.1f of priority %d", refusedShards, c.Limit(), p)
				}
			}
		})
	}
}

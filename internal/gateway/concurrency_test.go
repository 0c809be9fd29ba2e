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

// Guards against an entry that goes on sending searches of which holders
// refuse some shards, and against a limit that stays low after the overload.
func TestConcurrencyFollowsRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, refusedWhole, answered atomic.Int64
		f := &fakeExecutor{}
		f.do = func(ctx context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
			// Each shard bears 8 sub-requests at a time.
			if running.Add(1) > 16 {
				running.Add(-1)
				return notRun(req, outcome.ReasonOverload), nil
			}
			err := after(ctx, 100*time.Millisecond)
			running.Add(-1)
			return whole(req), err
		}
		g := newGateway(fixture(2, declare.ClassComplete), f, Options{Policy: Policy{Hedging: HedgeOff}})
		for i := range 600 { // 200 searches a second, the capacity is 80
			go func() {
				r := g.Search(t.Context(), request(i))
				switch {
				case r.Result.Code == outcome.Answered:
					answered.Add(1)
				case r.Result.Code == outcome.NotRun && r.Coverage.Total == 0:
					refusedWhole.Add(1)
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := answered.Load(); n < 150 {
			t.Errorf("%d of 240 possible searches were answered", n)
		}
		if n := refusedWhole.Load(); n < 300 {
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

// Guards against a complete search whose other shards keep working after one
// shard was lost for good, and against a partial one that ends with it.
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
					return notRun(req, outcome.ReasonOverload), after(ctx, 10*time.Millisecond)
				}
				err := after(ctx, 500*time.Millisecond)
				if err != nil {
					cancelled.Add(1)
				}
				return whole(req), err
			}
			g := newGateway(fixture(3, class), f, Options{Policy: Policy{Hedging: HedgeOff}})
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

// Guards against one hot shard that cuts the limit of partial searches, and
// against refused browse searches that cut the limit of other priorities, and
// against one lost search that cuts its own.
func TestLossCutsOwnPriority(t *testing.T) {
	for refusedShards, cut := range map[string]bool{"p0": false, "p0 p1 p2": true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeExecutor{do: func(_ context.Context, _ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
				if slices.Contains(strings.Fields(refusedShards), req.Shard) {
					return notRun(req, outcome.ReasonOverload), nil
				}
				return whole(req), nil
			}}
			g := newGateway(fixture(20, declare.ClassPartial), f, Options{Policy: Policy{Hedging: HedgeOff}})
			g.Search(t.Context(), request(1))
			if limit := g.concurrency[Normal].Limit(); limit < g.concurrency[Normal].max {
				t.Errorf("limit %.1f after one search", limit)
			}
			g.Search(t.Context(), request(2))
			for p, c := range g.concurrency {
				if isCut := c.Limit() < c.max; isCut != (cut && Priority(p) == Normal) {
					t.Errorf("%s refused: limit %.1f of priority %d", refusedShards, c.Limit(), p)
				}
			}
		})
	}
}

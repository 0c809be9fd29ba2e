package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Guards against hedges and retries that stop for a second because one replica of
// many refuses attempts, and against hedges and retries that continue under
// overload.
func TestOverloadNeedsShareOfRefusals(t *testing.T) {
	for _, c := range []struct {
		attempts, every int
		overloaded      bool
	}{{500, 50, false}, {500, 5, true}, {4, 1, false}} {
		b, now := &Budget{}, time.Unix(1000, 0)
		for i := range c.attempts {
			now = now.Add(time.Millisecond)
			b.RecordAttempt(now, i%c.every == c.every-1)
		}
		if b.Overloaded(now) != c.overloaded {
			t.Errorf("%d attempts, one in %d refused: overloaded is %v", c.attempts, c.every, !c.overloaded)
		}
		// Refusals of an earlier second do not count.
		now = now.Add(2 * time.Second)
		b.RecordAttempt(now, true)
		if b.Overloaded(now) {
			t.Errorf("overloaded by one refusal after %d attempts", c.attempts)
		}
	}
}

// Guards against the retry of a refused sub-request while many sub-requests are
// refused for load.
func TestNoRetryUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeExecutor{do: scriptedExecutor("s0-a not-run/shed\ns0-b ok")}
		g := newGateway(newTestStore(1, declare.ClassPartial), f, Options{Policy: Policy{Hedging: HedgeOff}})
		g.budget.milliTokens.Store(maxMilliTokens)
		for range overloadCount - 1 {
			g.budget.RecordAttempt(time.Now(), true)
		}
		r := g.Search(t.Context(), request(1))
		if r.Result.Code != outcome.Incomplete || r.Result.Reason != outcome.ReasonShed || len(f.sent) != 1 {
			t.Errorf("%+v, %d sent", r.Result, len(f.sent))
		}
	})
}

package target

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against callers that together exceed what a cold target bears, against
// steps without enough good answers, and against a ramp that never ends.
func TestColdLimitHoldsUntilFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		start := time.Now()
		b.callers(12, 1000)
		if b.fake.excess != "" {
			t.Errorf("above the limit: %s", b.fake.excess)
		}
		took := time.Since(start)
		if b.phase() != state.PhaseWarm || b.limit() != 4 || took < 2*RampInterval || took > 5*time.Second {
			t.Errorf("phase %s limit %d after %v", b.phase(), b.limit(), took)
		}
	})
}

// Guards against a ramp from too few answers, or from answers that did not use
// the current limit in full.
func TestNoRampWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.each(RampSuccesses - 1)
		if b.limit() != 1 {
			t.Errorf("limit %d after %d answers", b.limit(), RampSuccesses-1)
		}
		wide := newBench(t, 3)
		wide.svc.BearsCold = 2
		wide.each(50)
		if wide.limit() != 2 || wide.phase() != state.PhaseCold {
			t.Errorf("limit %d, %s after single requests below the limit", wide.limit(), wide.phase())
		}
	})
}

// Guards against a target that turned cold without warning and keeps its load.
func TestHiddenCold(t *testing.T) {
	cases := map[string]func(b *bench){
		"incarnation": func(b *bench) {
			b.fake.incarnation = "i2"
			b.each(1)
		},
		"shed": func(b *bench) {
			b.fake.handle = func(c net.Conn, r *http.Request) bool { return b.fake.refuse(c, r, 503, "shed") }
			b.each(1)
			if b.phase() != state.PhaseWarm || b.limit() != 2 {
				panic("one shed answer must halve the limit")
			}
			b.each(1)
		},
		"refused": func(b *bench) {
			b.close()
			b.fake.down = true
			b.each(1)
		},
		"slow": func(b *bench) {
			b.takes(60 * time.Millisecond)
			b.each(collapseCount)
		},
	}
	for name, turn := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 4).warm()
				b.each(20)
				turn(b)
				if b.phase() != state.PhaseCold || b.limit() != 1 {
					t.Errorf("%s with limit %d", b.phase(), b.limit())
				}
				b.fake.mu.Lock()
				b.fake.down, b.fake.answers, b.fake.excess = false, 0, ""
				b.fake.mu.Unlock()
				b.takes(5 * time.Millisecond)
				b.callers(8, 1000)
				if b.fake.excess != "" || b.phase() != state.PhaseWarm {
					t.Errorf("%s on the way to %s", b.fake.excess, b.phase())
				}
			})
		})
	}
}

// Guards against a target that fails all requests and keeps getting them, and
// against more than one probe after the ejection.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4).warm()
		b.fake.handle = func(_ net.Conn, r *http.Request) bool { b.fake.done(r, false); return false }
		for i := range ejectFailures {
			b.do(b.work(fmt.Sprint(i), time.Second))
			time.Sleep(abortGrace)
		}
		if b.phase() != state.PhaseEjected || b.limit() != 1 {
			t.Fatalf("%s with limit %d after failures", b.phase(), b.limit())
		}
		time.Sleep(ejectMin)
		if b.phase() != state.PhaseCold {
			t.Fatalf("%s after the ejection", b.phase())
		}
		b.do(b.work("probe", time.Second))
		time.Sleep(2*ejectMin - time.Millisecond)
		if b.phase() != state.PhaseEjected {
			t.Errorf("%s after a failed probe", b.phase())
		}
		time.Sleep(time.Millisecond)
		b.svc.BearsCold = 3
		b.takes(5 * time.Millisecond)
		b.fake.peak = 0
		b.callers(3, 1)
		if b.limit() != 3 || b.phase() != state.PhaseCold || b.fake.peak > 2 {
			t.Errorf("%s, limit %d, peak %d after a good probe", b.phase(), b.limit(), b.fake.peak)
		}
	})
}

// Guards against work for an incarnation that was seen leaving once, also after
// its backend was removed, and against refusing its replacement.
func TestLeavingIsSticky(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2).warm()
		b.do(b.work("a", time.Second))
		b.pool.MarkLeaving("t", "i1")
		b.pool.Reconcile(&state.Snapshot{})
		if len(b.pool.Loads()) != 0 {
			t.Error("an idle backend of a target that is gone stays")
		}
		if r := b.do(b.work("b", time.Second)); r.Reason != outcome.ReasonLeaving {
			t.Errorf("flapping list: %+v", r)
		}
		b.tgt.Incarnation, b.fake.incarnation = "i2", "i2"
		if r := b.do(b.work("c", time.Second)); r.Code != outcome.Answered || b.limit() != 1 {
			t.Errorf("replacement: %+v, limit %d", r, b.limit())
		}
		b.tgt.Incarnation = "i1"
		if r := b.do(b.work("d", time.Second)); r.Code != outcome.Answered {
			t.Errorf("lagging list: %+v", r)
		}
	})
}

// Guards against a holder that goes on with an old state after the target was
// with another holder.
func TestReleaseStartsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4).warm()
		b.do(b.work("a", time.Second))
		if l := b.pool.Release("t"); l.Phase != state.PhaseWarm || l.Limit != 4 {
			t.Errorf("released as %+v", l)
		}
		b.do(b.work("b", time.Second))
		if b.phase() != state.PhaseCold || b.limit() != 1 {
			t.Errorf("%s, limit %d without a handover", b.phase(), b.limit())
		}
		b.pool.Release("t")
		b.warm().do(b.work("c", time.Second))
		if b.phase() != state.PhaseWarm {
			t.Errorf("%s after a handover", b.phase())
		}
	})
}

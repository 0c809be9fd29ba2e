package target

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against a ramp from too few answers, or from answers that did not use
// the current limit in full.
func TestNoRampWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		b.each(RampSuccesses - 1)
		if b.limit() != 1 {
			t.Errorf("limit %d after %d answers", b.limit(), RampSuccesses-1)
		}
		// The target sheds two requests when all twelve are with it, so that all
		// were sent before it turned cold.
		var arrived sync.WaitGroup
		arrived.Add(12)
		many := newBench(t, 12).warm()
		many.fake.handle = func(c net.Conn, r *http.Request) bool {
			arrived.Done()
			if a := r.Header.Get("X-Attempt-Id"); a == "0-0" || a == "1-0" {
				arrived.Wait()
				return many.fake.refuse(c, r, 503, "shed")
			}
			return many.fake.good(c, r, RampInterval+100*time.Millisecond)
		}
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() { many.do(many.work(fmt.Sprintf("%d-0", i), time.Second)) })
		}
		wg.Wait()
		if many.limit() != 1 {
			t.Errorf("limit %d after answers to requests from before the target turned cold", many.limit())
		}
		wide := newBench(t, 3)
		wide.svc.BearsCold = 2
		wide.each(50)
		if wide.limit() != 2 || wide.phase() != state.PhaseCold {
			t.Errorf("limit %d, %s after single requests below the limit", wide.limit(), wide.phase())
		}
	})
}

// Guards against a target that turned cold without warning, or was with another
// holder, and keeps its load; against callers that together exceed what a cold
// target bears; and against a ramp that is too fast or never ends.
func TestColdLimitHoldsUntilFullLoad(t *testing.T) {
	cases := map[string]func(t *testing.T, b *bench){
		"released":    func(t *testing.T, b *bench) { b.pool.Release("t") },
		"incarnation": func(t *testing.T, b *bench) { b.fake.incarnation = "i2" },
		"shed": func(t *testing.T, b *bench) {
			b.fake.handle = func(c net.Conn, r *http.Request) bool { return b.fake.refuse(c, r, 503, "shed") }
			b.each(1)
			if b.phase() != state.PhaseWarm || b.limit() != 2 {
				t.Errorf("%s with limit %d after one shed answer", b.phase(), b.limit())
			}
		},
		"refused": func(t *testing.T, b *bench) {
			b.close()
			b.fake.down = true
		},
		"slow": func(t *testing.T, b *bench) {
			b.takes(60 * time.Millisecond)
			b.each(collapseCount - 1)
		},
	}
	for name, turn := range cases {
		bubble(t, name, func(t *testing.T) {
			b := newBench(t, 4).warm()
			b.each(20)
			turn(t, b)
			if name != "released" { // the others show only with an answer
				b.each(1)
			}
			if b.phase() != state.PhaseCold || b.limit() != 1 {
				t.Errorf("%s with limit %d", b.phase(), b.limit())
			}
			b.fake.mu.Lock()
			b.fake.down, b.fake.answers, b.fake.excess = false, 0, ""
			b.fake.mu.Unlock()
			b.takes(5 * time.Millisecond)
			start := time.Now()
			b.callers(12, 1000)
			took := time.Since(start)
			if b.fake.excess != "" || b.phase() != state.PhaseWarm || b.limit() != 4 || took < 2*RampInterval || took > 5*time.Second {
				t.Errorf("%s on the way to %s, limit %d after %v", b.fake.excess, b.phase(), b.limit(), took)
			}
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

// Guards against waiting work that is sent after its admission ended: target
// leaving, zone out or right ended. The blocker holds the only slot.
func TestWaitingWorkIsRefused(t *testing.T) {
	cases := map[outcome.Reason]func(b *bench, reason *atomic.Value){
		outcome.ReasonLeaving: func(b *bench, _ *atomic.Value) { b.pool.MarkLeaving("t", "i1") },
		outcome.ReasonZoneOut: func(b *bench, r *atomic.Value) {
			r.Store(outcome.ReasonZoneOut)
			b.pool.Reconcile(&state.Snapshot{Targets: map[string]state.Target{"t": b.tgt}})
		},
		// The right ends without any signal; the check before the send notices.
		outcome.ReasonNoRight: func(b *bench, r *atomic.Value) { r.Store(outcome.ReasonNoRight) },
	}
	for want, act := range cases {
		bubble(t, string(want), func(t *testing.T) {
			b := newBench(t, 1)
			b.takes(100 * time.Millisecond)
			var now atomic.Value
			now.Store(outcome.ReasonNone)
			admit := func() (time.Time, int, outcome.Reason) { return time.Time{}, 0, now.Load().(outcome.Reason) }
			var wg sync.WaitGroup
			wg.Go(func() { b.do(b.work("blocker", time.Second)) })
			synctest.Wait()
			start := time.Now()
			wg.Go(func() {
				r := b.pool.Do(t.Context(), b.tgt, b.svc, b.work("waiting", time.Second), admit)
				if r.Code != outcome.NotRun || r.Reason != want {
					t.Errorf("%+v", r)
				}
				if want != outcome.ReasonNoRight && time.Since(start) > 50*time.Millisecond {
					t.Errorf("refused after %v, not at once", time.Since(start))
				}
			})
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			act(b, &now)
			wg.Wait()
			if len(b.fake.order) != 1 {
				t.Errorf("sent: %v", b.fake.order)
			}
		})
	}
}

// Guards against an idempotent request that outlives the holder's right, and
// against cutting off a request that runs at most once.
func TestRightEndsDuringExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.takes(200 * time.Millisecond)
		for _, idempotent := range []bool{true, false} {
			end := time.Now().Add(100 * time.Millisecond)
			w := b.work(fmt.Sprint(idempotent), time.Second)
			w.Idempotent = idempotent
			start := time.Now()
			r := b.pool.Do(t.Context(), b.tgt, b.svc, w, func() (time.Time, int, outcome.Reason) { return end, 0, "" })
			if took := time.Since(start); idempotent && (r.Reason != outcome.ReasonTimeout || took != 100*time.Millisecond) {
				t.Errorf("idempotent: %+v after %v", r, took)
			}
			if !idempotent && r.Code != outcome.Answered {
				t.Errorf("at most once: %+v", r)
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against more requests in flight than the right allows.
func TestRightBoundsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4).warm()
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				b.pool.Do(t.Context(), b.tgt, b.svc, b.work(fmt.Sprint(i), time.Second),
					func() (time.Time, int, outcome.Reason) { return time.Time{}, 2, "" })
			})
		}
		wg.Wait()
		if b.fake.peak != 2 || b.fake.answers != 8 {
			t.Errorf("peak %d, %d answers", b.fake.peak, b.fake.answers)
		}
	})
}

// Guards against goodput that collapses under overload, against urgent requests
// that wait behind less urgent ones, and against late refusals. Slots that are
// spent on requests which expire in flight count as lost.
func TestOverload(t *testing.T) {
	for _, factor := range []int{2, 5} {
		bubble(t, fmt.Sprint(factor), func(t *testing.T) {
			const slots, service, seconds = 2, 10 * time.Millisecond, 4
			b := newBench(t, slots).warm()
			b.takes(service)
			capacity := slots * int(time.Second/service)
			var mu sync.Mutex
			var sent, answered [3]int
			var late, wasted, total int
			var wg sync.WaitGroup
			for i := range capacity * factor * seconds {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(capacity*factor))
					w := b.work(fmt.Sprint(i), 60*time.Millisecond)
					w.Priority = []int{0, 1, 2, 2, 2, 2, 2, 2, 2, 2}[i%10]
					start := time.Now()
					r := b.do(w)
					mu.Lock()
					defer mu.Unlock()
					sent[w.Priority]++
					switch {
					case r.Code == outcome.Answered:
						answered[w.Priority]++
						total++
					case r.Code == outcome.Unknown:
						wasted++
					case time.Since(start) > 60*time.Millisecond:
						late++
					}
				})
			}
			wg.Wait()
			t.Logf("capacity %d, answered %v of %v, wasted %d", capacity*seconds, answered, sent, wasted)
			if total < capacity*seconds*9/10 {
				t.Errorf("goodput %d of %d", total, capacity*seconds)
			}
			if answered[0] < sent[0]*99/100 || wasted > total/100 || late > 0 {
				t.Errorf("critical %d of %d, wasted %d, late refusals %d", answered[0], sent[0], wasted, late)
			}
		})
	}
}

// Guards against a full queue that keeps its least urgent requests.
func TestFullQueueDisplaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.takes(10 * time.Millisecond)
		var wg sync.WaitGroup
		results := make([]outcome.Result, 16)
		for i := range results {
			wg.Go(func() {
				w := b.work(fmt.Sprint(i), 5*time.Second)
				w.Priority = 2
				if i == 15 {
					w.Priority = 0
				}
				time.Sleep(time.Duration(i) * time.Microsecond)
				results[i] = b.do(w)
			})
		}
		wg.Wait()
		// One runs, twelve wait; 13 and 14 find the queue full and 15 displaces 12.
		for i, r := range results {
			if want := i < 12 || i == 15; (r.Code == outcome.Answered) != want {
				t.Errorf("request %d: %+v", i, r)
			}
		}
		if b.fake.order[1] != "15" {
			t.Errorf("order %v", b.fake.order)
		}
	})
}

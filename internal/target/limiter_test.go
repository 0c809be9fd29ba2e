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

// Guards against a limit that rises after too few answers, after answers to
// requests from before the target turned cold, or after answers that did not use
// the current limit in full.
func TestNoRampWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		h.sendOneByOne(RampSuccesses - 1)
		if h.limit() != 1 {
			t.Errorf("limit %d after %d answers", h.limit(), RampSuccesses-1)
		}
		// The target sheds two requests once all twelve have arrived, so that all
		// were sent before it turned cold.
		var arrived sync.WaitGroup
		arrived.Add(12)
		many := newHarness(t, 12).handOverWarm()
		many.fake.handle = func(c net.Conn, r *http.Request) bool {
			arrived.Done()
			if a := r.Header.Get("X-Attempt-Id"); a == "0-0" || a == "1-0" {
				arrived.Wait()
				return many.fake.refuse(c, r, 503, "shed")
			}
			return many.fake.answer(c, r, RampInterval+100*time.Millisecond)
		}
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() { many.send(many.newRequest(fmt.Sprintf("%d-0", i), time.Second)) })
		}
		wg.Wait()
		if many.limit() != 1 {
			t.Errorf("limit %d after answers to requests from before the target turned cold", many.limit())
		}
		wide := newHarness(t, 3)
		wide.service.BearsCold = 2
		wide.sendOneByOne(50)
		if wide.limit() != 2 || wide.phase() != state.PhaseCold {
			t.Errorf("limit %d, %s after single requests below the limit", wide.limit(), wide.phase())
		}
	})
}

// Guards against a target that keeps its full load although it turned cold without
// notice or was released, against callers that together exceed the cold limit, and
// against a limit that rises too fast or never reaches full load.
func TestColdLimitHoldsUntilFullLoad(t *testing.T) {
	cases := map[string]func(t *testing.T, h *harness){
		"released":    func(t *testing.T, h *harness) { h.pool.Release("t") },
		"incarnation": func(t *testing.T, h *harness) { h.fake.incarnation = "i2" },
		"shed": func(t *testing.T, h *harness) {
			h.fake.handle = func(c net.Conn, r *http.Request) bool { return h.fake.refuse(c, r, 503, "shed") }
			h.sendOneByOne(1)
			if h.phase() != state.PhaseWarm || h.limit() != 2 {
				t.Errorf("%s with limit %d after one shed answer", h.phase(), h.limit())
			}
		},
		"refused": func(t *testing.T, h *harness) {
			h.close()
			h.fake.refuseConnections = true
		},
		"slow": func(t *testing.T, h *harness) {
			h.setServiceTime(60 * time.Millisecond)
			h.sendOneByOne(slowCount - 1)
		},
	}
	for name, disturb := range cases {
		runInBubble(t, name, func(t *testing.T) {
			h := newHarness(t, 4).handOverWarm()
			h.sendOneByOne(20)
			disturb(t, h)
			if name != "released" { // the pool notices the others by an exchange
				h.sendOneByOne(1)
			}
			if h.phase() != state.PhaseCold || h.limit() != 1 {
				t.Errorf("%s with limit %d", h.phase(), h.limit())
			}
			h.fake.mu.Lock()
			h.fake.refuseConnections, h.fake.answers, h.fake.firstExcess = false, 0, ""
			h.fake.mu.Unlock()
			h.setServiceTime(5 * time.Millisecond)
			start := time.Now()
			h.runCallersUntilWarm(12, 1000)
			took := time.Since(start)
			if h.fake.firstExcess != "" || h.phase() != state.PhaseWarm || h.limit() != 4 || took < 2*RampInterval || took > 5*time.Second {
				t.Errorf("first excess: %s; phase %s with limit %d after %v", h.fake.firstExcess, h.phase(), h.limit(), took)
			}
		})
	}
}

// Guards against a target that gets further requests although all fail, and against
// more than one probe at a time after the ejection.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4).handOverWarm()
		h.fake.handle = func(_ net.Conn, r *http.Request) bool { h.fake.recordEnd(r, false); return false }
		for i := range failuresToEject {
			h.send(h.newRequest(fmt.Sprint(i), time.Second))
			time.Sleep(abortGrace)
		}
		if h.phase() != state.PhaseEjected || h.limit() != 1 {
			t.Fatalf("%s with limit %d after failures", h.phase(), h.limit())
		}
		time.Sleep(minEjection)
		if h.phase() != state.PhaseCold {
			t.Fatalf("%s after the ejection", h.phase())
		}
		h.send(h.newRequest("probe", time.Second))
		time.Sleep(2*minEjection - time.Millisecond)
		if h.phase() != state.PhaseEjected {
			t.Errorf("%s after a failed probe", h.phase())
		}
		time.Sleep(time.Millisecond)
		h.service.BearsCold = 3
		h.setServiceTime(5 * time.Millisecond)
		h.fake.peakRunning = 0
		h.runCallersUntilWarm(3, 1)
		if h.limit() != 3 || h.phase() != state.PhaseCold || h.fake.peakRunning > 2 {
			t.Errorf("%s, limit %d, peak %d after a good probe", h.phase(), h.limit(), h.fake.peakRunning)
		}
	})
}

// Guards against requests to an incarnation that was once marked as leaving, also
// after its Backend was removed and while the instance list flaps, and against
// refusing its replacement.
func TestLeavingIsSticky(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2).handOverWarm()
		h.send(h.newRequest("a", time.Second))
		h.pool.MarkLeaving("t", "i1")
		h.pool.Reconcile(&state.Snapshot{})
		if len(h.pool.Loads()) != 0 {
			t.Error("an idle Backend of an unlisted target was not removed")
		}
		if r := h.send(h.newRequest("b", time.Second)); r.Reason != outcome.ReasonLeaving {
			t.Errorf("flapping list: %+v", r)
		}
		h.target.Incarnation, h.fake.incarnation = "i2", "i2"
		if r := h.send(h.newRequest("c", time.Second)); r.Code != outcome.Answered || h.limit() != 1 {
			t.Errorf("replacement: %+v, limit %d", r, h.limit())
		}
		h.target.Incarnation = "i1"
		if r := h.send(h.newRequest("d", time.Second)); r.Code != outcome.Answered {
			t.Errorf("lagging list: %+v", r)
		}
	})
}

// Guards against sending waiting requests that are no longer admitted because the
// target is leaving, its zone is out or the lease has ended. The request "blocker"
// holds the only slot meanwhile.
func TestWaitingRequestIsRefused(t *testing.T) {
	cases := map[outcome.Reason]func(h *harness, reason *atomic.Value){
		outcome.ReasonLeaving: func(h *harness, _ *atomic.Value) { h.pool.MarkLeaving("t", "i1") },
		outcome.ReasonZoneOut: func(h *harness, r *atomic.Value) {
			r.Store(outcome.ReasonZoneOut)
			h.pool.Reconcile(&state.Snapshot{Targets: map[string]state.Target{"t": h.target}})
		},
		// The lease ends without a signal; only the check before the send notices.
		outcome.ReasonNoLease: func(h *harness, r *atomic.Value) { r.Store(outcome.ReasonNoLease) },
	}
	for want, endAdmission := range cases {
		runInBubble(t, string(want), func(t *testing.T) {
			h := newHarness(t, 1)
			h.setServiceTime(100 * time.Millisecond)
			var reason atomic.Value
			reason.Store(outcome.ReasonNone)
			admit := func() (time.Time, int, outcome.Reason) { return time.Time{}, 0, reason.Load().(outcome.Reason) }
			var wg sync.WaitGroup
			wg.Go(func() { h.send(h.newRequest("blocker", time.Second)) })
			synctest.Wait()
			start := time.Now()
			wg.Go(func() {
				r := h.pool.Do(t.Context(), h.target, h.service, h.newRequest("waiting", time.Second), admit)
				if r.Code != outcome.NotRun || r.Reason != want {
					t.Errorf("%+v", r)
				}
				if want != outcome.ReasonNoLease && time.Since(start) > 50*time.Millisecond {
					t.Errorf("refused after %v, not at once", time.Since(start))
				}
			})
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			endAdmission(h, &reason)
			wg.Wait()
			if len(h.fake.arrivals) != 1 {
				t.Errorf("sent: %v", h.fake.arrivals)
			}
		})
	}
}

// Guards against an idempotent request that outlives the holder's lease, and
// against aborting an at-most-once request when the lease ends.
func TestLeaseEndsDuringExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.setServiceTime(200 * time.Millisecond)
		for _, idempotent := range []bool{true, false} {
			leaseEnd := time.Now().Add(100 * time.Millisecond)
			w := h.newRequest(fmt.Sprint(idempotent), time.Second)
			w.Idempotent = idempotent
			start := time.Now()
			r := h.pool.Do(t.Context(), h.target, h.service, w, func() (time.Time, int, outcome.Reason) { return leaseEnd, 0, "" })
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

// Guards against more requests in flight than the lease allows, when the limit of
// the target itself is higher.
func TestLeaseBoundsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4).handOverWarm()
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				h.pool.Do(t.Context(), h.target, h.service, h.newRequest(fmt.Sprint(i), time.Second),
					func() (time.Time, int, outcome.Reason) { return time.Time{}, 2, "" })
			})
		}
		wg.Wait()
		if h.fake.peakRunning != 2 || h.fake.answers != 8 {
			t.Errorf("peak %d, %d answers", h.fake.peakRunning, h.fake.answers)
		}
	})
}

// Guards against a collapse of goodput under overload because slots are spent on
// requests that expire in flight, against urgent requests that wait behind less
// urgent ones, and against refusals after the deadline.
func TestOverload(t *testing.T) {
	for _, factor := range []int{2, 5} {
		runInBubble(t, fmt.Sprint(factor), func(t *testing.T) {
			const slots, service, seconds = 2, 10 * time.Millisecond, 4
			h := newHarness(t, slots).handOverWarm()
			h.setServiceTime(service)
			capacity := slots * int(time.Second/service)
			var mu sync.Mutex
			var sent, answered [3]int
			var late, wasted, total int
			var wg sync.WaitGroup
			for i := range capacity * factor * seconds {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(capacity*factor))
					w := h.newRequest(fmt.Sprint(i), 60*time.Millisecond)
					w.Priority = []int{0, 1, 2, 2, 2, 2, 2, 2, 2, 2}[i%10]
					start := time.Now()
					r := h.send(w)
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

// Guards against a full queue that refuses an urgent request instead of its least
// urgent one.
func TestFullQueueDropsLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.setServiceTime(10 * time.Millisecond)
		var wg sync.WaitGroup
		results := make([]outcome.Result, 16)
		for i := range results {
			wg.Go(func() {
				w := h.newRequest(fmt.Sprint(i), 5*time.Second)
				w.Priority = 2
				if i == 15 {
					w.Priority = 0
				}
				time.Sleep(time.Duration(i) * time.Microsecond)
				results[i] = h.send(w)
			})
		}
		wg.Wait()
		// Request 0 runs and 1 to 12 wait. 13 and 14 find the queue full; the urgent
		// request 15 displaces 12.
		for i, r := range results {
			if want := i < 12 || i == 15; (r.Code == outcome.Answered) != want {
				t.Errorf("request %d: %+v", i, r)
			}
		}
		if h.fake.arrivals[1] != "15" {
			t.Errorf("order %v", h.fake.arrivals)
		}
	})
}

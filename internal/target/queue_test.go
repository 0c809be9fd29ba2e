package target

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

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
		t.Run(string(want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
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
				w := b.work(fmt.Sprint(i), time.Second)
				r := b.pool.Do(t.Context(), b.tgt, b.svc, w, func() (time.Time, int, outcome.Reason) { return time.Time{}, 2, "" })
				if r.Code != outcome.Answered {
					t.Errorf("%+v", r)
				}
			})
		}
		wg.Wait()
		if b.fake.peak != 2 {
			t.Errorf("peak %d", b.fake.peak)
		}
	})
}

// Guards against goodput that collapses under overload, against urgent requests
// that wait behind less urgent ones, and against late refusals. Slots that are
// spent on requests which expire in flight count as lost.
func TestOverload(t *testing.T) {
	for _, factor := range []int{2, 5} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const slots, service, seconds = 2, 10 * time.Millisecond, 4
				b := newBench(t, slots).warm()
				b.takes(service)
				capacity := slots * int(time.Second/service)
				var mu sync.Mutex
				var sent, answered [3]int
				var late, wasted int
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
						case r.Code == outcome.Unknown:
							wasted++
						case time.Since(start) > 60*time.Millisecond:
							late++
						}
					})
				}
				wg.Wait()
				total := answered[0] + answered[1] + answered[2]
				t.Logf("capacity %d, answered %v of %v, wasted %d", capacity*seconds, answered, sent, wasted)
				if total < capacity*seconds*9/10 {
					t.Errorf("goodput %d of %d", total, capacity*seconds)
				}
				if answered[0] < sent[0]*99/100 || wasted > total/100 || late > 0 {
					t.Errorf("critical %d of %d, wasted %d, late refusals %d", answered[0], sent[0], wasted, late)
				}
			})
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

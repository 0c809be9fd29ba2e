package target

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Guards against sub-requests of a lost query that keep their places in the
// queue, so that live ones are refused or sent after them, and against newer
// queries that go before older ones of the same priority.
func TestCancelledWorkLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.takes(10 * time.Millisecond)
		lost, cancel := context.WithCancel(t.Context())
		ready := func() (time.Time, int, outcome.Reason) { return time.Time{}, 0, outcome.ReasonNone }
		var wg sync.WaitGroup
		wg.Go(func() { b.do(b.work("running", time.Second)) })
		synctest.Wait()
		for i := range 12 { // the bound of the queue
			wg.Go(func() {
				r := b.pool.Do(lost, b.tgt, b.svc, b.work(fmt.Sprint("lost", i), time.Second/2), ready)
				if r.Code != outcome.NotRun || r.Reason != outcome.ReasonCancelled {
					t.Errorf("cancelled in the queue: %+v", r)
				}
			})
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		for _, age := range []int{1, 3, 2} {
			wg.Go(func() {
				w := b.work(fmt.Sprint("age", age), time.Second-time.Duration(age)*time.Millisecond)
				if r := b.do(w); r.Code != outcome.Answered {
					t.Errorf("age %d: %+v", age, r)
				}
			})
			synctest.Wait()
		}
		wg.Wait()
		if got := fmt.Sprint(b.fake.order); got != "[running age3 age2 age1]" {
			t.Errorf("sent: %s", got)
		}
	})
}

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

// Guards against sub-requests of a cancelled query that stay in the queue, so that
// others are refused or wait behind them, and against sending sub-requests with a
// later deadline before those of the same priority with an earlier one.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.setServiceTime(10 * time.Millisecond)
		cancelled, cancel := context.WithCancel(t.Context())
		admit := func() (time.Time, int, outcome.Reason) { return time.Time{}, 0, outcome.ReasonNone }
		var wg sync.WaitGroup
		wg.Go(func() { h.send(h.newRequest("running", time.Second)) })
		synctest.Wait()
		for i := range 12 { // as many as the queue holds
			wg.Go(func() {
				r := h.pool.Do(cancelled, h.target, h.service, h.newRequest(fmt.Sprint("lost", i), time.Second/2), admit)
				if r.Code != outcome.NotRun || r.Reason != outcome.ReasonCancelled {
					t.Errorf("cancelled while waiting: %+v", r)
				}
			})
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		for _, age := range []int{1, 3, 2} {
			wg.Go(func() {
				w := h.newRequest(fmt.Sprint("age", age), time.Second-time.Duration(age)*time.Millisecond)
				if r := h.send(w); r.Code != outcome.Answered {
					t.Errorf("age %d: %+v", age, r)
				}
			})
			synctest.Wait()
		}
		wg.Wait()
		if got := fmt.Sprint(h.fake.arrivals); got != "[running age3 age2 age1]" {
			t.Errorf("sent: %s", got)
		}
	})
}

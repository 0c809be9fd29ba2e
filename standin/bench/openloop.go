package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
)

// Event is one request of an OpenLoop. Planned is its planned arrival; times count
// from the start of the load.
type Event struct {
	Planned, Ended   time.Duration
	Outcome, Reason  string
	Answered, Shards int // the coverage that the answer states
}

// Latency returns the time from the planned arrival to the end, so that a stalled
// system does not hide its delay by slowing the load.
func (e Event) Latency() time.Duration { return e.Ended - e.Planned }

// OpenLoop sends requests with random arrivals, at a mean rate per second for d, and
// waits for all answers. An arrival while maxInFlight requests are open is not sent
// and ends at once as harness.OutcomeNotSent.
func OpenLoop(ctx context.Context, rate float64, d time.Duration, seed uint64, maxInFlight int, call func(n int) harness.Reply) []Event {
	rng := rand.New(rand.NewPCG(seed, 0x0be9))
	slots := make(chan struct{}, maxInFlight)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var events []Event
	begin := time.Now()
	for planned, n := time.Duration(0), 0; ctx.Err() == nil; n++ {
		planned += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if planned > d {
			break
		}
		time.Sleep(time.Until(begin.Add(planned)))
		e := Event{Planned: planned}
		select {
		case slots <- struct{}{}:
		default:
			e.Ended, e.Outcome = planned, harness.OutcomeNotSent
			mu.Lock()
			events = append(events, e)
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			r := call(n)
			<-slots
			e.Ended, e.Outcome, e.Reason = time.Since(begin), r.Outcome, r.Reason
			e.Answered, e.Shards = r.Coverage.Answered, r.Coverage.Total
			mu.Lock()
			events = append(events, e)
			mu.Unlock()
		})
	}
	wg.Wait()
	return events
}

// CountOutcomes counts events by outcome and reason.
func CountOutcomes(events []Event) map[string]int {
	counts := map[string]int{}
	for _, e := range events {
		counts[e.Outcome+" "+e.Reason]++
	}
	return counts
}

// SortedLatencies returns the latencies in milliseconds, sorted, of the events for
// which keep returns true.
func SortedLatencies(events []Event, keep func(Event) bool) []float64 {
	var ms []float64
	for _, e := range events {
		if keep(e) {
			ms = append(ms, float64(e.Latency().Microseconds())/1000)
		}
	}
	slices.Sort(ms)
	return ms
}

// QuantileOfSorted returns a quantile between 0 and 1 of sorted values, 0 if there
// are none.
func QuantileOfSorted(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

package gateway

import (
	"sync/atomic"
	"time"
)

const (
	refusalWindow = 500 * time.Millisecond
	// An entry is overloaded if at least overloadCount attempts, and the share
	// overloadShare of the attempts, were refused within the refusal windows. The
	// refusals of one cold or slow replica of many stay below the share.
	overloadShare = 0.1
	overloadCount = 5
)

// refusalCounter counts attempts (or searches) and those that were refused for
// load, in the current and the previous window. A few counts may be lost when a
// window begins. It is lock-free.
type refusalCounter struct {
	windows [2]struct{ number, attempts, refused atomic.Int64 }
}

// record counts one attempt. It reports whether the attempt was refused and, with
// it, at least count attempts and the given share of all attempts in the windows.
func (r *refusalCounter) record(now time.Time, refused bool, count int64, share float64) bool {
	number := now.UnixNano() / int64(refusalWindow)
	w := &r.windows[number%2]
	if old := w.number.Load(); old != number && w.number.CompareAndSwap(old, number) {
		w.attempts.Store(0)
		w.refused.Store(0)
	}
	w.attempts.Add(1)
	if !refused {
		return false
	}
	w.refused.Add(1)
	total, totalRefused := int64(0), int64(0)
	for i := range r.windows {
		if w := &r.windows[i]; w.number.Load() >= number-1 {
			total += w.attempts.Load()
			totalRefused += w.refused.Load()
		}
	}
	return totalRefused >= count && float64(totalRefused) >= share*float64(total)
}

// RecordAttempt records the end of one attempt. It records overload if the number
// and share of attempts that were refused for load are high.
func (b *Budget) RecordAttempt(now time.Time, refused bool) {
	if b.refusals.record(now, refused, overloadCount, overloadShare) {
		b.RecordOverload(now)
	}
}

package gateway

import (
	"sync/atomic"
	"time"
)

const (
	refusalWindow = 500 * time.Millisecond
	// overloadShare and overloadCount say from which share and number of
	// refused attempts an entry sees overload. One cold or slow replica of many
	// stays below the share.
	overloadShare = 0.1
	overloadCount = 5
)

// refusals counts attempts, or searches, and refusals for load in the present and the
// previous window. A few counts may be lost when a window begins.
type refusals struct {
	windows [2]struct{ number, attempts, refused atomic.Int64 }
}

// note records the end of one attempt. It reports whether the attempt was
// refused and with it at least count and share of all in the windows.
func (r *refusals) note(now time.Time, refused bool, count int64, share float64) bool {
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
	all, lost := int64(0), int64(0)
	for i := range r.windows {
		if w := &r.windows[i]; w.number.Load() >= number-1 {
			all += w.attempts.Load()
			lost += w.refused.Load()
		}
	}
	return lost >= count && float64(lost) >= share*float64(all)
}

// NoteAttempt records the end of one attempt. Hedges and retries stay off for
// overloadTime if the share of refusals for load is high.
func (b *Budget) NoteAttempt(now time.Time, refused bool) {
	if b.refusals.note(now, refused, overloadCount, overloadShare) {
		b.NoteOverload(now)
	}
}

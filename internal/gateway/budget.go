package gateway

import (
	"sync/atomic"
	"time"
)

// Budget bounds the extra sub-requests that hedges and retries cause. A first
// attempt adds 0.04 tokens and at most 2.5 are saved, so that 2,000 first
// attempts over 8 entries allow at most 80 + 8 × 2.5 extra ones, which is 5%.
// It starts empty and is lock-free.
type Budget struct {
	milli    atomic.Int64
	overload atomic.Int64
	refusals refusals
}

const (
	milliPerFirst = 40
	milliPerExtra = 1000
	maxMilli      = 2500
	// overloadTime is how long an observed overload keeps hedges and retries off.
	overloadTime = time.Second
)

// First adds the share of one first attempt.
func (b *Budget) First() {
	for {
		old := b.milli.Load()
		if old >= maxMilli || b.milli.CompareAndSwap(old, min(old+milliPerFirst, maxMilli)) {
			return
		}
	}
}

// Take takes one token and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		old := b.milli.Load()
		if old < milliPerExtra {
			return false
		}
		if b.milli.CompareAndSwap(old, old-milliPerExtra) {
			return true
		}
	}
}

// Tokens returns the whole and partial tokens left.
func (b *Budget) Tokens() float64 { return float64(b.milli.Load()) / milliPerExtra }

// NoteOverload records that this entry refused a request or that holders
// refuse many.
func (b *Budget) NoteOverload(now time.Time) { b.overload.Store(now.UnixNano()) }

// Overloaded reports whether overload was recorded in the last second.
func (b *Budget) Overloaded(now time.Time) bool {
	at := b.overload.Load()
	return at != 0 && now.UnixNano()-at < int64(overloadTime)
}

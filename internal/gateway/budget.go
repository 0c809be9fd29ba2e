package gateway

import (
	"sync/atomic"
	"time"
)

// Budget is the retry budget of one entry: a token bucket that bounds the extra
// sub-requests of hedges and retries. Each first attempt adds 0.04 tokens, each
// extra sub-request takes one, and at most 2.5 tokens are saved. 2,000 first
// attempts over 8 entries thus allow at most 80 + 8 × 2.5 = 100 extra
// sub-requests, which is 5%. The budget starts empty. It is lock-free.
type Budget struct {
	milliTokens atomic.Int64
	overloadAt  atomic.Int64 // Unix nanoseconds of the last recorded overload; 0 means never
	refusals    refusalCounter
}

const (
	// In thousandths of a token.
	milliPerFirstAttempt = 40
	milliPerToken        = 1000
	maxMilliTokens       = 2500

	// overloadHold is how long no hedges and retries are sent after an overload
	// was observed.
	overloadHold = time.Second
)

// AddFirstAttempt adds the tokens of one first attempt.
func (b *Budget) AddFirstAttempt() {
	for {
		old := b.milliTokens.Load()
		if old >= maxMilliTokens || b.milliTokens.CompareAndSwap(old, min(old+milliPerFirstAttempt, maxMilliTokens)) {
			return
		}
	}
}

// TakeToken takes one token, and reports false if none is left.
func (b *Budget) TakeToken() bool {
	for {
		old := b.milliTokens.Load()
		if old < milliPerToken {
			return false
		}
		if b.milliTokens.CompareAndSwap(old, old-milliPerToken) {
			return true
		}
	}
}

// Tokens returns the number of tokens left, with fractions.
func (b *Budget) Tokens() float64 { return float64(b.milliTokens.Load()) / milliPerToken }

// RecordOverload records that this entry refused a request, or that holders
// refuse a high share of sub-requests.
func (b *Budget) RecordOverload(now time.Time) { b.overloadAt.Store(now.UnixNano()) }

// Overloaded reports whether overload was recorded in the last second.
func (b *Budget) Overloaded(now time.Time) bool {
	at := b.overloadAt.Load()
	return at != 0 && now.UnixNano()-at < int64(overloadHold)
}

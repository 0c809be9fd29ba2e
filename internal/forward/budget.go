package forward

import (
	"sync"
	"time"
)

// RetryBudget bounds the repeats that this instance sends to each service: hedges
// and retries, also those after a replica rejected the request. Each instance spends
// at most its share of the slack plus a ratio of its own requests, in any window. The
// sum over all instances therefore stays within the bound without coordination. It
// is safe for concurrent use.
type RetryBudget struct {
	mu           sync.Mutex
	ratio, slack float64
	window       time.Duration
	services     map[string]*repeatBucket
}

// repeatBucket holds the repeats that are left for a service.
type repeatBucket struct {
	tokens     float64
	share      float64 // of the slack
	refilledAt time.Time
}

const (
	// usableBudgetShare is the part of the bound that is spent. The rest covers
	// instances that the others have not discovered yet.
	usableBudgetShare = 0.97
	// burstShare is the part of its share of the slack that an instance may spend at
	// once. The rest comes in over the window, so that both together stay within the
	// share in any window.
	burstShare = 0.5
)

// NewRetryBudget returns an empty RetryBudget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{services: map[string]*repeatBucket{}} }

// SetBounds sets the bound over all instances: ratio repeats for each request,
// plus slack repeats in any window.
func (b *RetryBudget) SetBounds(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.window = ratio*usableBudgetShare, slack*usableBudgetShare, window
}

// AddRequest adds to the budget of a service for one request of a caller. instances
// is the number of instances that share the bound.
func (b *RetryBudget) AddRequest(service string, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(service, now)
	t.share = b.slack / float64(max(instances, 1))
	t.tokens = min(t.tokens+b.ratio, max(t.share*burstShare, 1))
}

// refill returns the bucket of a service with what has come in over time. b.mu is held.
func (b *RetryBudget) refill(service string, now time.Time) *repeatBucket {
	t := b.services[service]
	if t == nil {
		// Starts with one token: the share may have been spent before a restart.
		t = &repeatBucket{tokens: 1, refilledAt: now}
		b.services[service] = t
	}
	if passed := now.Sub(t.refilledAt); passed > 0 && b.window > 0 {
		income := t.share * (1 - burstShare) * passed.Seconds() / b.window.Seconds()
		t.tokens = max(t.tokens, min(t.tokens+income, t.share*burstShare))
		t.refilledAt = now
	}
	return t
}

// TrySpend spends one repeat for a service. It returns false if none is left.
func (b *RetryBudget) TrySpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(service, now)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Refund gives back a repeat that was spent but not sent.
func (b *RetryBudget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.services[service]; t != nil {
		t.tokens++
	}
}

// Share divides a bound equally among n senders, rounded down.
func Share(bound float64, n int) int { return int(bound / float64(max(n, 1))) }

// RetryAfter returns the delay after which a caller may resend a refused request:
// a part of the objective, so that the new attempt can still meet it.
func RetryAfter(objective time.Duration) time.Duration {
	return max(min(objective/4, maxRetryAfter), minRetryAfter)
}

const (
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is shorter than the time after which an ejected replica is tried again.
	maxRetryAfter = 250 * time.Millisecond
)

package forward

import (
	"sync"
	"time"
)

// RetryBudget bounds the repeats that this instance sends to each service: hedges
// and retries, also those after a replica rejected the request. Each instance spends
// at most its share of the slack plus a ratio of its own requests, in any period. The
// sum over all instances therefore stays within the bound without coordination. It
// is safe for concurrent use.
type RetryBudget struct {
	mu           sync.Mutex
	ratio, slack float64
	services     map[string]float64 // repeats left
}

// usableBudgetShare is the part of the bound that is spent. The rest covers
// instances that the others have not discovered yet.
const usableBudgetShare = 0.97

// NewRetryBudget returns an empty RetryBudget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{services: map[string]float64{}} }

// SetBounds sets the bound over all instances: ratio repeats for each request,
// plus slack repeats in any period.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio*usableBudgetShare, slack*usableBudgetShare
}

// AddRequest adds to the budget of a service for one request of a caller. instances
// is the number of instances that share the bound.
func (b *RetryBudget) AddRequest(service string, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.slack / float64(instances)
	tokens, known := b.services[service]
	if !known {
		// Starts with one token: the share may have been spent before a restart.
		tokens = 1
	}
	b.services[service] = min(tokens+b.ratio, max(limit, 1))
}

// TrySpend spends one repeat for a service. It returns false if none is left.
func (b *RetryBudget) TrySpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[service] < 1 {
		return false
	}
	b.services[service]--
	return true
}

// Refund gives back a repeat that was spent but not sent.
func (b *RetryBudget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service]++
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

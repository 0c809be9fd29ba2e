package forward

import (
	"sync"
	"time"
)

// Budget bounds the repeats that this daemon sends to each service: hedges,
// retries and whatever replicas reject. In any span, a daemon spends at most
// its share of the slack and a ratio of its own requests, so that all daemons
// together keep the bound on the service without a word to each other.
type Budget struct {
	mu           sync.Mutex
	ratio, slack float64
	services     map[string]float64 // tokens left
}

// budgetShare is the part of the bound that is used. The rest covers daemons
// that the others do not know of yet.
const budgetShare = 0.97

// NewBudget returns a Budget without any repeats.
func NewBudget() *Budget { return &Budget{services: map[string]float64{}} }

// SetBounds allows ratio repeats a request and slack repeats in each window,
// over all daemons.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio*budgetShare, slack*budgetShare
}

// Request counts one request of a caller for a service.
func (b *Budget) Request(service string, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.slack / float64(daemons)
	tokens, known := b.services[service]
	if !known {
		// Not the whole share: it may have been spent before a restart.
		tokens = 1
	}
	b.services[service] = min(tokens+b.ratio, max(limit, 1))
}

// Take takes one repeat for a service and reports whether there was one.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[service] < 1 {
		return false
	}
	b.services[service]--
	return true
}

// Return gives a repeat back that was not sent.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service]++
}

// Share returns the share of a bound over all senders that n senders have each.
func Share(bound float64, n int) int { return int(bound / float64(max(n, 1))) }

// RetryHint is when a refused request may be sent again: soon enough that the
// new attempt can still be in time.
func RetryHint(objective time.Duration) time.Duration {
	return max(min(objective/4, maxRetryHint), minRetryHint)
}

const (
	// minRetryHint keeps refused callers from coming back at once.
	minRetryHint = 20 * time.Millisecond
	// maxRetryHint is below the time in which an ejected replica is tried again.
	maxRetryHint = 250 * time.Millisecond
)

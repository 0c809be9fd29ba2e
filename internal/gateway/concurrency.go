package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

const (
	// minConcurrency is the lower bound of each limit, in searches, so that every
	// instance keeps probing with each priority. It is small because a target may
	// get this many searches from every instance at the same time.
	minConcurrency = 2
	// decreaseFactor multiplies the limit on a decrease.
	decreaseFactor = 0.7
	// partialLossShare is the share of shards lost for load above which a partial
	// search counts as lost. One hot shard must not lower the limit and leave the
	// other shards idle.
	partialLossShare = 0.1
	// The limit is decreased only if at least decreaseMinLost searches, and the
	// share decreaseMinShare of the searches, were lost within the refusal
	// windows. One search that met a cold replica thus does not decrease it.
	decreaseMinLost  = 2
	decreaseMinShare = 0.1
)

// ConcurrencyLimit is an adaptive limit on the searches of one priority in flight at
// this entry, with additive increase and, when searches are lost for load,
// multiplicative decrease (AIMD). Each priority has its own limit, because
// holders serve the priorities in strict order: browse searches lose shards
// first and their limit falls first. It is lock-free.
type ConcurrencyLimit struct {
	max         float64
	limit       atomic.Uint64 // bits of a float64
	inFlight    atomic.Int64
	decreasedAt atomic.Int64 // Unix nanoseconds of the last decrease
	losses      refusalCounter
}

// NewConcurrencyLimit returns a ConcurrencyLimit that starts at its upper bound.
func NewConcurrencyLimit(upper int) *ConcurrencyLimit {
	c := &ConcurrencyLimit{max: max(float64(upper), minConcurrency)}
	c.limit.Store(math.Float64bits(c.max))
	return c
}

// Limit returns the current limit.
func (c *ConcurrencyLimit) Limit() float64 { return math.Float64frombits(c.limit.Load()) }

// Enter reports whether a search is admitted. Each admitted search must end
// with Leave.
func (c *ConcurrencyLimit) Enter() bool {
	if float64(c.inFlight.Add(1)) > c.Limit() {
		c.inFlight.Add(-1)
		return false
	}
	return true
}

// Leave ends an admitted search and adapts the limit. lost says that the search
// was lost for load. Searches that started before the last decrease say nothing
// about the current limit and do not change it.
func (c *ConcurrencyLimit) Leave(started, now time.Time, lost bool) {
	used := float64(c.inFlight.Add(-1) + 1)
	mayDecrease := c.losses.record(now, lost, decreaseMinLost, decreaseMinShare)
	bits := c.limit.Load()
	limit := math.Float64frombits(bits)
	decreasedAt := c.decreasedAt.Load()
	switch {
	case started.UnixNano() < decreasedAt:
	case !lost:
		// The limit grows only while at least half of it is used. Otherwise it
		// would rise above every concurrency that was ever tried.
		if used >= limit/2 {
			// The swap fails if the limit was decreased concurrently.
			c.limit.CompareAndSwap(bits, math.Float64bits(min(limit+1/limit, c.max)))
		}
	case mayDecrease && c.decreasedAt.CompareAndSwap(decreasedAt, now.UnixNano()):
		c.limit.Store(math.Float64bits(max(min(limit, used)*decreaseFactor, minConcurrency)))
	}
}

// limitConcurrency refuses searches above the adaptive limit of their priority
// before anything is sent.
func (g *Gateway) limitConcurrency(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		c := g.concurrency[q.Priority]
		if !c.Enter() {
			g.budget.RecordOverload(time.Now())
			return refused(outcome.ReasonOverload)
		}
		started := time.Now()
		reply := next(ctx, q)
		c.Leave(started, time.Now(), isLostForLoad(q))
		return reply
	}
}

// isLostForLoad reports whether a search lost more shards to refusals for load
// than its class tolerates: none if it needs all shards, else partialLossShare.
func isLostForLoad(q *Query) bool {
	allowed := 0.0
	if !q.needsAllShards() {
		allowed = partialLossShare * float64(len(q.Plan.Shards))
	}
	return float64(q.lostForLoad) > allowed
}

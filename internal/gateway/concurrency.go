package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

const (
	// minConcurrency keeps each priority probing at any instance. It is small
	// because all instances together may offer this many queries to a target.
	minConcurrency = 2
	// cutFactor is the multiplicative decrease.
	cutFactor = 0.7
	// lossShare is the share of shards lost for load above which a partial
	// search counts as lost. One hot shard must not keep the others idle.
	lossShare = 0.1
	// A cut needs cutCount lost searches and cutShare of those that ended
	// within the window of refusals, so that one search that met a cold replica
	// does not cut the limit.
	cutCount = 2
	cutShare = 0.1
)

// Concurrency is an adaptive limit of the searches of one priority in flight
// at this entry: additive increase, and multiplicative decrease when a search
// was lost for load. Each priority has its own limit, because holders serve
// the priorities in strict order: browse searches lose shards first and their
// limit falls first. It is lock-free.
type Concurrency struct {
	max      float64
	limit    atomic.Uint64 // bits of a float64
	inFlight atomic.Int64
	cutAt    atomic.Int64 // Unix nanoseconds of the last decrease
	losses   refusals
}

// NewConcurrency returns a Concurrency that starts at its upper bound.
func NewConcurrency(upper int) *Concurrency {
	c := &Concurrency{max: max(float64(upper), minConcurrency)}
	c.limit.Store(math.Float64bits(c.max))
	return c
}

// Limit returns the present limit.
func (c *Concurrency) Limit() float64 { return math.Float64frombits(c.limit.Load()) }

// Enter admits a search or refuses it. An admitted search calls Leave.
func (c *Concurrency) Enter() bool {
	if float64(c.inFlight.Add(1)) > c.Limit() {
		c.inFlight.Add(-1)
		return false
	}
	return true
}

// Leave ends an admitted search that started at a time. Searches that started
// before the last decrease say nothing of the present limit.
func (c *Concurrency) Leave(started, now time.Time, lost bool) {
	used := float64(c.inFlight.Add(-1) + 1)
	mayCut := c.losses.note(now, lost, cutCount, cutShare)
	bits := c.limit.Load()
	limit := math.Float64frombits(bits)
	cutAt := c.cutAt.Load()
	switch {
	case started.UnixNano() < cutAt:
	case !lost:
		// Without use the limit would grow past anything that was tried.
		if used >= limit/2 {
			// An increase never overwrites a concurrent decrease.
			c.limit.CompareAndSwap(bits, math.Float64bits(min(limit+1/limit, c.max)))
		}
	case mayCut && c.cutAt.CompareAndSwap(cutAt, now.UnixNano()):
		c.limit.Store(math.Float64bits(max(min(limit, used)*cutFactor, minConcurrency)))
	}
}

// limitLoad refuses searches above the adaptive limit before anything is sent.
func (g *Gateway) limitLoad(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		c := g.concurrency[q.Priority]
		if !c.Enter() {
			g.budget.NoteOverload(time.Now())
			return refused(outcome.ReasonOverload)
		}
		started := time.Now()
		reply := next(ctx, q)
		c.Leave(started, time.Now(), isLostForLoad(q))
		return reply
	}
}

func isLostForLoad(q *Query) bool {
	allowed := 0.0
	if !q.needsAll() {
		allowed = lossShare * float64(len(q.Plan.Shards))
	}
	return float64(q.lostForLoad) > allowed
}

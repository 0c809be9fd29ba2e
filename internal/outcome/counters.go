package outcome

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Counters counts results by outcome and reason. It caches the tagged counters,
// because tagging a scope allocates. It is safe for concurrent use.
type Counters struct {
	scope tally.Scope

	mu       sync.RWMutex
	counters map[counterKey]tally.Counter
}

type counterKey struct {
	code   Code
	reason Reason
}

// NewCounters returns Counters that count under the name "requests" in the scope.
func NewCounters(scope tally.Scope) *Counters {
	return &Counters{scope: scope, counters: map[counterKey]tally.Counter{}}
}

// Count counts one result.
func (c *Counters) Count(r Result) {
	key := counterKey{r.Code, r.Reason}
	c.mu.RLock()
	counter, ok := c.counters[key]
	c.mu.RUnlock()
	if !ok {
		c.mu.Lock()
		if counter, ok = c.counters[key]; !ok {
			counter = c.scope.Tagged(map[string]string{"outcome": string(r.Code), "reason": string(r.Reason)}).Counter("requests")
			c.counters[key] = counter
		}
		c.mu.Unlock()
	}
	counter.Inc(1)
}

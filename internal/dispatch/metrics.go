package dispatch

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

type resultKey struct {
	code   outcome.Code
	reason outcome.Reason
}

// metrics caches the counters, because tagging a scope allocates.
type metrics struct {
	scope    tally.Scope
	running  tally.Gauge
	inFlight atomic.Int64

	mu       sync.RWMutex
	counters map[resultKey]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("dispatch")
	return &metrics{scope: scope, running: scope.Gauge("in_flight"), counters: map[resultKey]tally.Counter{}}
}

// count counts a sub-request by outcome and reason.
func (m *metrics) count(r outcome.Result) {
	key := resultKey{r.Code, r.Reason}
	m.mu.RLock()
	c, ok := m.counters[key]
	m.mu.RUnlock()
	if !ok {
		m.mu.Lock()
		if c, ok = m.counters[key]; !ok {
			c = m.scope.Tagged(map[string]string{"outcome": string(r.Code), "reason": string(r.Reason)}).Counter("requests")
			m.counters[key] = c
		}
		m.mu.Unlock()
	}
	c.Inc(1)
}

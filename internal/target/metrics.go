package target

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

type resultKey struct {
	code   outcome.Code
	reason outcome.Reason
}

// gauges of one target.
type gauges struct{ queued, limit, inFlight, phase tally.Gauge }

type metrics struct {
	scope tally.Scope

	mu       sync.RWMutex
	counters map[resultKey]tally.Counter
	targets  map[string]gauges
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{scope: scope.SubScope("target"), counters: map[resultKey]tally.Counter{}, targets: map[string]gauges{}}
}

// count counts a request by outcome and reason.
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

var phaseNumber = map[state.Phase]float64{
	state.PhaseCold: 0, state.PhaseWarming: 1, state.PhaseWarm: 2, state.PhaseEjected: 3, state.PhaseLeaving: 4,
}

func (m *metrics) gauge(l state.Load) {
	m.mu.Lock()
	g, ok := m.targets[l.Target]
	if !ok {
		s := m.scope.Tagged(map[string]string{"target": l.Target})
		g = gauges{s.Gauge("queued"), s.Gauge("limit"), s.Gauge("in_flight"), s.Gauge("phase")}
		m.targets[l.Target] = g
	}
	m.mu.Unlock()
	g.queued.Update(float64(l.Queued))
	g.limit.Update(float64(l.Limit))
	g.inFlight.Update(float64(l.InFlight))
	g.phase.Update(phaseNumber[l.Phase])
}

// remove sets the gauges of a target that is gone to zero.
func (m *metrics) remove(target string) {
	m.mu.Lock()
	g, ok := m.targets[target]
	delete(m.targets, target)
	m.mu.Unlock()
	if ok {
		g.queued.Update(0)
		g.limit.Update(0)
		g.inFlight.Update(0)
		g.phase.Update(0)
	}
}

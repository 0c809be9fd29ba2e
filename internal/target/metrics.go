package target

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// gauges of one target.
type gauges struct{ queued, limit, inFlight, phase tally.Gauge }

type metrics struct {
	scope   tally.Scope
	results *outcome.Counters

	mu      sync.Mutex
	targets map[string]gauges
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("target")
	return &metrics{scope: scope, results: outcome.NewCounters(scope), targets: map[string]gauges{}}
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

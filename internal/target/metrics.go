package target

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// gauges are the gauges of one target.
type gauges struct{ queued, limit, inFlight, phase tally.Gauge }

type metrics struct {
	scope   tally.Scope
	results *outcome.Counters

	mu             sync.Mutex
	gaugesByTarget map[string]gauges
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("target")
	return &metrics{scope: scope, results: outcome.NewCounters(scope), gaugesByTarget: map[string]gauges{}}
}

// phaseNumber is the value of the gauge for each phase.
var phaseNumber = map[state.Phase]float64{
	state.PhaseCold: 0, state.PhaseWarming: 1, state.PhaseWarm: 2, state.PhaseEjected: 3, state.PhaseLeaving: 4,
}

func (m *metrics) updateGauges(l state.Load) {
	m.mu.Lock()
	g, ok := m.gaugesByTarget[l.Target]
	if !ok {
		s := m.scope.Tagged(map[string]string{"target": l.Target})
		g = gauges{s.Gauge("queued"), s.Gauge("limit"), s.Gauge("in_flight"), s.Gauge("phase")}
		m.gaugesByTarget[l.Target] = g
	}
	m.mu.Unlock()
	g.queued.Update(float64(l.Queued))
	g.limit.Update(float64(l.Limit))
	g.inFlight.Update(float64(l.InFlight))
	g.phase.Update(phaseNumber[l.Phase])
}

// removeGauges sets the gauges of a removed target to zero.
func (m *metrics) removeGauges(target string) {
	m.mu.Lock()
	g, ok := m.gaugesByTarget[target]
	delete(m.gaugesByTarget, target)
	m.mu.Unlock()
	if ok {
		g.queued.Update(0)
		g.limit.Update(0)
		g.inFlight.Update(0)
		g.phase.Update(0)
	}
}

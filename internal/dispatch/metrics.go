package dispatch

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

type metrics struct {
	outcomes      *outcome.Counters
	inFlightGauge tally.Gauge
	inFlight      atomic.Int64
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("dispatch")
	return &metrics{outcomes: outcome.NewCounters(scope), inFlightGauge: scope.Gauge("in_flight")}
}

package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)

var coverageBuckets = tally.ValueBuckets{0, 0.5, 0.9, 0.95, 0.99, 0.999, 1}

type metrics struct {
	scope       tally.Scope
	first       tally.Counter
	hedges      tally.Counter
	hedgeWins   tally.Counter
	retries     tally.Counter
	reroutes    tally.Counter
	restarts    tally.Counter
	dropped     tally.Counter
	budgetEmpty tally.Counter
	tokens      tally.Gauge
	inFlight    tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	extra := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"kind": kind}).Counter("sub_requests")
	}
	return &metrics{
		scope: scope, first: extra("first"), hedges: extra("hedge"), retries: extra("retry"), reroutes: extra("reroute"),
		hedgeWins: scope.Counter("hedge_wins"), restarts: scope.Counter("snapshot_restarts"),
		dropped: scope.Counter("dropped_replies"), budgetEmpty: scope.Counter("budget_refusals"),
		tokens: scope.Gauge("budget_tokens"), inFlight: scope.Gauge("in_flight"),
	}
}

// search records the end of one search.
func (m *metrics) search(name string, r SearchReply, took time.Duration) {
	if r.Result.Code == outcome.Invalid {
		name = "" // names that are not declared would grow the set of series
	}
	s := m.scope.Tagged(map[string]string{"search": name})
	s.Tagged(map[string]string{"outcome": string(r.Result.Code), "reason": string(r.Result.Reason)}).Counter("queries").Inc(1)
	s.Histogram("latency", latencyBuckets).RecordDuration(took)
	if r.Coverage.Total > 0 {
		s.Histogram("coverage", coverageBuckets).RecordValue(float64(r.Coverage.Answered) / float64(r.Coverage.Total))
	}
}

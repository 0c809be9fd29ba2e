package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)

var coverageBuckets = tally.ValueBuckets{0, 0.5, 0.9, 0.95, 0.99, 0.999, 1}

type metrics struct {
	scope          tally.Scope
	firstAttempts  tally.Counter
	hedges         tally.Counter
	hedgeWins      tally.Counter
	retries        tally.Counter
	reroutes       tally.Counter
	restarts       tally.Counter
	droppedReplies tally.Counter
	budgetRefusals tally.Counter
	budgetTokens   tally.Gauge
	inFlight       tally.Gauge
	ends           sync.Map // endKey to *endMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	subRequests := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"kind": kind}).Counter("sub_requests")
	}
	return &metrics{
		scope: scope, firstAttempts: subRequests("first"), hedges: subRequests("hedge"), retries: subRequests("retry"), reroutes: subRequests("reroute"),
		hedgeWins: scope.Counter("hedge_wins"), restarts: scope.Counter("snapshot_restarts"),
		droppedReplies: scope.Counter("dropped_replies"), budgetRefusals: scope.Counter("budget_refusals"),
		budgetTokens: scope.Gauge("budget_tokens"), inFlight: scope.Gauge("in_flight"),
	}
}

// endKey selects the metrics of searches or operations of one name that ended
// with one outcome.
type endKey struct {
	kind, name string
	code       outcome.Code
	reason     outcome.Reason
}

// endMetrics are created once for each endKey, because a tagged scope takes a
// lock and allocates. Prometheus requires the same label names for all metrics
// of one name, so the metrics of searches and operations have different names.
type endMetrics struct {
	count    tally.Counter
	latency  tally.Histogram
	coverage tally.Histogram
}

func (m *metrics) metricsOf(k endKey) *endMetrics {
	if v, ok := m.ends.Load(k); ok {
		return v.(*endMetrics)
	}
	s := m.scope.Tagged(map[string]string{k.kind: k.name})
	ended := s.Tagged(map[string]string{"outcome": string(k.code), "reason": string(k.reason)})
	e := &endMetrics{}
	if k.kind == "search" {
		e.count, e.latency = ended.Counter("queries"), s.Histogram("latency", latencyBuckets)
		e.coverage = s.Histogram("coverage", coverageBuckets)
	} else {
		e.count, e.latency = ended.Counter("operations"), s.Histogram("operation_latency", latencyBuckets)
	}
	v, _ := m.ends.LoadOrStore(k, e)
	return v.(*endMetrics)
}

// recordSearch records the end of one search.
func (m *metrics) recordSearch(name string, r SearchReply, took time.Duration) {
	if r.Result.Code == outcome.Invalid {
		name = "" // undeclared names would add series without bound
	}
	e := m.metricsOf(endKey{"search", name, r.Result.Code, r.Result.Reason})
	e.count.Inc(1)
	e.latency.RecordDuration(took)
	if r.Coverage.Total > 0 {
		e.coverage.RecordValue(float64(r.Coverage.Answered) / float64(r.Coverage.Total))
	}
}

// recordOperation records the end of one at-most-once request.
func (m *metrics) recordOperation(name string, r outcome.Result, took time.Duration) {
	e := m.metricsOf(endKey{"operation", name, r.Code, r.Reason})
	e.count.Inc(1)
	e.latency.RecordDuration(took)
}

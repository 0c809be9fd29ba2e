package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Options are the settings of a Gateway.
type Options struct {
	// Zone is the availability zone of the instance.
	Zone string
	// MaxInFlight bounds the requests in flight, by default 256.
	MaxInFlight int
	// Trace logs the input and output of each plan.
	Trace  bool
	Policy Policy
	// RoundTrips returns the measured round trips to other instances, by name, in
	// a map that is never changed afterwards. If nil, none are known.
	RoundTrips func() map[string]time.Duration
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Gateway answers searches and at-most-once requests of callers. It is safe
// for concurrent use and takes no lock on the path of a request.
type Gateway struct {
	logger     *log.Logger
	store      *state.Store
	fresh      Freshness
	executor   Executor
	route      RouteFunc
	notSent    NotSentFunc
	zone       string
	trace      bool
	policy     Policy
	roundTrips func() map[string]time.Duration
	admission  *Admission
	// concurrency has one limit per Priority.
	concurrency [3]*ConcurrencyLimit
	budget      *Budget
	stats       *Stats
	metrics     *metrics
	latestView  atomic.Pointer[view]
	chain       Handler
}

// NewGateway returns a Gateway. A nil logger is silent.
func NewGateway(logger *log.Logger, store *state.Store, fresh Freshness, executor Executor, route RouteFunc, notSent NotSentFunc, o Options) *Gateway {
	logger = logs.OrDiscard(logger)
	if o.MaxInFlight == 0 {
		o.MaxInFlight = 256
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	g := &Gateway{
		logger: logger, store: store, fresh: fresh, executor: executor, route: route, notSent: notSent,
		zone: o.Zone, roundTrips: o.RoundTrips, trace: o.Trace, policy: o.Policy.withDefaults(),
		admission: NewAdmission(o.MaxInFlight), budget: &Budget{}, stats: &Stats{}, metrics: newMetrics(o.Scope.SubScope("gateway")),
	}
	for p := range g.concurrency {
		g.concurrency[p] = NewConcurrencyLimit(o.MaxInFlight)
	}
	g.chain = Chain(g.scatter, g.validate, g.freshness, g.admit, g.limitConcurrency, g.deadline, g.plan)
	return g
}

// Search answers one search, shortly before the deadline of the request at the
// latest. It ends early if ctx is cancelled.
func (g *Gateway) Search(ctx context.Context, req SearchRequest) SearchReply {
	q := &Query{SearchRequest: req, Received: time.Now()}
	r := g.chain(ctx, q)
	took := time.Since(q.Received)
	g.metrics.recordSearch(req.Search, r, took)
	g.metrics.budgetTokens.Update(g.budget.Tokens())
	g.metrics.inFlight.Update(float64(g.admission.InFlight()))
	if r.Result.Code != outcome.Answered || r.Coverage.Answered < r.Coverage.Total {
		g.logger.Info().Str("request_id", req.RequestID).Str("search", req.Search).
			Str("outcome", string(r.Result.Code)).Str("reason", string(r.Result.Reason)).
			Int("answered", r.Coverage.Answered).Int("total", r.Coverage.Total).
			Dur("took", took).Msg("search not answered in full")
	}
	return r
}

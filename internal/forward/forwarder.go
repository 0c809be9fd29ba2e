package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Options are the settings of a Forwarder.
type Options struct {
	Location Location
	Shares   Shares
	// RetryRatio and RetrySlack bound the repeats to a service over all instances: a
	// number for each request, plus a number in any RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// MaxInFlight bounds the requests in flight in this instance.
	MaxInFlight int
}

// Forwarder serves the requests of callers from the replicas in the catalog. It
// is safe for concurrent use.
type Forwarder struct {
	logger  *log.Logger
	store   *catalog.Store
	pool    *replica.Pool
	options atomic.Pointer[Options]
	budget  *RetryBudget
	metrics *metrics
	view    atomic.Pointer[view]

	// leaves calls other instances; nil if this one sends to all replicas itself.
	leaves   Leaves
	leafBook *leafBook
	leaving  atomic.Bool

	// endAt is when all requests end, nil if that is not set; requestsEnded is closed then.
	endAt         atomic.Pointer[time.Time]
	requestsEnded chan struct{}

	inFlight atomic.Int64
	splits   atomic.Uint64 // requests to routes with a traffic split
	lastCall atomic.Uint64 // number of the last call to a leaf

	partsMu sync.Mutex
	parts   map[partKey]*part // of queries of other instances
}

// NewForwarder returns a Forwarder. leaves may be nil.
func NewForwarder(logger *log.Logger, scope tally.Scope, store *catalog.Store, pool *replica.Pool, leaves Leaves, o Options) *Forwarder {
	f := &Forwarder{
		logger: logger, store: store, pool: pool, leaves: leaves, leafBook: newLeafBook(), parts: map[partKey]*part{}, budget: NewRetryBudget(), metrics: newMetrics(scope), requestsEnded: make(chan struct{}),
	}
	// An instance that has restarted must not use the numbers of calls that leaves still
	// know from before.
	f.lastCall.Store(rand.Uint64())
	f.Configure(o)
	return f
}

// Configure replaces the options. Requests in flight may still use the old ones.
func (f *Forwarder) Configure(o Options) {
	f.options.Store(&o)
	f.budget.SetBounds(o.RetryRatio, o.RetrySlack, o.RetryWindow)
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// EndRequestsAt bounds the deadlines of all requests of callers by a time, for the
// shutdown: those in flight then are answered at once with what is known of them. Only the
// first call has an effect.
func (f *Forwarder) EndRequestsAt(end time.Time) {
	if f.endAt.CompareAndSwap(nil, &end) {
		time.AfterFunc(time.Until(end), func() { close(f.requestsEnded) })
	}
}

// haveRequestsEnded reports whether the time of EndRequestsAt has come.
func (f *Forwarder) haveRequestsEnded(now time.Time) bool {
	end := f.endAt.Load()
	return end != nil && !now.Before(*end)
}

// notReadyRetryAfter is the retry delay given to callers while this instance has
// no configuration. Reading it takes about two calls to the store.
const notReadyRetryAfter = 200 * time.Millisecond

// Serve serves one request. The end of ctx means that the caller has disconnected.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Answer {
	n := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	snap := f.store.Load()
	a, route := f.serve(ctx, req, snap, n)
	took := time.Since(req.Arrived)
	f.metrics.recordRequest(a, took)
	f.logRequest(req, route, snap, a, took)
	return a
}

func (f *Forwarder) serve(ctx context.Context, req *Request, snap *catalog.Snapshot, inFlight int64) (Answer, *catalog.Route) {
	if snap.Config == nil || !snap.ReplicasKnown {
		return refusal("no configuration", notReadyRetryAfter), nil
	}
	route := snap.Config.Match(req.Host, req.Path)
	switch {
	case route == nil:
		return Answer{Code: NoRoute}, nil
	case req.AttemptID == "":
		return Answer{Code: Invalid, Reason: "no attempt id"}, route
	case inFlight > f.inFlightLimit(route.Priority):
		return refusal("overload", RetryAfter(route.Objective)), route
	}
	return f.newActiveRequest(ctx, req, snap, route).runToEnd(), route
}

// rankLimitFactor is the factor by which the limit on requests in flight shrinks with
// each priority rank below the highest.
const rankLimitFactor = 0.85

// inFlightLimit returns the limit on requests in flight for a priority rank. Ranks
// from 8 on have the same limit.
func (f *Forwarder) inFlightLimit(priority int) int64 {
	limit := float64(f.options.Load().MaxInFlight)
	for range min(priority, 8) {
		limit *= rankLimitFactor
	}
	return int64(limit)
}

func (f *Forwarder) newActiveRequest(ctx context.Context, req *Request, snap *catalog.Snapshot, route *catalog.Route) *activeRequest {
	services := route.Shards
	switch {
	case route.IsScatter():
	case len(route.Split) > 0:
		services = []string{pickSplitService(route.Split, f.splits.Add(1))}
	default:
		services = []string{route.Service}
	}
	r := &activeRequest{f: f, ctx: ctx, req: req, route: route, start: req.Arrived}
	r.deadline = r.start.Add(route.Timeout)
	if req.CallerTimeout > 0 {
		r.deadline = earlier(r.deadline, r.start.Add(req.CallerTimeout-deliveryMargin))
	}
	if end := f.endAt.Load(); end != nil {
		r.deadline = earlier(r.deadline, *end)
	}
	r.onTime, r.objective, r.late = r.start.Add(route.Objective-deliveryMargin), r.start.Add(route.Objective), r.start.Add(2*route.Objective)
	r.required = requiredShards(len(services), route)
	var plan *scatterPlan
	if route.IsScatter() && route.Idempotent && f.leaves != nil {
		plan = f.currentView().plan(route)
	}
	r.addShards(services, plan)
	return r
}

// addShards adds the shards of the request. Those that plan assigns to groups are left to
// leaves.
func (r *activeRequest) addShards(services []string, plan *scatterPlan) {
	view := r.f.currentView()
	r.shards = make([]shard, len(services))
	if plan != nil {
		for _, g := range plan.groups {
			r.groups = append(r.groups, newShardGroup(r, g))
		}
	}
	own := 0
	for i, s := range services {
		r.shards[i].service = s
		if plan != nil && plan.groupOf[i] >= 0 {
			r.shards[i].group = r.groups[plan.groupOf[i]]
			continue
		}
		own++
		if !r.repeat {
			r.f.budget.AddRequest(s, view.sendersOf(s).count, r.start)
		}
	}
	r.results = make(chan exchangeResult, own*maxShardSends)
	r.leafReplies, r.ended = make(chan *leafReply), make(chan struct{})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

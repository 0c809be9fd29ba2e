package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Options are the settings of a Forwarder.
type Options struct {
	Place  Place
	Shares Shares
	// RetryRatio and RetrySlack bound the repeats at a service over all daemons.
	RetryRatio, RetrySlack float64
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	logger  *log.Logger
	store   *catalog.Store
	pool    *replica.Pool
	options atomic.Pointer[Options]
	budget  *Budget
	metrics *metrics
	view    atomic.Pointer[view]

	inFlight atomic.Int64
	splits   atomic.Uint64
}

// NewForwarder returns a Forwarder.
func NewForwarder(logger *log.Logger, scope tally.Scope, store *catalog.Store, pool *replica.Pool, o Options) *Forwarder {
	f := &Forwarder{logger: logger, store: store, pool: pool, budget: NewBudget(), metrics: newMetrics(scope)}
	f.Configure(o)
	return f
}

// Configure replaces the options. Requests in flight may still go by the old
// ones.
func (f *Forwarder) Configure(o Options) {
	f.options.Store(&o)
	f.budget.SetBounds(o.RetryRatio, o.RetrySlack)
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// unreadyHint is when a caller may come back that reached a daemon without a
// configuration: about the time of two calls to the store.
const unreadyHint = 200 * time.Millisecond

// Serve serves one request. When ctx ends, the caller has left.
func (f *Forwarder) Serve(ctx context.Context, req *Request) Answer {
	n := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	snap := f.store.Load()
	a, route := f.serve(ctx, req, snap, n)
	took := time.Since(req.Arrived)
	f.metrics.request(a, took)
	f.logEnd(req, route, snap, a, took)
	return a
}

func (f *Forwarder) serve(ctx context.Context, req *Request, snap *catalog.Snapshot, inFlight int64) (Answer, *catalog.Route) {
	if snap.Config == nil || !snap.ReplicasKnown {
		return refusal("no configuration", unreadyHint), nil
	}
	route := snap.Config.Match(req.Host, req.Path)
	switch {
	case route == nil:
		return Answer{Code: NoRoute}, nil
	case req.AttemptID == "":
		return Answer{Code: Invalid, Reason: "no attempt id"}, route
	case inFlight > f.admitted(route.Priority):
		return refusal("overload", RetryHint(route.Objective)), route
	}
	return f.run(ctx, req, snap, route).loop(), route
}

// lowerRankShare is the part of the limit on requests in flight that a route
// may use, as a share for each rank below the highest.
const lowerRankShare = 0.85

// admitted returns the limit on requests in flight for a rank.
func (f *Forwarder) admitted(priority int) int64 {
	limit := float64(f.options.Load().MaxInFlight)
	for range min(priority, 8) {
		limit *= lowerRankShare
	}
	return int64(limit)
}

func (f *Forwarder) run(ctx context.Context, req *Request, snap *catalog.Snapshot, route *catalog.Route) *run {
	services := route.Shards
	switch {
	case route.IsScatter():
	case len(route.Split) > 0:
		services = []string{pickPart(route.Split, f.splits.Add(1))}
	default:
		services = []string{route.Service}
	}
	r := &run{f: f, ctx: ctx, req: req, route: route, start: req.Arrived}
	r.end = r.start.Add(route.Timeout)
	if req.Patience > 0 {
		r.end = earlier(r.end, r.start.Add(req.Patience-deliveryMargin))
	}
	r.shards = make([]shard, len(services))
	for i, s := range services {
		r.shards[i].service = s
		f.budget.Request(s, daemons(snap))
	}
	r.events = make(chan event, len(services)*maxSends)
	return r
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

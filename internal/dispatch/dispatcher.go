// Package dispatch is the holder's side of a sub-request: it checks the lease,
// the availability zone, the target and the deadline, and passes the request to
// the pool of targets.
package dispatch

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/target"
)

// Leases returns the leases that this instance has at a point in time.
type Leases interface {
	Lease(target string, now time.Time) placement.Lease
}

// Freshness says whether the state of this instance was confirmed recently.
// control.Freshness implements it.
type Freshness interface {
	// Ensure refreshes the state if it is stale.
	Ensure(ctx context.Context) (cutOff bool)
	// NeedsRefresh reports whether the state is stale and no refresh was tried
	// recently. A process that resumes after a pause may have missed that a zone was
	// taken out.
	NeedsRefresh() bool
}

// Pool sends requests to targets within their limits. target.Pool implements it.
type Pool interface {
	Do(ctx context.Context, t state.Target, svc declare.Service, request target.Request, admit target.Admit) outcome.Result
	LoadOf(target string) (state.Load, bool)
	Loads() []state.Load
	AdoptLoad(l state.Load)
	Release(target string) state.Load
	Reconcile(snap *state.Snapshot)
}

// Dispatcher executes sub-requests on the targets that this instance holds.
// It is safe for concurrent use.
type Dispatcher struct {
	logger  *log.Logger
	self    string
	store   *state.Store
	fresh   Freshness
	leases  Leases
	pool    Pool
	metrics *metrics
}

// NewDispatcher returns the Dispatcher of the instance named self. A nil logger
// is silent; a nil scope discards the metrics.
func NewDispatcher(logger *log.Logger, scope tally.Scope, self string, store *state.Store, fresh Freshness, leases Leases, pool Pool) *Dispatcher {
	logger = logs.OrDiscard(logger)
	return &Dispatcher{logger: logger, self: self, store: store, fresh: fresh, leases: leases, pool: pool, metrics: newMetrics(scope)}
}

// Execute runs one sub-request. The reply always has an outcome. A refusal with
// the reason no-right names the holder to send to instead, if it is known.
func (d *Dispatcher) Execute(ctx context.Context, req *peerpb.ExecuteRequest) *peerpb.ExecuteReply {
	started := time.Now()
	d.metrics.inFlightGauge.Update(float64(d.metrics.inFlight.Add(1)))
	r, holder := d.execute(ctx, req)
	d.metrics.inFlightGauge.Update(float64(d.metrics.inFlight.Add(-1)))
	d.metrics.outcomes.Count(r)

	reply := &peerpb.ExecuteReply{
		AttemptId: req.AttemptId, Outcome: string(r.Code), Reason: string(r.Reason), Body: r.Body, Holder: holder,
	}
	if l, ok := d.pool.LoadOf(req.Target); ok {
		reply.Load = encodeLoad(l)
	}
	entry := d.logger.Info
	if r.Code == outcome.Answered {
		entry = d.logger.Debug
	}
	entry().Str("request", req.RequestId).Str("attempt", req.AttemptId).Str("target", req.Target).Str("shard", req.Shard).
		Str("outcome", string(r.Code)).Str("reason", string(r.Reason)).Str("holder", holder).
		Int64("config_version", req.ConfigVersion).Dur("took", time.Since(started)).Msg("sub-request")
	return reply
}

// execute returns the result and, with the reason no-right, the holder if it is
// known.
func (d *Dispatcher) execute(ctx context.Context, req *peerpb.ExecuteRequest) (outcome.Result, string) {
	if req.RequestId == "" || req.AttemptId == "" || req.DeadlineUnixMs <= 0 ||
		(req.Operation != target.OperationSearch && req.Operation != target.OperationExecute) {
		return outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonMalformed}, ""
	}
	d.fresh.Ensure(ctx)
	snap := d.store.Load()
	t, ok := snap.Targets[req.Target]
	if !ok {
		return outcome.Refused(outcome.ReasonNoReplica), ""
	}
	svc, ok := snap.Service(t.Service)
	if !ok || t.Service != req.Service {
		return outcome.Refused(outcome.ReasonNoReplica), ""
	}
	request := target.Request{
		RequestID: req.RequestId, AttemptID: req.AttemptId, Operation: req.Operation,
		Snapshot: req.Snapshot, Shard: req.Shard, Priority: int(req.Priority),
		Deadline: time.UnixMilli(req.DeadlineUnixMs), Body: req.Body, Idempotent: req.Idempotent,
	}
	// All is checked here already, before the pool creates a backend, and again
	// in admit, when the request may have waited.
	lease, reason := d.checkRequest(t, request.Deadline)
	if reason != outcome.ReasonNone {
		return outcome.Refused(reason), holderHint(reason, lease)
	}
	if lease.Kind == placement.Provisional {
		d.adoptReportedLoad(snap, t)
	}
	admit := func() (time.Time, int, outcome.Reason) {
		lease, reason := d.checkRequest(t, request.Deadline)
		if reason != outcome.ReasonNone {
			return time.Time{}, 0, reason
		}
		if lease.Kind != placement.Provisional {
			return lease.Until, 0, outcome.ReasonNone
		}
		if l, ok := d.pool.LoadOf(t.Name); !ok || l.Phase != state.PhaseWarm {
			return time.Time{}, 0, outcome.ReasonNoLease
		}
		return lease.Until, max(1, svc.Slots/2), outcome.ReasonNone
	}
	r := d.pool.Do(ctx, t, svc, request, admit)
	if r.Code == outcome.NotRun && r.Reason == outcome.ReasonNoLease {
		lease = d.leases.Lease(t.Name, time.Now())
	}
	return r, holderHint(r.Reason, lease)
}

func holderHint(reason outcome.Reason, lease placement.Lease) string {
	if reason != outcome.ReasonNoLease {
		return ""
	}
	return lease.Holder
}

// checkRequest returns the lease for t, or the reason why a request must not be
// sent to t now.
func (d *Dispatcher) checkRequest(t state.Target, deadline time.Time) (placement.Lease, outcome.Reason) {
	now := time.Now()
	if !deadline.After(now) {
		return placement.Lease{}, outcome.ReasonExpired
	}
	if d.fresh.NeedsRefresh() {
		// The process was paused after Ensure. The entry sends the request again.
		return placement.Lease{}, outcome.ReasonNoLease
	}
	snap := d.store.Load()
	current, ok := snap.Targets[t.Name]
	switch {
	case !ok:
		return placement.Lease{}, outcome.ReasonNoReplica
	case snap.IsZoneOut(current.Zone):
		return placement.Lease{}, outcome.ReasonZoneOut
	case snap.IsLeaving(current):
		return placement.Lease{}, outcome.ReasonLeaving
	case current.Address != t.Address:
		// The process that the request was prepared for has been replaced.
		return placement.Lease{}, outcome.ReasonNoReplica
	}
	lease := d.leases.Lease(t.Name, now)
	if lease.Kind == placement.NoLease || !lease.Until.After(now) {
		return lease, outcome.ReasonNoLease
	}
	return lease, outcome.ReasonNone
}

// adoptReportedLoad lets the pool continue with the last reported load of a target
// that it does not have yet, if the target was warm in its current incarnation.
func (d *Dispatcher) adoptReportedLoad(snap *state.Snapshot, t state.Target) {
	if _, held := d.pool.LoadOf(t.Name); held {
		return
	}
	if l, ok := snap.Loads[t.Name]; ok && l.Phase == state.PhaseWarm && l.Incarnation == t.Incarnation {
		d.pool.AdoptLoad(l)
	}
}

// Run reconciles the pool with the state after each change until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		changed := d.store.Changed()
		d.reconcile()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// reconcile releases targets that another instance now holds, and refuses waiting
// requests that are no longer admitted.
func (d *Dispatcher) reconcile() {
	snap, now := d.store.Load(), time.Now()
	for _, l := range d.pool.Loads() {
		t, ok := snap.Targets[l.Target]
		if !ok {
			continue
		}
		p := snap.Placements[t.Zone]
		holder := p.Holders[t.Name]
		if holder == "" || holder == d.self || d.leases.Lease(t.Name, now).Kind != placement.NoLease {
			continue
		}
		if p.Previous[t.Name] == d.self {
			// The placement controller releases the target once it is idle, and
			// hands its state over. A release here would lose the state.
			continue
		}
		d.pool.Release(t.Name)
		d.logger.Info().Str("target", t.Name).Str("holder", holder).Msg("target moved to another holder")
	}
	d.pool.Reconcile(snap)
}

func encodeLoad(l state.Load) *peerpb.TargetLoad {
	return &peerpb.TargetLoad{
		Target: l.Target, Phase: string(l.Phase), Limit: int32(l.Limit), InFlight: int32(l.InFlight),
		Queued: int32(l.Queued), LatencyMicros: l.LatencyMicros, Incarnation: l.Incarnation,
	}
}

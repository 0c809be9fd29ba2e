// Package dispatch is the holder's side of a sub-request: it checks the right
// to send, the availability zone, the target and the deadline, and passes the
// request to the target's pool.
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

// Rights tells the present right of this instance.
type Rights interface {
	Right(target string, now time.Time) placement.Right
}

// Freshness says whether the state of this instance was confirmed lately.
// control.Freshness implements it.
type Freshness interface {
	// Ensure asks for a confirmation if the state is too old.
	Ensure(ctx context.Context) (cutOff bool)
	// Stale reports that the state is too old and nobody was asked yet. A
	// process that wakes from a pause may have missed that a zone was taken out.
	Stale() bool
}

// Pool sends to targets within their limits; target.Pool implements it.
type Pool interface {
	Do(ctx context.Context, t state.Target, svc declare.Service, w target.Work, admit target.Admit) outcome.Result
	Load(target string) (state.Load, bool)
	Loads() []state.Load
	Adopt(l state.Load)
	Release(target string) state.Load
	Reconcile(snap *state.Snapshot)
}

// Dispatcher executes sub-requests on the targets that this instance holds.
// It is safe for concurrent use.
type Dispatcher struct {
	log     *log.Logger
	self    string
	store   *state.Store
	fresh   Freshness
	rights  Rights
	pool    Pool
	metrics *metrics
}

// NewDispatcher returns a Dispatcher of the instance named self. A nil logger
// is silent; a nil scope drops the metrics.
func NewDispatcher(logger *log.Logger, scope tally.Scope, self string, store *state.Store, fresh Freshness, rights Rights, pool Pool) *Dispatcher {
	logger = logs.OrDiscard(logger)
	return &Dispatcher{log: logger, self: self, store: store, fresh: fresh, rights: rights, pool: pool, metrics: newMetrics(scope)}
}

// Execute runs one sub-request. The reply always has an outcome; refusals with
// reason no-right name the instance to ask instead, if one is known.
func (d *Dispatcher) Execute(ctx context.Context, req *peerpb.ExecuteRequest) *peerpb.ExecuteReply {
	started := time.Now()
	d.metrics.running.Update(float64(d.metrics.inFlight.Add(1)))
	r, holder := d.execute(ctx, req)
	d.metrics.running.Update(float64(d.metrics.inFlight.Add(-1)))
	d.metrics.results.Count(r)

	reply := &peerpb.ExecuteReply{
		AttemptId: req.AttemptId, Outcome: string(r.Code), Reason: string(r.Reason), Body: r.Body, Holder: holder,
	}
	if l, ok := d.pool.Load(req.Target); ok {
		reply.Load = toWire(l)
	}
	entry := d.log.Info
	if r.Code == outcome.Answered {
		entry = d.log.Debug
	}
	entry().Str("request", req.RequestId).Str("attempt", req.AttemptId).Str("target", req.Target).Str("shard", req.Shard).
		Str("outcome", string(r.Code)).Str("reason", string(r.Reason)).Str("holder", holder).
		Int64("config_version", req.ConfigVersion).Dur("took", time.Since(started)).Msg("sub-request")
	return reply
}

// execute returns the result and, with reason no-right, the holder to ask.
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
	w := target.Work{
		RequestID: req.RequestId, AttemptID: req.AttemptId, Operation: req.Operation,
		Snapshot: req.Snapshot, Shard: req.Shard, Priority: int(req.Priority),
		Deadline: time.UnixMilli(req.DeadlineUnixMs), Body: req.Body, Idempotent: req.Idempotent,
	}
	// The right and the rest are checked before the pool makes a backend.
	right, reason := d.check(t, w.Deadline)
	if reason != outcome.ReasonNone {
		return outcome.Refused(reason), holderFor(reason, right)
	}
	if right.Kind == placement.Provisional {
		d.adoptReported(snap, t)
	}
	admit := func() (time.Time, int, outcome.Reason) {
		right, reason := d.check(t, w.Deadline)
		if reason != outcome.ReasonNone {
			return time.Time{}, 0, reason
		}
		if right.Kind != placement.Provisional {
			return right.Until, 0, outcome.ReasonNone
		}
		if l, ok := d.pool.Load(t.Name); !ok || l.Phase != state.PhaseWarm {
			return time.Time{}, 0, outcome.ReasonNoRight
		}
		return right.Until, max(1, svc.Slots/2), outcome.ReasonNone
	}
	r := d.pool.Do(ctx, t, svc, w, admit)
	if r.Code == outcome.NotRun && r.Reason == outcome.ReasonNoRight {
		right = d.rights.Right(t.Name, time.Now())
	}
	return r, holderFor(r.Reason, right)
}

func holderFor(reason outcome.Reason, r placement.Right) string {
	if reason != outcome.ReasonNoRight {
		return ""
	}
	return r.Holder
}

// check decides whether a request may be sent to t now.
func (d *Dispatcher) check(t state.Target, deadline time.Time) (placement.Right, outcome.Reason) {
	now := time.Now()
	if !deadline.After(now) {
		return placement.Right{}, outcome.ReasonExpired
	}
	if d.fresh.Stale() {
		// The pause came after Ensure; the entry asks again.
		return placement.Right{}, outcome.ReasonNoRight
	}
	snap := d.store.Load()
	present, ok := snap.Targets[t.Name]
	switch {
	case !ok:
		return placement.Right{}, outcome.ReasonNoReplica
	case snap.IsZoneOut(present.Zone):
		return placement.Right{}, outcome.ReasonZoneOut
	case snap.IsLeaving(present):
		return placement.Right{}, outcome.ReasonLeaving
	case present.Address != t.Address:
		// The request was prepared for a process that is gone.
		return placement.Right{}, outcome.ReasonNoReplica
	}
	right := d.rights.Right(t.Name, now)
	if right.Kind == placement.None || !right.Until.After(now) {
		return right, outcome.ReasonNoRight
	}
	return right, outcome.ReasonNone
}

// adoptReported takes over a target that its previous holder reported warm for
// its present incarnation.
func (d *Dispatcher) adoptReported(snap *state.Snapshot, t state.Target) {
	if _, held := d.pool.Load(t.Name); held {
		return
	}
	if l, ok := snap.Loads[t.Name]; ok && l.Phase == state.PhaseWarm && l.Incarnation == t.Incarnation {
		d.pool.Adopt(l)
	}
}

// Run reconciles the pool with each change of the state until ctx ends.
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

// reconcile releases targets that another instance holds by now and refuses
// waiting requests that are no longer admitted.
func (d *Dispatcher) reconcile() {
	snap, now := d.store.Load(), time.Now()
	for _, l := range d.pool.Loads() {
		t, ok := snap.Targets[l.Target]
		if !ok {
			continue
		}
		p := snap.Placements[t.Zone]
		holder := p.Holders[t.Name]
		if holder == "" || holder == d.self || d.rights.Right(t.Name, now).Kind != placement.None {
			continue
		}
		if p.Previous[t.Name] == d.self {
			// The placement controller releases it when it is idle and hands its
			// state over, which a release here would lose.
			continue
		}
		d.pool.Release(t.Name)
		d.log.Info().Str("target", t.Name).Str("holder", holder).Msg("target moved to another holder")
	}
	d.pool.Reconcile(snap)
}

func toWire(l state.Load) *peerpb.TargetLoad {
	return &peerpb.TargetLoad{
		Target: l.Target, Phase: string(l.Phase), Limit: int32(l.Limit), InFlight: int32(l.InFlight),
		Queued: int32(l.Queued), LatencyMicros: l.LatencyMicros, Incarnation: l.Incarnation,
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Single runs an operation at most once. It tries the targets of the services
// in order and goes on to another one only after a definite not-run. Any
// doubt ends the chain with Unknown. It sends no hedges.
func (g *Gateway) Single(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result {
	start := time.Now()
	r := g.single(ctx, requestID, op, body, deadline)
	g.metrics.operation(op.Name, r, time.Since(start))
	return r
}

func (g *Gateway) single(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result {
	g.fresh.Ensure(ctx)
	if !g.admission.Enter(Critical) {
		g.budget.NoteOverload(time.Now())
		return outcome.Refused(outcome.ReasonOverload)
	}
	defer g.admission.Leave()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &singleChain{g: g, requestID: requestID, op: op, body: body, deadline: deadline}
	for waits := 1; ; waits++ {
		r, more := c.tryAll(ctx)
		if !more || !c.moving || waits > wholeMoveWaits {
			return r
		}
		select {
		case <-time.After(moveWait(waits)):
		case <-ctx.Done():
			return r
		}
	}
}

// tryAll tries each target once. more is true if all of them definitely did
// not run the request.
func (c *singleChain) tryAll(ctx context.Context) (last outcome.Result, more bool) {
	c.moving = false
	last = outcome.Refused(outcome.ReasonNoReplica)
	snap := c.g.store.Load()
	for _, service := range c.op.Services {
		for _, choice := range c.g.orderService(snap, service, c.requestID) {
			r, more := c.try(ctx, service, choice, last.Reason)
			if !more {
				return r, false
			}
			last = r
		}
	}
	return last, true
}

// orderService returns the replicas of a service, the preferred one first.
func (g *Gateway) orderService(snap *state.Snapshot, service, requestID string) []Choice {
	now, v := time.Now(), g.view(snap)
	in := PlanInput{
		RequestID: requestID, Zone: g.zone, Now: now, Policy: g.policy, Snapshot: snap,
		Observed: g.observe(v, map[string]bool{service: true}, now), view: v,
	}
	p := planner{in: in, view: v, planned: map[string]int{}}
	return p.order(state.Shard{ID: service, Service: service}, 0)
}

// singleChain is the chain of attempts of one at-most-once request.
type singleChain struct {
	g         *Gateway
	requestID string
	op        declare.Operation
	body      []byte
	deadline  time.Time
	attempts  int
	retries   int
	// moving is set if a target had no holder that may send.
	moving bool
}

// try sends the request to one target, following the holder's name in
// no-right replies. more is true after a definite not-run that another target
// may follow.
func (c *singleChain) try(ctx context.Context, service string, choice Choice, previous outcome.Reason) (r outcome.Result, more bool) {
	instances := []string{}
	for {
		if ctx.Err() != nil {
			// Nothing is in flight here: all earlier attempts were not run.
			return outcome.Refused(endReason(ctx)), false
		}
		snap := c.g.store.Load()
		t, ok := snap.Targets[choice.Target]
		if !ok || !isUsable(snap, t) {
			return outcome.Refused(outcome.ReasonNoReplica), true
		}
		instances = append(instances, choice.Instance)
		e, result := c.send(ctx, service, t, choice, snap.ConfigVersion, previous)
		if e.code != outcome.NotRun {
			return result, false
		}
		previous = e.reason
		if holder := c.g.otherHolder(e, choice); holder != "" && len(instances) <= maxHolderReroutes && !slices.Contains(instances, holder) {
			choice.Instance = holder
			continue
		}
		c.moving = c.moving || e.isMoving()
		if e.reason == outcome.ReasonExpired {
			return result, false
		}
		if e.reachedTarget() || e.isLoadRefusal() {
			if c.retries++; c.retries > maxRetries {
				return result, false
			}
		}
		return result, true
	}
}

func endReason(ctx context.Context) outcome.Reason {
	if context.Cause(ctx) == context.Canceled {
		return outcome.ReasonCancelled
	}
	return outcome.ReasonExpired
}

func (c *singleChain) send(ctx context.Context, service string, t state.Target, choice Choice, version int64, previous outcome.Reason) (event, outcome.Result) {
	req := &peerpb.ExecuteRequest{
		RequestId: c.requestID, AttemptId: c.requestID + ".x." + strconv.Itoa(c.attempts), Service: service,
		Target: t.Name, Zone: t.Zone, Operation: "execute", Priority: int32(Critical),
		DeadlineUnixMs: c.deadline.UnixMilli(), Body: c.body, Idempotent: false, ConfigVersion: version,
	}
	c.attempts++
	c.g.logger.Info().Str("request_id", c.requestID).Str("attempt_id", req.AttemptId).Str("operation", c.op.Name).
		Str("target", t.Name).Str("instance", choice.Instance).Str("reason", singleReason(c.attempts, previous)).Msg("execute")
	e := c.g.run(ctx, choice, service, req)
	result := outcome.Result{Code: e.code, Reason: e.reason}
	if e.code == outcome.Answered {
		result = readRun(req, e.body.GetBody())
		e.code, e.reason = result.Code, result.Reason
	}
	if result.Code != outcome.Answered {
		c.g.logger.Info().Str("request_id", c.requestID).Str("attempt_id", req.AttemptId).Str("target", t.Name).
			Str("outcome", string(result.Code)).Str("reason", string(result.Reason)).Msg("execute ended")
	}
	return e, result
}

func singleReason(n int, previous outcome.Reason) string {
	if n == 1 {
		return "first"
	}
	return string(previous)
}

// readRun checks the reply of a target to an operation. A reply that does not
// match the attempt leaves open whether the target ran it.
func readRun(req *peerpb.ExecuteRequest, body []byte) outcome.Result {
	var r struct {
		RequestID string          `json:"request_id"`
		AttemptID string          `json:"attempt_id"`
		Ran       bool            `json:"ran"`
		Result    json.RawMessage `json:"result"`
	}
	switch {
	case json.Unmarshal(body, &r) != nil:
		return outcome.Uncertain(outcome.ReasonTruncated)
	case r.RequestID != req.GetRequestId() || r.AttemptID != req.GetAttemptId() || !r.Ran:
		return outcome.Uncertain(outcome.ReasonMismatch)
	}
	return outcome.Result{Code: outcome.Answered, Body: r.Result}
}

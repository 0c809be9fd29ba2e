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

// ExecuteOnce runs an operation at most once. It tries the targets of the
// operation's services in order, and goes on to the next one only if the request
// certainly was not run. If it may have been run, the operation ends with Unknown.
// It sends no hedges.
func (g *Gateway) ExecuteOnce(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result {
	start := time.Now()
	r := g.executeOnce(ctx, requestID, op, body, deadline)
	g.metrics.recordOperation(op.Name, r, time.Since(start))
	return r
}

func (g *Gateway) executeOnce(ctx context.Context, requestID string, op declare.Operation, body []byte, deadline time.Time) outcome.Result {
	g.fresh.Ensure(ctx)
	if !g.admission.Enter(Critical) {
		g.budget.RecordOverload(time.Now())
		return outcome.Refused(outcome.ReasonOverload)
	}
	defer g.admission.Leave()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &executeOnceRun{g: g, requestID: requestID, op: op, body: body, deadline: deadline}
	// While a target has no holder with a lease, all targets are tried again.
	for waits := 1; ; waits++ {
		r, more := c.tryAllTargets(ctx)
		if !more || !c.holderMissing || waits > maxHolderWaits {
			return r
		}
		select {
		case <-time.After(holderWait(waits)):
		case <-ctx.Done():
			return r
		}
	}
}

// tryAllTargets tries each target once. more is true if certainly none of them
// ran the request.
func (c *executeOnceRun) tryAllTargets(ctx context.Context) (last outcome.Result, more bool) {
	c.holderMissing = false
	last = outcome.Refused(outcome.ReasonNoReplica)
	snap := c.g.store.Load()
	for _, service := range c.op.Services {
		for _, choice := range c.g.orderServiceReplicas(snap, service, c.requestID) {
			r, more := c.tryTarget(ctx, service, choice, last.Reason)
			if !more {
				return r, false
			}
			last = r
		}
	}
	return last, true
}

// orderServiceReplicas returns the replicas of a service, the preferred one first.
func (g *Gateway) orderServiceReplicas(snap *state.Snapshot, service, requestID string) []Choice {
	now, v := time.Now(), g.view(snap)
	in := PlanInput{
		RequestID: requestID, Zone: g.zone, Now: now, Policy: g.policy, Snapshot: snap,
		Observed: g.observe(v, map[string]bool{service: true}, now), view: v,
	}
	p := planner{in: in, view: v, firstChoices: map[string]int{}}
	return p.orderReplicas(state.Shard{ID: service, Service: service}, 0)
}

// executeOnceRun is the state of one at-most-once request, whose attempts follow one
// another. One goroutine owns it.
type executeOnceRun struct {
	g         *Gateway
	requestID string
	op        declare.Operation
	body      []byte
	deadline  time.Time
	attempts  int
	retries   int
	// holderMissing is set if a target of this round had no holder with a lease.
	holderMissing bool
}

// tryTarget sends the request to one target and follows it to another holder. more
// is true if the request certainly was not run and another target may be tried.
func (c *executeOnceRun) tryTarget(ctx context.Context, service string, choice Choice, previous outcome.Reason) (r outcome.Result, more bool) {
	instances := []string{}
	for {
		if ctx.Err() != nil {
			// No attempt is in flight, and none of the earlier ones was run.
			return outcome.Refused(endReason(ctx)), false
		}
		snap := c.g.store.Load()
		t, ok := snap.Targets[choice.Target]
		if !ok || !isUsable(snap, t) {
			return outcome.Refused(outcome.ReasonNoReplica), true
		}
		instances = append(instances, choice.Instance)
		e, result := c.sendAttempt(ctx, service, t, choice, snap.ConfigVersion, previous)
		if e.code != outcome.NotRun {
			return result, false
		}
		previous = e.reason
		if holder := c.g.otherHolder(e, choice); holder != "" && len(instances) <= maxHolderReroutes && !slices.Contains(instances, holder) {
			choice.Instance = holder
			continue
		}
		c.holderMissing = c.holderMissing || e.hasNoHolder()
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

func (c *executeOnceRun) sendAttempt(ctx context.Context, service string, t state.Target, choice Choice, version int64, previous outcome.Reason) (attemptEnd, outcome.Result) {
	req := &peerpb.ExecuteRequest{
		RequestId: c.requestID, AttemptId: c.requestID + ".x." + strconv.Itoa(c.attempts), Service: service,
		Target: t.Name, Zone: t.Zone, Operation: "execute", Priority: int32(Critical),
		DeadlineUnixMs: c.deadline.UnixMilli(), Body: c.body, Idempotent: false, ConfigVersion: version,
	}
	c.attempts++
	c.g.logger.Info().Str("request_id", c.requestID).Str("attempt_id", req.AttemptId).Str("operation", c.op.Name).
		Str("target", t.Name).Str("instance", choice.Instance).Str("reason", attemptReason(c.attempts, previous)).Msg("execute")
	e := c.g.runAttempt(ctx, choice, service, req)
	result := outcome.Result{Code: e.code, Reason: e.reason}
	if e.code == outcome.Answered {
		result = parseOperationReply(req, e.peerReply.GetBody())
		e.code, e.reason = result.Code, result.Reason
	}
	if result.Code != outcome.Answered {
		c.g.logger.Info().Str("request_id", c.requestID).Str("attempt_id", req.AttemptId).Str("target", t.Name).
			Str("outcome", string(result.Code)).Str("reason", string(result.Reason)).Msg("execute ended")
	}
	return e, result
}

func attemptReason(n int, previous outcome.Reason) string {
	if n == 1 {
		return "first"
	}
	return string(previous)
}

// parseOperationReply returns the result in a target's reply to an operation. If
// the reply is malformed or belongs to another attempt, it is unknown whether the
// target ran the operation.
func parseOperationReply(req *peerpb.ExecuteRequest, body []byte) outcome.Result {
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

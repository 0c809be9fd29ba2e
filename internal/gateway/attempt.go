package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// attempt is one sub-request that was sent for a shard. The goroutine of the
// query owns it.
type attempt struct {
	id      string
	choice  Choice
	started time.Time
	cancel  context.CancelFunc
	hedge   bool
	done    bool // its end was processed
}

// attemptEnd is the result of one attempt, with or without a reply. shard and
// attempt are indices into the query's shards and the shard's attempts.
type attemptEnd struct {
	shard, attempt int
	code           outcome.Code
	reason         outcome.Reason
	items          []json.RawMessage
	peerReply      *peerpb.ExecuteReply
	holder         string
	took           time.Duration
}

// reachedTarget reports whether a target may have received the attempt, so that
// another attempt is extra load.
func (e attemptEnd) reachedTarget() bool {
	if e.code != outcome.NotRun {
		return true
	}
	switch e.reason {
	case outcome.ReasonShed, outcome.ReasonSnapshotGone, outcome.ReasonExpired:
		return true
	}
	return false
}

// isLoadRefusal reports whether the holder or the target refused the attempt
// for load.
func (e attemptEnd) isLoadRefusal() bool {
	return e.reason == outcome.ReasonOverload || e.reason == outcome.ReasonShed
}

// attemptID returns the ID of an attempt: request ID, number of restarts, shard
// and attempt number. The restarts are part of it, so that replies from an
// earlier index snapshot never match.
func attemptID(q *Query, shard, n int) string {
	b := make([]byte, 0, len(q.RequestID)+12)
	b = append(b, q.RequestID...)
	for _, i := range [...]int{q.Restarts, shard, n} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(i), 10)
	}
	return string(b)
}

// runAttempt sends one sub-request, waits for its reply and classifies the
// outcome. It records the latency, the reported load and refusals for load.
func (g *Gateway) runAttempt(ctx context.Context, c Choice, service string, req *peerpb.ExecuteRequest) attemptEnd {
	target := g.stats.target(c.Target)
	target.inFlight.Add(1)
	start := time.Now()
	reply, err := g.executor.Execute(ctx, c.Instance, req)
	now := time.Now()
	target.inFlight.Add(-1)
	e := attemptEnd{took: now.Sub(start)}
	// Without the round trip, so that near and far replicas share one quantile.
	holderTime := max(e.took-g.roundTrip(c.Instance), 0)
	if err != nil {
		e.code, e.reason = g.classify(ctx, err)
	} else {
		g.recordLoad(target, reply, now)
		e.code, e.reason = outcome.Code(reply.GetOutcome()), outcome.Reason(reply.GetReason())
		e.holder, e.peerReply = reply.GetHolder(), reply
		if reply.GetAttemptId() != req.GetAttemptId() {
			e.code, e.reason = outcome.Unknown, outcome.ReasonMismatch
		}
	}
	switch e.code {
	case outcome.Answered:
		g.stats.record(service, req.GetIdempotent(), now, holderTime)
	case outcome.NotRun:
	default:
		e.code = outcome.Unknown
		if g.countsAsSample(ctx, service, holderTime, now) {
			g.stats.record(service, req.GetIdempotent(), now, holderTime)
		}
	}
	g.budget.RecordAttempt(now, e.isLoadRefusal())
	return e
}

// countsAsSample reports whether the time of an attempt without a reply is
// recorded as a latency. An attempt that was cancelled above the quantile would
// have taken at least this long; leaving it out would bias the quantile towards
// fast replies. One that was cancelled earlier says nothing about the latency,
// unless it ran until the deadline.
func (g *Gateway) countsAsSample(ctx context.Context, service string, took time.Duration, now time.Time) bool {
	if ctx.Err() == nil {
		return false
	}
	quantile, ok := g.stats.quantile(service, now)
	return ok && took >= quantile || context.Cause(ctx) == context.DeadlineExceeded
}

// classify maps an error of the executor to an outcome.
func (g *Gateway) classify(ctx context.Context, err error) (outcome.Code, outcome.Reason) {
	switch {
	case g.notSent(err):
		return outcome.NotRun, outcome.ReasonUnreachable
	case context.Cause(ctx) == context.Canceled:
		return outcome.Unknown, outcome.ReasonCancelled
	case ctx.Err() != nil:
		return outcome.Unknown, outcome.ReasonTimeout
	default:
		// The connection failed before the reply arrived.
		return outcome.Unknown, outcome.ReasonTruncated
	}
}

func (g *Gateway) recordLoad(t *targetStats, reply *peerpb.ExecuteReply, now time.Time) {
	l := reply.GetLoad()
	if l == nil {
		return
	}
	t.load.Store(&timedLoad{receivedAt: now, load: state.Load{
		Target: l.GetTarget(), Phase: state.Phase(l.GetPhase()), Limit: int(l.GetLimit()),
		InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()),
		LatencyMicros: l.GetLatencyMicros(), Incarnation: l.GetIncarnation(),
	}})
}

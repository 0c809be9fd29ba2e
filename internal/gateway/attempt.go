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

// attempt is one sub-request that was sent for a shard.
type attempt struct {
	id      string
	choice  Choice
	started time.Time
	cancel  context.CancelFunc
	hedge   bool
	done    bool
}

// event is the end of one attempt.
type event struct {
	shard, attempt int
	code           outcome.Code
	reason         outcome.Reason
	items          []json.RawMessage
	body           *peerpb.ExecuteReply
	holder         string
	took           time.Duration
}

// reachedTarget reports whether a target saw the attempt, so that another one
// is extra load.
func (e event) reachedTarget() bool {
	if e.code != outcome.NotRun {
		return true
	}
	switch e.reason {
	case outcome.ReasonShed, outcome.ReasonSnapshotGone, outcome.ReasonExpired:
		return true
	}
	return false
}

// isLoadRefusal reports whether the attempt was refused for load.
func (e event) isLoadRefusal() bool {
	return e.reason == outcome.ReasonOverload || e.reason == outcome.ReasonShed
}

// attemptID names an attempt: request, restart, shard and count. Restarts are
// part of it, so that replies of an earlier index snapshot never match.
func attemptID(q *Query, shard, n int) string {
	b := make([]byte, 0, len(q.RequestID)+12)
	b = append(b, q.RequestID...)
	for _, i := range [...]int{q.Attempt, shard, n} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(i), 10)
	}
	return string(b)
}

// run sends one sub-request and classifies its end.
func (g *Gateway) run(ctx context.Context, c Choice, service string, req *peerpb.ExecuteRequest) event {
	target := g.stats.target(c.Target)
	target.inFlight.Add(1)
	start := time.Now()
	reply, err := g.executor.Execute(ctx, c.Instance, req)
	now := time.Now()
	target.inFlight.Add(-1)
	e := event{took: now.Sub(start)}
	// Without the round trip, so that near and far replicas share one quantile.
	behind := max(e.took-g.roundTrip(c.Instance), 0)
	if err != nil {
		e.code, e.reason = g.classify(ctx, err)
	} else {
		g.noteLoad(target, reply, now)
		e.code, e.reason = outcome.Code(reply.GetOutcome()), outcome.Reason(reply.GetReason())
		e.holder, e.body = reply.GetHolder(), reply
		if reply.GetAttemptId() != req.GetAttemptId() {
			e.code, e.reason = outcome.Unknown, outcome.ReasonMismatch
		}
	}
	switch e.code {
	case outcome.Answered:
		g.stats.record(service, req.GetIdempotent(), now, behind)
	case outcome.NotRun:
	default:
		e.code = outcome.Unknown
		if g.isSlow(ctx, service, behind, now) {
			g.stats.record(service, req.GetIdempotent(), now, behind)
		}
	}
	g.budget.NoteAttempt(now, e.isLoadRefusal())
	return e
}

// isSlow reports whether an attempt without a reply counts as a sample. One
// that was cancelled above the quantile took at least this long, and leaving it
// out would bias the quantile towards fast replies. One that was cancelled
// earlier says nothing.
func (g *Gateway) isSlow(ctx context.Context, service string, took time.Duration, now time.Time) bool {
	if ctx.Err() == nil {
		return false
	}
	quantile, ok := g.stats.quantile(service, now)
	return ok && took >= quantile || context.Cause(ctx) == context.DeadlineExceeded
}

// classify turns an error of the executor into an outcome.
func (g *Gateway) classify(ctx context.Context, err error) (outcome.Code, outcome.Reason) {
	switch {
	case g.notSent(err):
		return outcome.NotRun, outcome.ReasonUnreachable
	case context.Cause(ctx) == context.Canceled:
		return outcome.Unknown, outcome.ReasonCancelled
	case ctx.Err() != nil:
		return outcome.Unknown, outcome.ReasonTimeout
	default:
		// The call broke off before its reply arrived.
		return outcome.Unknown, outcome.ReasonTruncated
	}
}

func (g *Gateway) noteLoad(t *targetStats, reply *peerpb.ExecuteReply, now time.Time) {
	l := reply.GetLoad()
	if l == nil {
		return
	}
	t.load.Store(&timedLoad{at: now, load: state.Load{
		Target: l.GetTarget(), Phase: state.Phase(l.GetPhase()), Limit: int(l.GetLimit()),
		InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()),
		LatencyMicros: l.GetLatencyMicros(), Incarnation: l.GetIncarnation(),
	}})
}

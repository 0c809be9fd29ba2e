package gateway

import (
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// classifyShardReply checks the body of an answered attempt. An unusable body
// makes the outcome unknown.
func classifyShardReply(req *peerpb.ExecuteRequest, e attemptEnd) (outcome.Code, []rawItem, outcome.Reason) {
	items, reason := parseShardReply(req, e.peerReply)
	if reason != outcome.ReasonNone {
		return outcome.Unknown, nil, reason
	}
	return outcome.Answered, items, outcome.ReasonNone
}

// handleFailure decides what follows a failed attempt of a shard: the same target
// through another holder, a wait for a holder, another replica, or the failure of
// the shard.
func (s *scatterRun) handleFailure(i int, failed Choice, e attemptEnd) {
	sh := &s.shards[i]
	if holder := s.g.otherHolder(e, failed); holder != "" && sh.reroutes < maxHolderReroutes {
		sh.reroutes++
		failed.Instance = holder
		s.reroute(i, failed, e.reason)
		return
	}
	if sh.inFlight > 0 {
		return
	}
	c, ok := s.nextReplica(sh)
	if !ok && s.ctx.Err() == nil && e.hasNoHolder() && sh.holderWaits < holderWaitLimit(s.q.Declaration.Class) {
		sh.holderWaits++
		sh.rerouteAt = time.Now().Add(holderWait(sh.holderWaits))
		return
	}
	switch {
	case !ok, s.ctx.Err() != nil, e.reason == outcome.ReasonExpired:
		s.failShard(sh, e.reason)
	case !e.reachedTarget() && !e.isLoadRefusal():
		// No target received the attempt, so another one is not extra load. The
		// number of replicas bounds these reroutes.
		s.reroute(i, c, e.reason)
	case sh.retries >= maxRetries:
		s.failShard(sh, e.reason)
	default:
		if refusal := s.g.reserveExtraLoad(c, s.g.policy.Retries == RetryNaive); refusal != "" {
			s.logRefusal(i, "retry", c, refusal)
			s.failShard(sh, e.reason)
			return
		}
		sh.retries++
		s.g.metrics.retries.Inc(1)
		s.logDecision(i, "retry", c, string(e.reason))
		s.startAttempt(i, c, false)
	}
}

const (
	// maxHolderWaits bounds the waits of a complete search or an operation. They
	// add up to 3 s, which is longer than a lease and its takeover take together.
	maxHolderWaits = 7
	// maxPartialHolderWaits bounds the waits of a partial search. They add up to
	// 175 ms: a caller that accepts a partial answer should not wait long for a
	// target that has no holder.
	maxPartialHolderWaits = 3
)

// holderWaitLimit returns how often a shard may wait because no replica has a
// holder with a lease.
func holderWaitLimit(class declare.Class) int {
	if class == declare.ClassPartial {
		return maxPartialHolderWaits
	}
	return maxHolderWaits
}

// holderWait returns the duration of the nth wait, each twice as long as the one
// before.
func holderWait(n int) time.Duration { return 25 * time.Millisecond << (n - 1) }

// hasNoHolder reports whether the attempt was not run because the instance that
// got it has no lease for the target.
func (e attemptEnd) hasNoHolder() bool {
	return e.code == outcome.NotRun && e.reason == outcome.ReasonNoLease
}

// sendAfterHolderWaits tries the replicas of a shard from the start after each
// wait for a holder. No target received the last attempt, so this is not extra
// load.
func (s *scatterRun) sendAfterHolderWaits() {
	now := time.Now()
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done || sh.rerouteAt.IsZero() || sh.rerouteAt.After(now) {
			continue
		}
		sh.rerouteAt, sh.nextIndex, sh.reroutes = time.Time{}, 0, 0
		c, ok := s.nextReplica(sh)
		if !ok {
			s.failShard(sh, sh.reason)
			continue
		}
		c.Instance = s.g.route(s.g.store.Load(), c.Target)
		s.reroute(i, c, sh.reason)
	}
}

// otherHolder returns the instance to send to instead after a failed attempt: the
// holder that a no-right reply names or, if it names none or the instance was not
// reached, the holder by the current state. It returns "" if there is no other.
func (g *Gateway) otherHolder(e attemptEnd, failed Choice) string {
	holder := ""
	switch {
	case e.code != outcome.NotRun:
	case e.reason == outcome.ReasonNoLease && e.holder != "":
		holder = e.holder
	case e.reason == outcome.ReasonNoLease, e.reason == outcome.ReasonUnreachable && e.peerReply == nil:
		holder = g.route(g.store.Load(), failed.Target)
	}
	if holder == failed.Instance {
		return ""
	}
	return holder
}

// reroute sends an attempt that is not extra load, because no target received
// the one before.
func (s *scatterRun) reroute(i int, c Choice, r outcome.Reason) {
	s.g.metrics.reroutes.Inc(1)
	s.logDecision(i, "reroute", c, string(r))
	s.startAttempt(i, c, false)
}

// nextReplica returns the next replica of the plan that may get new requests by
// the current state. Since the plan was made, its zone may have been taken out or
// the target may have started to leave.
func (s *scatterRun) nextReplica(sh *shardRun) (Choice, bool) {
	snap := s.g.store.Load()
	for sh.nextIndex < len(sh.plan.Replicas) {
		c := sh.plan.Replicas[sh.nextIndex]
		sh.nextIndex++
		if t, ok := snap.Targets[c.Target]; ok && isUsable(snap, t) {
			return c, true
		}
	}
	return Choice{}, false
}

// reserveExtraLoad takes a token of the retry budget for a hedge or a retry on a
// replica. It returns "", or the reason why the sub-request must not be sent. A
// naive retry is always allowed and takes no token.
func (g *Gateway) reserveExtraLoad(c Choice, naive bool) string {
	switch {
	case naive:
		return ""
	case g.budget.Overloaded(time.Now()):
		return "overload"
	case c.Backlogged:
		return "queue"
	case !g.budget.TakeToken():
		g.metrics.budgetRefusals.Inc(1)
		return "budget"
	}
	return ""
}

func (s *scatterRun) logDecision(i int, kind string, c Choice, reason string) {
	sh := &s.shards[i]
	s.g.logger.Info().Str("request_id", s.q.RequestID).Str("attempt_id", attemptID(s.q, i, len(sh.attempts))).
		Str("shard", sh.plan.Shard).Str("target", c.Target).Str("instance", c.Instance).
		Str("reason", reason).Msg(kind)
}

func (s *scatterRun) logRefusal(i int, kind string, c Choice, reason string) {
	sh := &s.shards[i]
	s.g.logger.Info().Str("request_id", s.q.RequestID).Str("attempt_id", sh.attempts[len(sh.attempts)-1].id).
		Str("shard", sh.plan.Shard).Str("target", c.Target).Str("refused", kind).
		Str("reason", reason).Msg("refuse")
}

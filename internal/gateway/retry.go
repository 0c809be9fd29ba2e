package gateway

import (
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// wholePart checks the body of an answered attempt.
func wholePart(req *peerpb.ExecuteRequest, e event) (outcome.Code, []rawItem, outcome.Reason) {
	items, reason := readPart(req, e.body)
	if reason != outcome.ReasonNone {
		return outcome.Unknown, nil, reason
	}
	return outcome.Answered, items, outcome.ReasonNone
}

// recover decides what follows a failed attempt of a shard: another holder,
// another replica or the end.
func (s *scatterRun) recover(i int, failed Choice, e event) {
	sh := &s.shards[i]
	if holder := s.g.otherHolder(e, failed); holder != "" && sh.reroutes < maxHolderReroutes {
		sh.reroutes++
		failed.Instance = holder
		s.reroute(i, failed, e.reason)
		return
	}
	if sh.live > 0 {
		return
	}
	c, ok := s.nextReplica(sh)
	if !ok && s.ctx.Err() == nil && e.isMoving() && sh.waits < maxMoveWaits(s.q.Search.Class) {
		sh.waits++
		sh.retryAt = time.Now().Add(moveWait(sh.waits))
		return
	}
	switch {
	case !ok, s.ctx.Err() != nil, e.reason == outcome.ReasonExpired:
		s.fail(sh, e.reason)
	case !e.reachedTarget() && !e.isLoadRefusal():
		// The target never saw the attempt, so this is not extra load. The
		// number of replicas bounds it.
		s.reroute(i, c, e.reason)
	case sh.retries >= maxRetries:
		s.fail(sh, e.reason)
	default:
		if why := s.g.mayAddLoad(c, s.g.policy.Retries == RetryNaive); why != "" {
			s.logRefused(i, "retry", c, why)
			s.fail(sh, e.reason)
			return
		}
		sh.retries++
		s.g.metrics.retries.Inc(1)
		s.logDecision(i, "retry", c, string(e.reason))
		s.send(i, c, false)
	}
}

const (
	// wholeMoveWaits add up to 3 s, which is longer than a lease and its
	// take-over.
	wholeMoveWaits = 7
	// partialMoveWaits add up to 175 ms: a caller that takes a partial answer
	// does not wait for a target that has no holder for long.
	partialMoveWaits = 3
)

// maxMoveWaits bounds how often a sub-request waits while no replica has a
// holder that may send.
func maxMoveWaits(class declare.Class) int {
	if class == declare.ClassPartial {
		return partialMoveWaits
	}
	return wholeMoveWaits
}

func moveWait(n int) time.Duration { return 25 * time.Millisecond << (n - 1) }

// isMoving reports whether the attempt failed only because its target has no
// holder that may send at the moment.
func (e event) isMoving() bool {
	return e.code == outcome.NotRun && e.reason == outcome.ReasonNoRight
}

// sendAfterMoves tries the replicas once more when their targets may have a
// holder again. No target saw the earlier attempts, so this is not extra load.
func (s *scatterRun) sendAfterMoves() {
	now := time.Now()
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done || sh.retryAt.IsZero() || sh.retryAt.After(now) {
			continue
		}
		sh.retryAt, sh.next, sh.reroutes = time.Time{}, 0, 0
		c, ok := s.nextReplica(sh)
		if !ok {
			s.fail(sh, sh.reason)
			continue
		}
		c.Instance = s.g.route(s.g.store.Load(), c.Target)
		s.reroute(i, c, sh.reason)
	}
}

// otherHolder returns the instance to ask instead: the one that a no-right
// reply names or, if the holder was not reached, the one to which the current
// state routes. It returns "" if there is no other.
func (g *Gateway) otherHolder(e event, failed Choice) string {
	holder := ""
	switch {
	case e.code != outcome.NotRun:
	case e.reason == outcome.ReasonNoRight && e.holder != "":
		holder = e.holder
	case e.reason == outcome.ReasonNoRight, e.reason == outcome.ReasonUnreachable && e.body == nil:
		holder = g.route(g.store.Load(), failed.Target)
	}
	if holder == failed.Instance {
		return ""
	}
	return holder
}

func (s *scatterRun) reroute(i int, c Choice, r outcome.Reason) {
	s.g.metrics.reroutes.Inc(1)
	s.logDecision(i, "reroute", c, string(r))
	s.send(i, c, false)
}

// nextReplica returns the next replica that may still get new work. The state
// may have changed since the plan: a zone may be out or a target leaving.
func (s *scatterRun) nextReplica(sh *shardRun) (Choice, bool) {
	snap := s.g.store.Load()
	for sh.next < len(sh.plan.Replicas) {
		c := sh.plan.Replicas[sh.next]
		sh.next++
		if t, ok := snap.Targets[c.Target]; ok && isUsable(snap, t) {
			return c, true
		}
	}
	return Choice{}, false
}

// mayAddLoad takes a token for an extra sub-request, or says why not.
func (g *Gateway) mayAddLoad(c Choice, naive bool) string {
	switch {
	case naive:
		return ""
	case g.budget.Overloaded(time.Now()):
		return "overload"
	case c.Backlogged:
		return "queue"
	case !g.budget.Take():
		g.metrics.budgetEmpty.Inc(1)
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

func (s *scatterRun) logRefused(i int, kind string, c Choice, reason string) {
	sh := &s.shards[i]
	s.g.logger.Info().Str("request_id", s.q.RequestID).Str("attempt_id", sh.attempts[len(sh.attempts)-1].id).
		Str("shard", sh.plan.Shard).Str("target", c.Target).Str("refused", kind).
		Str("reason", reason).Msg("refuse")
}

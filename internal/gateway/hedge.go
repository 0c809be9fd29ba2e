package gateway

import "time"

const (
	minHedgeDelay = 2 * time.Millisecond
	// coldHedgeDelay applies while a service has too few samples for a
	// quantile. It only catches replicas that hang.
	coldHedgeDelay = 250 * time.Millisecond
	maxHedgeWaits  = 3
)

// hedgeDelay returns the time after which a sub-request may be hedged: the
// quantile of the time at the holder and the round trip to it.
func (g *Gateway) hedgeDelay(service, instance string, now time.Time) (time.Duration, bool) {
	switch g.policy.Hedging {
	case HedgeOff:
		return 0, false
	case HedgeFixed:
		return g.policy.FixedDelay, true
	}
	quantile, ok := g.stats.quantile(service, now)
	if !ok {
		return coldHedgeDelay, true
	}
	return max(quantile, minHedgeDelay) + g.roundTrip(instance), true
}

// sendHedges sends the hedges that are due. A hedge without a token waits for
// the delay once more, because first attempts of other queries add tokens.
func (s *scatterRun) sendHedges() {
	now := time.Now()
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done || sh.hedgeAt.IsZero() || sh.hedgeAt.After(now) {
			continue
		}
		sh.hedgeAt = time.Time{}
		if sh.hedged || sh.live != 1 {
			continue
		}
		next := sh.next
		c, ok := s.nextReplica(sh)
		if !ok || c.Tier > 0 {
			sh.next = next
			continue
		}
		if why := s.g.mayAddLoad(c, false); why != "" {
			sh.next = next
			s.putOffHedge(i, c, why, now)
			continue
		}
		sh.hedged = true
		s.g.metrics.hedges.Inc(1)
		s.logDecision(i, "hedge", c, string(s.g.policy.Hedging))
		s.send(i, c, true)
	}
}

// putOffHedge schedules a refused hedge once more, or gives it up.
func (s *scatterRun) putOffHedge(i int, c Choice, why string, now time.Time) {
	sh := &s.shards[i]
	d, ok := s.g.hedgeDelay(sh.plan.Service, c.Instance, now)
	if !ok || sh.hedgeWaits >= maxHedgeWaits {
		s.logRefused(i, "hedge", c, why)
		return
	}
	sh.hedgeWaits++
	sh.hedgeAt = now.Add(d)
	s.g.logger.Debug().Str("request_id", s.q.RequestID).Str("shard", sh.plan.Shard).
		Str("target", c.Target).Str("reason", why).Dur("wait", d).Msg("hedge put off")
}

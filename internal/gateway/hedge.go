package gateway

import "time"

const (
	minHedgeDelay = 2 * time.Millisecond
	// fallbackHedgeDelay applies while there are too few samples for a quantile.
	// It is long because it is only meant for replicas that hang.
	fallbackHedgeDelay    = 250 * time.Millisecond
	maxHedgePostponements = 3
)

// hedgeDelay returns the time after which a sub-request may be hedged, or false
// if it may not. By default this is the quantile of the time at the holder plus
// the round trip to it.
func (g *Gateway) hedgeDelay(service, instance string, now time.Time) (time.Duration, bool) {
	switch g.policy.Hedging {
	case HedgeOff:
		return 0, false
	case HedgeFixed:
		return g.policy.FixedDelay, true
	}
	quantile, ok := g.stats.quantile(service, now)
	if !ok {
		return fallbackHedgeDelay, true
	}
	return max(quantile, minHedgeDelay) + g.roundTrip(instance), true
}

// sendHedges sends the hedges that are due. A refused hedge is postponed,
// because first attempts of other queries add tokens meanwhile.
func (s *scatterRun) sendHedges() {
	now := time.Now()
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done || sh.hedgeAt.IsZero() || sh.hedgeAt.After(now) {
			continue
		}
		sh.hedgeAt = time.Time{}
		if sh.hedged || sh.inFlight != 1 {
			continue
		}
		nextIndex := sh.nextIndex
		c, ok := s.nextReplica(sh)
		if !ok || c.Tier > 0 {
			sh.nextIndex = nextIndex
			continue
		}
		if refusal := s.g.reserveExtraLoad(c, false); refusal != "" {
			sh.nextIndex = nextIndex
			s.postponeHedge(i, c, refusal, now)
			continue
		}
		sh.hedged = true
		s.g.metrics.hedges.Inc(1)
		s.logDecision(i, "hedge", c, string(s.g.policy.Hedging))
		s.startAttempt(i, c, true)
	}
}

// postponeHedge schedules a refused hedge after another hedge delay, or drops
// it after maxHedgePostponements.
func (s *scatterRun) postponeHedge(i int, c Choice, refusal string, now time.Time) {
	sh := &s.shards[i]
	d, ok := s.g.hedgeDelay(sh.plan.Service, c.Instance, now)
	if !ok || sh.hedgePostponements >= maxHedgePostponements {
		s.logRefusal(i, "hedge", c, refusal)
		return
	}
	sh.hedgePostponements++
	sh.hedgeAt = now.Add(d)
	s.g.logger.Debug().Str("request_id", s.q.RequestID).Str("shard", sh.plan.Shard).
		Str("target", c.Target).Str("reason", refusal).Dur("wait", d).Msg("hedge postponed")
}

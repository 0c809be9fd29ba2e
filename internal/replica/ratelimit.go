package replica

import "time"

// rateLimit is the rate limit that a replica has named in its answers. It is in force
// while named is set. The Backend's lock guards all fields.
type rateLimit struct {
	named     bool
	perSecond float64   // over all instances
	namedAt   time.Time // when the last answer that named it arrived
	sent      int       // requests sent by this instance while it is in force
}

// observe takes in what an answer states. started is when its exchange started, now
// when the answer arrived. It reports whether the limit has changed.
//
// A limit, and a lower one, holds at once. It is lifted or raised only by the answer
// to an exchange that started after the last one that named it: answers arrive out of
// order, and an earlier one may say what was true before.
func (l *rateLimit) observe(now, started time.Time, stated RateLimit) (changed bool) {
	current := started.After(l.namedAt)
	switch stated.Statement {
	case RateLimitAbsent:
		if !l.named || !current {
			return false
		}
		*l = rateLimit{namedAt: l.namedAt}
		return true
	case RateLimitNamed:
		if l.named && stated.PerSecond > l.perSecond && !current {
			return false
		}
		changed = !l.named || stated.PerSecond != l.perSecond
		l.named, l.perSecond, l.namedAt = true, stated.PerSecond, now
	}
	return changed
}

// observeRateLimit takes in what an answer states about the rate limit, and logs a
// change. b.mu is held.
func (b *Backend) observeRateLimit(now, started time.Time, stated RateLimit) {
	sent, since := b.rateLimit.sent, b.rateLimit.namedAt
	if !b.rateLimit.observe(now, started, stated) {
		return
	}
	e := b.logger.Info().Str("event", "rate limit").Str("replica", b.ID).Str("service", b.Service).Bool("limited", b.rateLimit.named)
	if b.rateLimit.named {
		e = e.Float64("per_second", b.rateLimit.perSecond)
	} else {
		e = e.Int("sent", sent).Dur("last_named_before", now.Sub(since))
	}
	e.Msg("replica named, changed or lifted its rate limit")
}

// Limited reports whether a rate limit of the replica is in force.
func (b *Backend) Limited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateLimit.named
}

package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// minRatePerSecond is the rate over all instances at which a replica is tried that
	// names a lower limit, zero included. Its answers alone can lift the limit.
	minRatePerSecond = 0.25
	// burstTime and burstBase bound the requests that all instances together may send
	// at once: burstTime of the limit, plus burstBase.
	burstTime = time.Second
	burstBase = 2
	// probeShare is the part of the limit that the instances without a share use beyond
	// what they borrow, to notice that the limit is lifted.
	probeShare = 0.05
	// probeWindow is how long the permission for such a request holds. It lapses
	// unused, so that instances without traffic do not all send at once later.
	probeWindow = time.Second
	// maxRetryOffer bounds how far ahead refused callers are told to come back.
	maxRetryOffer = 5 * time.Second
)

// RateShare is the place of this instance among those that send to a replica.
type RateShare struct {
	// Rank is the number of instances that come before this one for the replica.
	Rank int
	// Senders is the number of instances that send to the replica.
	Senders int
}

// rateLimit is the rate limit that a replica has named in its answers, and the part of
// it that this instance has left. It is in force while named is set.
//
// Each of the first instances in the rendezvous order of the replica has an equal share,
// as a token bucket. Their number is limited such that every bucket holds at least one
// request and all buckets together at most the burst. An instance that denies requests
// borrows what others have left, see Pool.Lend. The instances without a share also send
// a request now and then, see probeShare. The Backend's lock guards all fields.
type rateLimit struct {
	named     bool
	perSecond float64   // over all instances
	namedAt   time.Time // when the last answer that named it arrived
	sent      int       // requests sent by this instance while it is in force

	tokens     float64 // requests that may be sent now
	refilledAt time.Time
	borrowed   float64                    // requests that other instances have lent
	lapsesAt   time.Time                  // when borrowed can no longer be used
	denials    [denialsToBorrow]time.Time // when requests were last denied, the latest first
	askedAt    time.Time                  // when another instance was last asked whether the limit was lifted
	probeAt    time.Time                  // start of the next probeWindow; zero until one is drawn
	offered    time.Time                  // latest time at which a refused caller was told to come back
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
		if !l.named {
			// Starts empty: other instances may have sent the share until now.
			l.refilledAt = now
		}
		changed = !l.named || stated.PerSecond != l.perSecond
		l.named, l.perSecond, l.namedAt = true, stated.PerSecond, now
	}
	return changed
}

// rate returns the requests per second that all instances together send.
func (l *rateLimit) rate() float64 { return max(l.perSecond, minRatePerSecond) }

// bucket returns the share of this instance, in requests per second, and the size of
// its bucket. Both are 0 if it has no share.
func (l *rateLimit) bucket(share RateShare) (perSecond, size float64) {
	holders := l.holders(share.Senders)
	if share.Rank >= holders {
		return 0, 0
	}
	return l.rate() / float64(holders), l.burst() / float64(holders)
}

// burst returns the requests that all instances together may send at once.
func (l *rateLimit) burst() float64 { return l.rate()*burstTime.Seconds() + burstBase }

// holders returns how many of the senders have a share.
func (l *rateLimit) holders(senders int) int {
	return int(min(l.burst(), float64(max(senders, 1))))
}

// nextAt returns the earliest time at which the limit admits a request; now or earlier
// if it admits one now.
func (l *rateLimit) nextAt(now time.Time, share RateShare) time.Time {
	if now.After(l.lapsesAt) {
		l.borrowed = 0
	}
	perSecond, size := l.bucket(share)
	l.refill(now, perSecond, size)
	if l.tokens+l.borrowed >= 1 {
		return now
	}
	if perSecond == 0 {
		if l.probeAt.IsZero() || now.After(l.probeAt.Add(probeWindow)) {
			l.drawProbe(now, share)
		}
		return l.probeAt
	}
	return now.Add(secondsToDuration((1 - l.tokens - l.borrowed) / perSecond))
}

func (l *rateLimit) refill(now time.Time, perSecond, size float64) {
	l.tokens = min(l.tokens+perSecond*now.Sub(l.refilledAt).Seconds(), size)
	l.refilledAt = now
}

// drawProbe sets the next time at which an instance without a share may send.
func (l *rateLimit) drawProbe(now time.Time, share RateShare) {
	mean := float64(share.Senders) / (probeShare * l.rate())
	l.probeAt = now.Add(secondsToDuration(mean * (0.5 + rand.Float64())))
}

// take counts a request that nextAt has admitted.
func (l *rateLimit) take(now time.Time, share RateShare) {
	l.sent++
	if perSecond, _ := l.bucket(share); perSecond == 0 && l.tokens+l.borrowed < 1 {
		l.drawProbe(now, share)
		return
	}
	used := min(l.borrowed, 1)
	l.borrowed -= used
	l.tokens -= 1 - used
}

// refund gives back a request that was counted but not sent, unless the limit was lifted
// meanwhile.
func (l *rateLimit) refund() {
	if !l.named {
		return
	}
	l.sent--
	l.tokens++
}

// retryAfter returns the delay after which a refused caller may come back. Each gets
// a later one than the caller before, as far apart as the limit admits requests.
func (l *rateLimit) retryAfter(now time.Time, share RateShare) time.Duration {
	l.noteDenial(now)
	perSecond, _ := l.bucket(share)
	next := l.nextAt(now, share)
	if perSecond == 0 {
		// Another instance, which the caller may reach next, admits the request.
		perSecond, next = l.rate(), now
	}
	if after := l.offered.Add(secondsToDuration(1 / perSecond)); after.After(next) {
		next = after
	}
	if next.Sub(now) > maxRetryOffer {
		return maxRetryOffer
	}
	l.offered = next
	return next.Sub(now)
}

// observeRateLimit takes in what an answer states about the rate limit, and logs a
// change. b.mu is held.
func (b *Backend) observeRateLimit(now, started time.Time, stated RateLimit) {
	sent, since := b.rateLimit.sent, b.rateLimit.namedAt
	if !b.rateLimit.observe(now, started, stated) {
		return
	}
	b.limited.Store(b.rateLimit.named)
	e := b.logger.Info().Str("event", "rate limit").Str("replica", b.ID).Str("service", b.Service).Bool("limited", b.rateLimit.named)
	if b.rateLimit.named {
		e = e.Float64("per_second", b.rateLimit.perSecond)
	} else {
		e = e.Int("sent", sent).Dur("last_named_before", now.Sub(since))
	}
	e.Msg("replica named, changed or lifted its rate limit")
}

// Limited reports whether a rate limit of the replica is in force.
func (b *Backend) Limited() bool { return b.limited.Load() }

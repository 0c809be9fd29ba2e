package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// maxPause bounds the time for which a replica is believed that wants no requests.
	maxPause = time.Hour
	// pauseSpread is the time over which callers that were refused for a pause are told
	// to return after its end, as a share of what is left of the pause.
	pauseSpread = 0.25
)

// observeLeaving takes in whether an answer says that the replica leaves. That holds for
// the incarnation, whatever later answers and the platform's list say. b.mu is held.
func (b *Backend) observeLeaving(leaving bool) {
	if !leaving || b.leaving {
		return
	}
	b.leaving = true
	b.retired.Store(true)
	b.client.CloseIdle()
	b.logger.Info().Str("event", "leaving").Str("replica", b.ID).Str("service", b.Service).Msg("replica says that it leaves; it gets no more requests")
}

// observeRetryAfter takes in for how long an answer wants no more requests from this
// instance. An earlier answer that named a later time still holds. b.mu is held.
func (b *Backend) observeRetryAfter(now time.Time, d time.Duration) {
	until := now.Add(min(d, maxPause))
	if d <= 0 || !until.After(b.pausedUntil) {
		return
	}
	b.pausedUntil = until
	b.paused.Store(true)
	b.logger.Info().Str("event", "paused").Str("replica", b.ID).Str("service", b.Service).Dur("for", d).Msg("replica wants no requests for some time")
}

// Restricted reports whether the replica may admit nothing now although it can be
// reached: it has named a rate limit, or wants no requests for some time.
func (b *Backend) Restricted() bool { return b.limited.Load() || b.paused.Load() }

// AdmitsFrom returns the earliest time at which the replica's rate limit and its pause
// admit a request; the zero time if they admit one now.
func (b *Backend) AdmitsFrom(now time.Time, share RateShare) (at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.pausedUntil) {
		at = b.pausedUntil
	} else {
		b.paused.Store(false)
	}
	if b.rateLimit.named {
		if next := b.rateLimit.nextAt(now, share); next.After(now) && next.After(at) {
			at = next
		}
	}
	return at
}

// RetryAfter returns the delay after which a caller may come back that was refused
// because of the replica's rate limit or its pause, and which of them is the reason. The
// delay is 0 if neither is in force.
func (b *Backend) RetryAfter(now time.Time, share RateShare) (reason string, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rateLimit.named {
		reason, delay = ReasonRateLimit, b.rateLimit.retryAfter(now, share)
	}
	if left := b.pausedUntil.Sub(now); left > delay {
		spread := time.Duration(rand.Float64() * pauseSpread * float64(left))
		reason, delay = ReasonPaused, min(left+spread, maxRetryOffer)
	}
	return reason, delay
}

// standing is what a replica has said of itself that binds later requests. It outlives
// the entry of the replica: entries lapse while the store is away, and the replica is
// listed again soon after.
type standing struct {
	startedAt   int64 // of the incarnation, as in Backend
	limit       rateLimit
	pausedUntil time.Time
	leaving     bool
	forgetAt    time.Time
}

const (
	// keepDelistedLimit is how long the rate limit of a replica that is no longer listed
	// is remembered. It is longer than most outages of the store.
	keepDelistedLimit = time.Minute
	// keepDelistedLeaving is how long it is remembered that such a replica leaves. A list
	// that is out of date, or restored from a copy, may name it again as ready.
	keepDelistedLeaving = time.Hour
)

// standing returns what has to be remembered of a replica that is no longer listed, if
// anything.
func (b *Backend) standing(now time.Time) (s standing, relevant bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s = standing{startedAt: b.startedAt, limit: b.rateLimit, pausedUntil: b.pausedUntil, leaving: b.leaving, forgetAt: b.pausedUntil}
	if b.rateLimit.named {
		s.forgetAt = later(s.forgetAt, now.Add(keepDelistedLimit))
	}
	if b.leaving {
		s.forgetAt = later(s.forgetAt, now.Add(keepDelistedLeaving))
	}
	return s, s.forgetAt.After(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// restore gives a new Backend the standing of its incarnation.
func (b *Backend) restore(s standing) {
	b.rateLimit, b.pausedUntil, b.leaving = s.limit, s.pausedUntil, s.leaving
	b.limited.Store(s.limit.named)
	b.paused.Store(!s.pausedUntil.IsZero())
	b.retired.Store(s.leaving)
}

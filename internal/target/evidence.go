package target

import (
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// evidenceState accumulates the evidence of all exchanges with a target. The lock
// of its Backend guards it.
type evidenceState struct {
	// generation changes whenever the limit is set. Answers to requests of an
	// earlier generation do not raise the limit.
	generation    uint64
	goodStreak    int // consecutive good answers with the current limit in full use
	lastStepAt    time.Time
	firstColdSend time.Time // first send since the target turned cold; zero before it
	turnedColdAt  time.Time

	shedStreak     int // consecutive refusals because of overload
	failureStreak  int
	ejectionStreak int  // ejections since the last good answer at full load
	probing        bool // after an ejection, until a probe ends
	ejectedUntil   time.Time

	latency         time.Duration    // smoothed service time of answers
	deviation       time.Duration    // smoothed absolute deviation from latency
	baseline        time.Duration    // smoothed service time while warm
	baselineSamples int              // answers in baseline, up to 16
	slowAnswers     [slowWindow]bool // whether each of the last warm answers was slow, as a ring
	nextSlowIndex   int
	answerCount     int
}

// changePhase fires t at the state machine and logs the transition.
func (b *Backend) changePhase(t trigger, reason string) {
	from := b.phase
	if err := b.machine.Fire(t); err != nil {
		b.log.Error().Str("target", b.name).Str("phase", string(from)).Str("trigger", string(t)).Err(err).Msg("target state not changed")
		return
	}
	b.log.Info().Str("target", b.name).Str("from", string(from)).Str("phase", string(b.phase)).
		Str("trigger", string(t)).Str("reason", reason).Int("limit", b.limit).Str("incarnation", b.incarnation).Msg("target state")
}

func (b *Backend) setLimit(n int) {
	b.limit = n
	b.goodStreak = 0
	b.generation++
}

// turnCold puts the target into the cold phase with the cold limit. t is
// triggerTurnedCold, triggerNewIncarnation, triggerEjectionOver or
// triggerAnsweredWhileEjected.
func (b *Backend) turnCold(t trigger, reason string, now time.Time) {
	b.setLimit(b.coldLimit)
	if b.phase != state.PhaseCold || t == triggerNewIncarnation {
		b.changePhase(t, reason)
		b.firstColdSend, b.turnedColdAt = time.Time{}, now
	}
	b.lastStepAt = now
	b.shedStreak = 0
	b.slowAnswers = [slowWindow]bool{}
}

// observeIncarnation makes id the current incarnation if it is a new one. A
// replacement starts cold and without the evidence about its predecessor.
func (b *Backend) observeIncarnation(id string) {
	if id == "" || id == b.incarnation || b.replacedIncarnations[id] {
		return
	}
	isFirst := b.incarnation == ""
	if !isFirst {
		b.replacedIncarnations[b.incarnation] = true
	}
	b.incarnation = id
	if isFirst {
		return
	}
	b.failureStreak, b.ejectionStreak, b.probing = 0, 0, false
	b.baseline, b.baselineSamples, b.latency, b.deviation = 0, 0, 0, 0
	b.turnCold(triggerNewIncarnation, "incarnation changed", time.Now())
}

// markLeaving stops new requests to the current incarnation and refuses those
// that wait.
func (b *Backend) markLeaving(reason string) {
	if b.phase == state.PhaseLeaving {
		return
	}
	b.changePhase(triggerLeaving, reason)
	b.refuseWaiters(outcome.ReasonLeaving)
}

// endDueEjection ends an ejection whose time is over. The target then gets one
// request at a time until one succeeds or ejects it again.
func (b *Backend) endDueEjection(now time.Time) {
	if b.phase == state.PhaseEjected && !now.Before(b.ejectedUntil) {
		b.probing = true
		b.turnCold(triggerEjectionOver, "ejection time over, one probe at a time", now)
	}
}

// observeReply applies the evidence of one exchange to the phase and the limit.
func (b *Backend) observeReply(p *permit, r reply, now time.Time) {
	if r.incarnation != "" && b.replacedIncarnations[r.incarnation] {
		return // late answer of a replaced incarnation
	}
	atFullLimit := p.atFullLimit || b.inFlight >= b.currentLimit()
	if r.incarnation != b.incarnation {
		b.observeIncarnation(r.incarnation)
	}
	if r.drain {
		b.markLeaving("drain signal of the target")
	}
	if b.phase == state.PhaseLeaving {
		return
	}
	switch r.evidence {
	case evidenceGood:
		b.observeGood(p, atFullLimit, now)
	case evidenceShed:
		b.failureStreak = 0
		b.observeShed(now)
	case evidenceRefused:
		if b.phase == state.PhaseWarm || b.phase == state.PhaseWarming {
			b.turnCold(triggerTurnedCold, "connection refused", now)
		}
		b.observeFailure("connection refused", now)
	case evidenceTimeout:
		// A timeout sooner than twice the usual service time says nothing about
		// the target.
		if now.Sub(p.started) >= 2*b.latency {
			b.observeFailure("timeout", now)
		}
	case evidenceBroken:
		b.observeFailure(string(r.result.Reason), now)
	}
}

func (b *Backend) observeGood(p *permit, atFullLimit bool, now time.Time) {
	took := now.Sub(p.started)
	b.answerCount++
	b.failureStreak, b.shedStreak = 0, 0
	if b.latency == 0 {
		b.latency = took
	} else {
		difference := took - b.latency
		b.latency += difference / 8
		b.deviation += (difference.Abs() - b.deviation) / 8
	}
	if b.phase == state.PhaseEjected {
		b.turnCold(triggerAnsweredWhileEjected, "answered while ejected", now)
		return
	}
	if b.probing {
		b.probing = false
		b.setLimit(b.coldLimit)
		return
	}
	slow := b.baseline > 0 && took >= slowFloor && took >= slowFactor*b.baseline
	if b.phase == state.PhaseWarm {
		if b.detectSlowdown(slow) {
			b.turnCold(triggerTurnedCold, "service time far above the baseline", now)
			return
		}
		if !slow {
			b.baselineSamples = min(b.baselineSamples+1, 16)
			b.baseline += (took - b.baseline) / time.Duration(b.baselineSamples)
		}
	} else if slow && now.Sub(b.turnedColdAt) < baselineRetention {
		b.goodStreak = 0
		return
	}
	b.rampUp(p, atFullLimit, now)
}

// detectSlowdown records whether one answer of a warm target was slow and reports
// whether so many recent ones were that the target must have turned cold.
func (b *Backend) detectSlowdown(slow bool) bool {
	b.slowAnswers[b.nextSlowIndex] = slow
	b.nextSlowIndex = (b.nextSlowIndex + 1) % slowWindow
	n := 0
	for _, s := range b.slowAnswers {
		if s {
			n++
		}
	}
	return n >= slowCount
}

// rampUp counts a good answer and raises the limit by one after RampSuccesses of
// them with the limit in full use.
func (b *Backend) rampUp(p *permit, atFullLimit bool, now time.Time) {
	if b.phase == state.PhaseWarm && b.limit >= b.slots {
		b.ejectionStreak = 0
		return
	}
	if p.generation != b.generation || !atFullLimit {
		return
	}
	b.goodStreak++
	if b.goodStreak < RampSuccesses {
		return
	}
	// RampInterval applies to a cold start only; a warm target that shed one
	// request recovers as fast as its answers allow.
	if b.phase != state.PhaseWarm && now.Sub(b.lastStepAt) < RampInterval {
		return
	}
	b.lastStepAt = now
	b.setLimit(min(b.limit+1, b.slots))
	switch {
	case b.phase == state.PhaseWarm:
		b.log.Info().Str("target", b.name).Int("limit", b.limit).Msg("target limit recovers")
	case b.limit >= b.slots:
		b.changePhase(triggerFullLoad, "good answers at the full limit")
		b.log.Info().Str("target", b.name).Dur("time_to_full", now.Sub(b.firstColdSend)).Int("limit", b.limit).Msg("target at full load")
		b.firstColdSend = time.Time{}
		b.slowAnswers, b.baselineSamples, b.baseline = [slowWindow]bool{}, 0, 0
	case b.phase == state.PhaseCold:
		b.changePhase(triggerStepUp, "good answers at the full limit")
	default:
		b.log.Info().Str("target", b.name).Int("limit", b.limit).Msg("target limit raised")
	}
}

func (b *Backend) observeShed(now time.Time) {
	if b.phase != state.PhaseWarm {
		if b.phase != state.PhaseEjected {
			b.turnCold(triggerTurnedCold, "shed while not warm", now)
		}
		return
	}
	b.shedStreak++
	if b.shedStreak >= 2 {
		b.turnCold(triggerTurnedCold, "two shed answers in a row", now)
		return
	}
	b.setLimit(max(1, b.limit/2))
	b.log.Info().Str("target", b.name).Int("limit", b.limit).Str("reason", "shed").Msg("target limit cut")
}

// observeFailure counts one failure. failuresToEject in a row, or one of a probe,
// eject the target; a single one before it is warm makes it cold again.
func (b *Backend) observeFailure(reason string, now time.Time) {
	if b.phase == state.PhaseEjected {
		return
	}
	b.failureStreak++
	if b.failureStreak >= failuresToEject || b.probing {
		b.probing = false
		b.failureStreak = 0
		d := min(minEjection<<min(b.ejectionStreak, 4), maxEjection)
		b.ejectionStreak++
		b.ejectedUntil = now.Add(d)
		b.changePhase(triggerEjected, reason)
		return
	}
	if b.phase == state.PhaseWarming || b.phase == state.PhaseCold {
		b.turnCold(triggerTurnedCold, reason, now)
	}
}

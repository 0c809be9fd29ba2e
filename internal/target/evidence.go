package target

import (
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// evidenceState is what the answers of a target showed so far. It is guarded
// by the lock of its Backend.
type evidenceState struct {
	// generation changes with each change of the limit; answers to requests of
	// an earlier one do not count for the ramp.
	generation uint64
	streak     int // consecutive good answers at the full current limit
	lastStep   time.Time
	coldSince  time.Time // first send since the target turned cold
	coldFrom   time.Time // when the target turned cold

	sheds    int // consecutive shed answers
	failures int // consecutive failures
	ejects   int // consecutive ejections
	probing  bool
	ejected  time.Time // end of the ejection

	latency   time.Duration // smoothed service time of answers
	deviation time.Duration // smoothed distance of service times from latency
	baseline  time.Duration // smoothed service time while warm
	learned   int           // answers in baseline, up to 16
	slow      [collapseWindow]bool
	slowAt    int
	answers   int
}

// fire runs a transition and logs it.
func (b *Backend) fire(t trigger, reason string) {
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
	b.streak = 0
	b.generation++
}

// turnCold falls back to the cold limit; t is triggerCold, triggerRenew,
// triggerRetry or triggerRevive.
func (b *Backend) turnCold(t trigger, reason string, now time.Time) {
	b.setLimit(b.bearsCold)
	if b.phase != state.PhaseCold || t == triggerRenew {
		b.fire(t, reason)
		b.coldSince, b.coldFrom = time.Time{}, now
	}
	b.lastStep = now
	b.sheds = 0
	b.slow = [collapseWindow]bool{}
}

// seeIncarnation takes over an incarnation that was not seen before.
func (b *Backend) seeIncarnation(id string) {
	if id == "" || id == b.incarnation || b.past[id] {
		return
	}
	first := b.incarnation == ""
	if !first {
		b.past[b.incarnation] = true
	}
	b.incarnation = id
	if first {
		return
	}
	b.failures, b.ejects, b.probing = 0, 0, false
	b.baseline, b.learned, b.latency, b.deviation = 0, 0, 0, 0
	b.turnCold(triggerRenew, "incarnation changed", time.Now())
}

// leave ends new work for the present incarnation.
func (b *Backend) leave(reason string) {
	if b.phase == state.PhaseLeaving {
		return
	}
	b.fire(triggerLeave, reason)
	b.flush(outcome.ReasonLeaving)
}

// refresh ends an ejection whose time is over.
func (b *Backend) refresh(now time.Time) {
	if b.phase == state.PhaseEjected && !now.Before(b.ejected) {
		b.probing = true
		b.turnCold(triggerRetry, "ejection time over, one probe at a time", now)
	}
}

// observe applies the evidence of one exchange.
func (b *Backend) observe(p *permit, r reply, now time.Time) {
	if r.incarnation != "" && b.past[r.incarnation] {
		return // a late answer of a replaced incarnation
	}
	full := p.full || b.inFlight >= b.allowed()
	if r.incarnation != b.incarnation {
		b.seeIncarnation(r.incarnation)
	}
	if r.drain {
		b.leave("drain signal of the target")
	}
	if b.phase == state.PhaseLeaving {
		return
	}
	switch r.evidence {
	case evidenceGood:
		b.good(p, full, now)
	case evidenceShed:
		b.failures = 0
		b.shed(now)
	case evidenceRefused:
		if b.phase == state.PhaseWarm || b.phase == state.PhaseWarming {
			b.turnCold(triggerCold, "connection refused", now)
		}
		b.failed("connection refused", now)
	case evidenceTimeout:
		// A deadline shorter than the usual service time says nothing of the target.
		if now.Sub(p.started) >= 2*b.latency {
			b.failed("timeout", now)
		}
	case evidenceBroken:
		b.failed(string(r.result.Reason), now)
	}
}

func (b *Backend) good(p *permit, full bool, now time.Time) {
	took := now.Sub(p.started)
	b.answers++
	b.failures, b.sheds = 0, 0
	if b.latency == 0 {
		b.latency = took
	} else {
		off := took - b.latency
		b.latency += off / 8
		b.deviation += (off.Abs() - b.deviation) / 8
	}
	if b.phase == state.PhaseEjected {
		b.turnCold(triggerRevive, "answered while ejected", now)
		return
	}
	if b.probing {
		b.probing = false
		b.setLimit(b.bearsCold)
		return
	}
	slow := b.baseline > 0 && took >= collapseFloor && took >= collapseFactor*b.baseline
	if b.phase == state.PhaseWarm {
		if b.collapsed(slow) {
			b.turnCold(triggerCold, "service time far above the baseline", now)
			return
		}
		if !slow {
			b.learned = min(b.learned+1, 16)
			b.baseline += (took - b.baseline) / time.Duration(b.learned)
		}
	} else if slow && now.Sub(b.coldFrom) < baselineMemory {
		b.streak = 0
		return
	}
	b.ramp(p, full, now)
}

// collapsed records one warm answer and reports whether the target slowed down
// so far that it must be cold.
func (b *Backend) collapsed(slow bool) bool {
	b.slow[b.slowAt] = slow
	b.slowAt = (b.slowAt + 1) % collapseWindow
	n := 0
	for _, s := range b.slow {
		if s {
			n++
		}
	}
	return n >= collapseCount
}

// ramp raises the limit by one after enough good answers at the full limit.
func (b *Backend) ramp(p *permit, full bool, now time.Time) {
	if b.phase == state.PhaseWarm && b.limit >= b.slots {
		b.ejects = 0
		return
	}
	if p.generation != b.generation || !full {
		return
	}
	b.streak++
	if b.streak < RampSuccesses {
		return
	}
	// The interval spaces the steps of a cold start; a warm target that shed
	// once recovers by answers alone.
	if b.phase != state.PhaseWarm && now.Sub(b.lastStep) < RampInterval {
		return
	}
	b.lastStep = now
	b.setLimit(min(b.limit+1, b.slots))
	switch {
	case b.phase == state.PhaseWarm:
		b.log.Info().Str("target", b.name).Int("limit", b.limit).Msg("target limit recovers")
	case b.limit >= b.slots:
		b.fire(triggerFull, "good answers at the full limit")
		b.log.Info().Str("target", b.name).Dur("time_to_full", now.Sub(b.coldSince)).Int("limit", b.limit).Msg("target at full load")
		b.coldSince = time.Time{}
		b.slow, b.learned, b.baseline = [collapseWindow]bool{}, 0, 0
	case b.phase == state.PhaseCold:
		b.fire(triggerStep, "good answers at the full limit")
	default:
		b.log.Info().Str("target", b.name).Int("limit", b.limit).Msg("target limit raised")
	}
}

func (b *Backend) shed(now time.Time) {
	if b.phase != state.PhaseWarm {
		if b.phase != state.PhaseEjected {
			b.turnCold(triggerCold, "shed while not warm", now)
		}
		return
	}
	b.sheds++
	if b.sheds >= 2 {
		b.turnCold(triggerCold, "two shed answers in a row", now)
		return
	}
	b.setLimit(max(1, b.limit/2))
	b.log.Info().Str("target", b.name).Int("limit", b.limit).Str("reason", "shed").Msg("target limit cut")
}

// failed counts one failure; one while warming means cold again.
func (b *Backend) failed(reason string, now time.Time) {
	if b.phase == state.PhaseEjected {
		return
	}
	b.failures++
	if b.failures >= ejectFailures || b.probing {
		b.probing = false
		b.failures = 0
		d := min(ejectMin<<min(b.ejects, 4), ejectMax)
		b.ejects++
		b.ejected = now.Add(d)
		b.fire(triggerEject, reason)
		return
	}
	if b.phase == state.PhaseWarming || b.phase == state.PhaseCold {
		b.turnCold(triggerCold, reason, now)
	}
}

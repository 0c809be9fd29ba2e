package target

import (
	"github.com/qmuntal/stateless"

	"github.com/baobabsill/baobabsill/internal/state"
)

// trigger is an event that changes the phase of a target. Logs show its value.
type trigger string

const (
	triggerStepUp               trigger = "step-up"
	triggerFullLoad             trigger = "full-load"
	triggerTurnedCold           trigger = "turned-cold"
	triggerNewIncarnation       trigger = "new-incarnation"
	triggerEjected              trigger = "ejected"
	triggerEjectionOver         trigger = "ejection-over"
	triggerLeaving              trigger = "leaving"
	triggerAnsweredWhileEjected trigger = "answered-while-ejected"
)

// newPhaseMachine returns the state machine of one target. Ordinary answers, which
// leave the phase as it is, fire no trigger and cost nothing here.
func newPhaseMachine(initial state.Phase) *stateless.StateMachine {
	m := stateless.NewStateMachineWithMode(initial, stateless.FiringImmediate)
	m.Configure(state.PhaseCold).
		Permit(triggerStepUp, state.PhaseWarming).
		Permit(triggerFullLoad, state.PhaseWarm).
		Permit(triggerEjected, state.PhaseEjected).
		Permit(triggerLeaving, state.PhaseLeaving).
		PermitReentry(triggerNewIncarnation)
	m.Configure(state.PhaseWarming).
		Permit(triggerFullLoad, state.PhaseWarm).
		Permit(triggerTurnedCold, state.PhaseCold).
		Permit(triggerNewIncarnation, state.PhaseCold).
		Permit(triggerEjected, state.PhaseEjected).
		Permit(triggerLeaving, state.PhaseLeaving)
	m.Configure(state.PhaseWarm).
		Permit(triggerTurnedCold, state.PhaseCold).
		Permit(triggerNewIncarnation, state.PhaseCold).
		Permit(triggerEjected, state.PhaseEjected).
		Permit(triggerLeaving, state.PhaseLeaving)
	m.Configure(state.PhaseEjected).
		Permit(triggerEjectionOver, state.PhaseCold).
		Permit(triggerAnsweredWhileEjected, state.PhaseCold).
		Permit(triggerNewIncarnation, state.PhaseCold).
		Permit(triggerLeaving, state.PhaseLeaving)
	m.Configure(state.PhaseLeaving).
		Permit(triggerNewIncarnation, state.PhaseCold)
	return m
}

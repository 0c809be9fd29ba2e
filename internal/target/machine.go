package target

import (
	"github.com/qmuntal/stateless"

	"github.com/baobabsill/baobabsill/internal/state"
)

type trigger string

const (
	triggerStep   trigger = "step-up"
	triggerFull   trigger = "full-load"
	triggerCold   trigger = "turned-cold"
	triggerRenew  trigger = "new-incarnation"
	triggerEject  trigger = "ejected"
	triggerRetry  trigger = "ejection-over"
	triggerLeave  trigger = "leaving"
	triggerRevive trigger = "answered-while-ejected"
)

// newMachine returns the state machine of one target. It is not fired where
// the phase stays the same, so that ordinary answers cost nothing here.
func newMachine(initial state.Phase) *stateless.StateMachine {
	m := stateless.NewStateMachineWithMode(initial, stateless.FiringImmediate)
	m.Configure(state.PhaseCold).
		Permit(triggerStep, state.PhaseWarming).
		Permit(triggerFull, state.PhaseWarm).
		Permit(triggerEject, state.PhaseEjected).
		Permit(triggerLeave, state.PhaseLeaving).
		PermitReentry(triggerRenew)
	m.Configure(state.PhaseWarming).
		Permit(triggerFull, state.PhaseWarm).
		Permit(triggerCold, state.PhaseCold).
		Permit(triggerRenew, state.PhaseCold).
		Permit(triggerEject, state.PhaseEjected).
		Permit(triggerLeave, state.PhaseLeaving)
	m.Configure(state.PhaseWarm).
		Permit(triggerCold, state.PhaseCold).
		Permit(triggerRenew, state.PhaseCold).
		Permit(triggerEject, state.PhaseEjected).
		Permit(triggerLeave, state.PhaseLeaving)
	m.Configure(state.PhaseEjected).
		Permit(triggerRetry, state.PhaseCold).
		Permit(triggerRevive, state.PhaseCold).
		Permit(triggerRenew, state.PhaseCold).
		Permit(triggerLeave, state.PhaseLeaving)
	m.Configure(state.PhaseLeaving).
		Permit(triggerRenew, state.PhaseCold)
	return m
}

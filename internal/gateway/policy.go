package gateway

import "time"

// Hedging says after which delay a sub-request is hedged.
type Hedging string

// Values of Hedging.
const (
	HedgeQuantile Hedging = "quantile"
	HedgeFixed    Hedging = "fixed"
	HedgeOff      Hedging = "off"
)

// ReplicaChoice says how the replica of a sub-request is chosen.
type ReplicaChoice string

// Values of ReplicaChoice.
const (
	// ChooseLoad prefers the replica with the shortest expected time to an answer.
	ChooseLoad       ReplicaChoice = "load"
	ChooseRoundRobin ReplicaChoice = "round-robin"
)

// Retries says what bounds the retries of a query.
type Retries string

// Values of Retries.
const (
	// RetryBudget bounds the retries of each shard, takes a token of the retry
	// budget for each, and sends none under overload or to a backlogged target.
	RetryBudget Retries = "budget"
	// RetryNaive only bounds the retries of each shard.
	RetryNaive Retries = "naive"
)

// Policy holds section [policy] of the settings. The zero value of each field
// means its default.
type Policy struct {
	Hedging       Hedging       `json:"hedging"`
	ReplicaChoice ReplicaChoice `json:"replica_choice"`
	Retries       Retries       `json:"retries"`
	// FixedDelay is the hedge delay of HedgeFixed, by default 10 ms.
	FixedDelay time.Duration `json:"fixed_delay"`
	// ZoneDelay is the round trip to another zone that replica choice assumes
	// while none is measured, by default 8 ms.
	ZoneDelay time.Duration `json:"zone_delay"`
}

func (p Policy) withDefaults() Policy {
	if p.Hedging == "" {
		p.Hedging = HedgeQuantile
	}
	if p.ReplicaChoice == "" {
		p.ReplicaChoice = ChooseLoad
	}
	if p.Retries == "" {
		p.Retries = RetryBudget
	}
	if p.FixedDelay <= 0 {
		p.FixedDelay = 10 * time.Millisecond
	}
	if p.ZoneDelay <= 0 {
		p.ZoneDelay = 8 * time.Millisecond
	}
	return p
}

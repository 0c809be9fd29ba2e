// Package outcome defines the codes with which requests end.
package outcome

// Code is how a sub-request or an at-most-once request ended.
type Code string

// Codes of a sub-request.
const (
	// Answered means that a whole reply of the right request arrived.
	Answered Code = "answered"
	// NotRun means that no target ran the request and none can run it later.
	NotRun Code = "not-run"
	// Unknown means that a target may have run the request or may still run it.
	Unknown Code = "unknown"
	// Incomplete means that a complete search could not cover all shards.
	Incomplete Code = "refused-incomplete"
	// Invalid means that the request was malformed; nothing ran.
	Invalid Code = "invalid"
)

// Reason says why a request was not answered.
type Reason string

// Reasons.
const (
	ReasonNone         Reason = ""
	ReasonExpired      Reason = "expired"
	ReasonOverload     Reason = "overload"
	ReasonZoneOut      Reason = "zone-out"
	ReasonLeaving      Reason = "leaving"
	ReasonNoRight      Reason = "no-right"
	ReasonNoReplica    Reason = "no-replica"
	ReasonShed         Reason = "shed"
	ReasonSnapshotGone Reason = "snapshot-gone"
	ReasonCutOff       Reason = "cut-off"
	ReasonUnreachable  Reason = "unreachable"
	ReasonCancelled    Reason = "cancelled"
	ReasonTimeout      Reason = "timeout"
	ReasonMismatch     Reason = "mismatch"
	ReasonTruncated    Reason = "truncated"
	ReasonInProgress   Reason = "in-progress"
	ReasonKeyReused    Reason = "key-reused"
	ReasonSenderGone   Reason = "sender-gone"
	ReasonDraining     Reason = "draining"
	ReasonNotFound     Reason = "not-found"
	ReasonMalformed    Reason = "malformed"
)

// Result is the outcome of one request. Body is set with Answered only.
type Result struct {
	Code   Code
	Reason Reason
	Body   []byte
}

// Refused returns a NotRun result with a reason.
func Refused(r Reason) Result { return Result{Code: NotRun, Reason: r} }

// Uncertain returns an Unknown result with a reason.
func Uncertain(r Reason) Result { return Result{Code: Unknown, Reason: r} }

// Package outcome defines the outcomes of requests and the reasons for them.
package outcome

// Code is the outcome of a sub-request or of an at-most-once request.
type Code string

// Outcomes of requests.
const (
	// Answered means that a complete reply to this request was received.
	Answered Code = "answered"
	// NotRun means that no target ran the request and none will run it later.
	NotRun Code = "not-run"
	// Unknown means that a target may have run the request or may still run it.
	Unknown Code = "unknown"
	// Incomplete means that a search of class complete could not cover all shards.
	Incomplete Code = "refused-incomplete"
	// Invalid means that the request is malformed, names something unknown or
	// reuses the key of another request; it did not run.
	Invalid Code = "invalid"
)

// Reason is why a request was not answered.
type Reason string

// Reasons, as they appear in replies, logs and metrics.
const (
	ReasonNone         Reason = ""
	ReasonExpired      Reason = "expired"
	ReasonOverload     Reason = "overload"
	ReasonZoneOut      Reason = "zone-out"
	ReasonLeaving      Reason = "leaving"
	ReasonNoLease      Reason = "no-right"
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

// Refused returns a NotRun result with the reason r.
func Refused(r Reason) Result { return Result{Code: NotRun, Reason: r} }

// Uncertain returns an Unknown result with the reason r.
func Uncertain(r Reason) Result { return Result{Code: Unknown, Reason: r} }

// Package target sends requests to the targets that this instance holds. It has
// the state machine of each target, its limiter with a priority queue, and the
// HTTP client.
package target

import (
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Operations of the target protocol. Each is also the path of its requests.
const (
	OperationSearch  = "search"
	OperationExecute = "execute"
)

// Request is one request to a target. Priority 0 is the most urgent.
type Request struct {
	RequestID, AttemptID string
	// Operation is OperationSearch or OperationExecute.
	Operation       string
	Snapshot, Shard string
	Priority        int
	Deadline        time.Time
	Body            []byte
	// Idempotent is false for requests that must run at most once. Only an
	// idempotent request is aborted when the holder's lease ends.
	Idempotent bool
}

// Admit checks whether a request may be sent now. It returns the end of the
// holder's lease (zero for no end), the limit that the lease allows (0 for no bound
// beyond the target's own) and ReasonNone or the reason to refuse the request. It is
// called without any lock of this package.
type Admit func() (leaseEnd time.Time, limit int, r outcome.Reason)

const (
	// RampSuccesses is the number of consecutive good answers, with the current
	// limit in full use, that raise the limit by one. A single good answer proves
	// little: a cold target answers single requests well.
	RampSuccesses = 8
	// RampInterval is the shortest time between two raises of the limit while a
	// target is not warm.
	RampInterval = 200 * time.Millisecond
	// failuresToEject is the number of consecutive failures that eject a target.
	failuresToEject = 5
	// An ejection lasts minEjection at first and twice as long each further time
	// in a row, up to maxEjection.
	minEjection = time.Second
	maxEjection = 10 * time.Second
	// An answer is slow if it takes at least slowFactor times the warm baseline
	// and at least slowFloor, which keeps the scheduling noise of fast targets
	// from counting. A target counts as cold with slowCount slow answers among
	// the last slowWindow.
	slowFactor = 8
	slowFloor  = 20 * time.Millisecond
	slowCount  = 3
	slowWindow = 8
	// baselineRetention is how long answers of a target that turned cold are
	// compared with its old baseline. After that, a target that has become
	// permanently slower can warm up.
	baselineRetention = 30 * time.Second
	// abortGrace is how long the slot of an aborted exchange stays taken, so that
	// the target notices the closed connection and the next request does not
	// overlap the aborted one.
	abortGrace = 10 * time.Millisecond
	// leavingRetention is how long a leaving incarnation is remembered after its
	// Backend is removed, so that a flapping list does not bring it back.
	leavingRetention = 24 * time.Hour
	// handoverRetention is how long a handover is kept for the first request.
	handoverRetention = 30 * time.Second
)

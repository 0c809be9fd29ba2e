// Package target is the holder's side of a target: its state machine, the
// limiter with a priority queue, and the HTTP client that sends to it.
package target

import (
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// Operations of the target protocol; they are also the path of the request.
const (
	OperationSearch  = "search"
	OperationExecute = "execute"
)

// Work is one request to a target. Priority 0 is the most urgent.
type Work struct {
	RequestID, AttemptID string
	// Operation is OperationSearch or OperationExecute.
	Operation       string
	Snapshot, Shard string
	Priority        int
	Deadline        time.Time
	Body            []byte
	// Idempotent is false for requests that run at most once. Only an
	// idempotent request is cut off when the holder's right ends.
	Idempotent bool
}

// Admit re-checks a request just before the send. It returns the end of the
// holder's right (zero for no end), the limit that the right allows (0 for no
// bound beyond the target's own) and a reason if the request must be refused.
// It is called without any lock of this package.
type Admit func() (until time.Time, limit int, r outcome.Reason)

const (
	// RampSuccesses is the number of consecutive good answers at the full
	// current limit that one step up needs. One good answer proves little: a
	// cold target answers single requests well.
	RampSuccesses = 8
	// RampInterval is the least time between two steps up.
	RampInterval = 200 * time.Millisecond
	// ejectFailures is the number of consecutive failures that eject a target.
	ejectFailures = 5
	ejectMin      = time.Second
	ejectMax      = 10 * time.Second
	// An answer is slow at collapseFactor times the warm baseline and at least
	// collapseFloor; collapseCount slow ones of the last collapseWindow mean
	// that the target is cold. The floor keeps scheduling noise of fast
	// targets from counting.
	collapseFactor = 8
	collapseFloor  = 20 * time.Millisecond
	collapseCount  = 3
	collapseWindow = 8
	// baselineMemory is how long a cold target is held against its old
	// baseline. After that a target that became slower for good may warm up.
	baselineMemory = 30 * time.Second
	// abortGrace keeps the slot of an aborted exchange while the target notices
	// the closed connection, so that the next request does not overlap it.
	abortGrace = 10 * time.Millisecond
	// departedMemory is how long a leaving incarnation is remembered after its
	// backend is gone, so that a flapping list does not resurrect it.
	departedMemory = 24 * time.Hour
	// adoptMemory is how long a handover waits for the first request.
	adoptMemory = 30 * time.Second
)

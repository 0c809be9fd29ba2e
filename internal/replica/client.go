// Package replica sends requests to replicas within the limits of their
// connections and warm-up, and tracks the latency, failures and stalls of each
// replica as this instance sees them in its own exchanges.
package replica

import (
	"context"
	"net/http"
	"time"
)

// Request is one request to a replica.
type Request struct {
	// AttemptID identifies the caller's attempt. The replica echoes it in its
	// answer.
	AttemptID string
	// ReplicaID is the ID of the replica that has to serve the request.
	ReplicaID string
	Method    string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the answer stops being of use to the caller.
	Deadline time.Time
}

// Outcome says how an exchange ended.
type Outcome int

const (
	// NotSent means that no byte of the request left the process.
	NotSent Outcome = iota
	// NotRun means that the replica answered that it has not run the request.
	NotRun
	// Lost means that the replica may have run the request, but its answer is
	// missing or unusable.
	Lost
	// Complete means that the whole answer to this request arrived, with any
	// status.
	Complete
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return [...]string{"not-sent", "not-run", "lost", "complete"}[o]
}

// Result is the end of one exchange.
type Result struct {
	Outcome Outcome
	// Reason says why the exchange is not complete; empty otherwise.
	Reason string
	// Reply is set if the exchange is complete.
	Reply Reply
	// WarmupLeft is how long the replica stays cold; 0 if it did not say.
	WarmupLeft time.Duration
	// Misdirected is set if another replica answered at the address.
	Misdirected bool
	// Unreachable is set if no connection to the replica could be opened.
	Unreachable bool
	// RateLimit is what the answer says about the replica's rate limit.
	RateLimit RateLimit
	// Leaving is set if the answer says that the replica is about to leave.
	Leaving bool
	// RetryAfter is how long the replica wants no requests from this instance; 0 if it
	// did not say.
	RetryAfter time.Duration
	// Reset is set if the replica reset a connection that had carried no earlier
	// request, as it does when it holds too many connections.
	Reset bool
}

// RateLimitStatement says what an answer states about the rate limit of its replica.
type RateLimitStatement int

const (
	// RateLimitUnstated means that there is no answer, or none from which the absence
	// of a limit follows.
	RateLimitUnstated RateLimitStatement = iota
	// RateLimitAbsent means that a complete answer named no limit.
	RateLimitAbsent
	// RateLimitNamed means that the answer named a limit.
	RateLimitNamed
)

// RateLimit is the number of requests per second that a replica accepts from all
// instances together, as one of its answers names it.
type RateLimit struct {
	Statement RateLimitStatement
	// PerSecond is finite and not negative. It is set with RateLimitNamed.
	PerSecond float64
}

// Reply is the complete answer of a replica, with the replica's signature of it.
type Reply struct {
	Status    int
	Header    http.Header // end-to-end headers
	Body      []byte
	Signature string
}

// Succeeded reports whether the status is 2xx.
func (r Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// ConnectionLimits bounds the connections of this instance to one replica.
type ConnectionLimits struct {
	// MaxOpen is how many may be open at once, MaxIdle how many of them may stay open
	// without a request.
	MaxOpen, MaxIdle int
}

// Client sends requests to one replica and holds the connections to it.
type Client interface {
	// Send runs one exchange, and gives it up when ctx ends.
	Send(ctx context.Context, request Request) Result
	// SetConnectionLimits changes the limits of the connections.
	SetConnectionLimits(ConnectionLimits)
	// Connected reports whether a connection is open.
	Connected() bool
	// CloseIdle closes the connections that carry no request.
	CloseIdle()
	// OpenConnection opens a connection for the next request that needs a new one. It
	// reports whether the replica accepted the connection and did not reset it.
	OpenConnection(ctx context.Context) bool
}

// NewClientFunc returns a client for the replica at an IP:port. It need not connect.
type NewClientFunc func(address string) Client

// Package replica holds what one daemon knows of each replica from its own
// exchanges, and sends to replicas within their limits.
package replica

import (
	"context"
	"net/http"
	"time"
)

// Work is one request to a replica.
type Work struct {
	// AttemptID names the caller's attempt. The replica repeats it.
	AttemptID string
	// Instance is the ID of the replica that has to serve the request.
	Instance string
	Method   string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the end of the time in which the answer is of use.
	Deadline time.Time
}

// Kind says how an exchange ended.
type Kind int

const (
	// NotSent means that no byte of the request left the process.
	NotSent Kind = iota
	// NotRun means that the replica said that it has not run the request.
	NotRun
	// Lost means that the replica may have run the request; its answer is
	// missing or unusable.
	Lost
	// Complete means that the whole answer to this request arrived, whatever
	// its status.
	Complete
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	return [...]string{"not-sent", "not-run", "lost", "complete"}[k]
}

// Result is the end of one exchange.
type Result struct {
	Kind Kind
	// Reason says why the exchange is not complete; empty otherwise.
	Reason string
	// Reply is set if the exchange is complete.
	Reply Reply
	// WarmupLeft is set if the replica said how long it stays cold.
	WarmupLeft time.Duration
	// Misdirected is set if another replica has the address.
	Misdirected bool
	// Unreachable is set if the replica did not take a connection.
	Unreachable bool
	// Reset is set if the replica reset a connection that was new.
	Reset bool
}

// Reply is the whole answer of a replica.
type Reply struct {
	Status    int
	Header    http.Header // end-to-end headers
	Body      []byte
	Signature string
}

// Succeeded reports whether the replica answered with success.
func (r Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Connections bounds the connections of this daemon to one replica.
type Connections struct {
	// Open is the number that may be open at once, Idle the number of those that
	// may stay open without a request.
	Open, Idle int
}

// Client sends to one replica.
type Client interface {
	// Send runs one exchange. It ends when ctx ends.
	Send(ctx context.Context, w Work) Result
	// SetConnections bounds the connections.
	SetConnections(Connections)
	// Connected reports whether a connection is open.
	Connected() bool
	// DropIdle closes the connections that carry no request.
	DropIdle()
	// Open opens a connection ahead of the next request that needs a new one,
	// and reports whether the replica kept it.
	Open(ctx context.Context) bool
}

// Dialer returns the client of the replica at an IP:port.
type Dialer func(address string) Client

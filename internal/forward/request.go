// Package forward serves the requests of callers: it matches them to routes,
// sends them to replicas and decides on hedges, retries, refusals and partial
// answers.
package forward

import (
	"net/http"
	"time"

	"github.com/baobabsill/baobabsill/internal/replica"
)

// Request is one attempt of a caller. It is not changed after it was read.
type Request struct {
	// AttemptID is chosen by the caller.
	AttemptID string
	Method    string
	// URI is the path and query as sent; Path is the path alone.
	URI, Path string
	Host      string
	Header    http.Header // end-to-end headers
	Body      []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// CallerTimeout is the caller's timeout, counted from Arrived; 0 if it set none.
	CallerTimeout time.Duration
}

// Code says how a request ended.
type Code string

const (
	// Forwarded is the answer of one replica.
	Forwarded Code = "forwarded"
	// Merged is an answer merged from the replies of shards.
	Merged Code = "merged"
	// NotRun is a refusal: no replica ran the request and none will.
	NotRun Code = "not-run"
	// Unknown means that a replica may have run the request.
	Unknown Code = "unknown"
	// TimedOut means that the deadline of the request passed and that a replica may
	// have run it.
	TimedOut Code = "timed-out"
	// NoRoute means that no route matches.
	NoRoute Code = "no-route"
	// Invalid means that the request is malformed.
	Invalid Code = "invalid"
	// Abandoned means that the caller has disconnected.
	Abandoned Code = "abandoned"
)

// Answer is the outcome of a request.
type Answer struct {
	Code Code
	// Reason says why the request was not answered.
	Reason string
	// RetryAfter is the delay after which a refused request may be sent again.
	RetryAfter time.Duration
	// Reply is set with Forwarded; Replica is the ID of the replica that sent it.
	Reply   replica.Reply
	Replica string
	// Signatures, MissingCount and Records are set with Merged: the signatures of the
	// replies, the number of shards without a reply, and the greatest records.
	Signatures   []string
	MissingCount int
	Records      []byte
	// LeafCalls is the number of calls to other instances for parts of the answer.
	LeafCalls int
	// MissingDetails describes shards that did not answer, with the reason for
	// each, for the log. It has at most maxDescribedShards entries.
	MissingDetails []string
}

func refusal(reason string, retryAfter time.Duration) Answer {
	return Answer{Code: NotRun, Reason: reason, RetryAfter: retryAfter}
}

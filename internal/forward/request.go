// Package forward serves the requests of callers: it matches them to routes,
// sends them to replicas and decides on hedges, retries, refusals and partial
// answers.
package forward

import (
	"net/http"
	"time"

	"github.com/baobabsill/baobabsill/internal/replica"
)

// Request is one attempt of a caller.
type Request struct {
	// AttemptID is the caller's name for the attempt.
	AttemptID string
	Method    string
	// URI is the path and query as sent; Path is the path alone.
	URI, Path string
	Host      string
	Header    http.Header // end-to-end headers
	Body      []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Patience is how long the caller waits, counted from Arrived; 0 if it did
	// not say.
	Patience time.Duration
}

// Code says how a request ended.
type Code string

const (
	// Forwarded is the answer of one replica.
	Forwarded Code = "forwarded"
	// Merged is an answer put together from the answers of shards.
	Merged Code = "merged"
	// NotRun is a refusal: no replica ran the request and none will.
	NotRun Code = "not-run"
	// Unknown means that a replica may have run the request.
	Unknown Code = "unknown"
	// TimedOut is Unknown at the end of the time for the request.
	TimedOut Code = "timed-out"
	// NoRoute means that no route matches.
	NoRoute Code = "no-route"
	// Invalid means that the request is malformed.
	Invalid Code = "invalid"
	// Abandoned means that the caller has left.
	Abandoned Code = "abandoned"
)

// Answer is the end of a request.
type Answer struct {
	Code Code
	// Reason says why the request was not answered.
	Reason string
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
	// Reply is set with Forwarded, Replica is the ID of the replica that sent it.
	Reply   replica.Reply
	Replica string
	// Signatures, Missing and Records are set with Merged: the signatures of the
	// parts, the number of shards left out, and the greatest records.
	Signatures []string
	Missing    int
	Records    []byte
	// Absent names shards that did not answer, with the reason of each, for the
	// log. It is bounded.
	Absent []string
}

func refusal(reason string, after time.Duration) Answer {
	return Answer{Code: NotRun, Reason: reason, RetryAfter: after}
}

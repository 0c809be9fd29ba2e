// Package gateway is the entry side of an instance: it takes the requests of
// callers and sends sub-requests to the holders of targets. A search passes
// through a chain of filters: validation, freshness gate, admission,
// concurrency limit, deadline, plan, scatter with hedges and retries, and merge.
// "Entry" means the instance that received the request of the caller.
package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// SearchRequest is one search of a caller. Deadline is a point in time.
type SearchRequest struct {
	RequestID string
	Search    string
	Query     json.RawMessage
	Deadline  time.Time
}

// Coverage says how many shards of one index snapshot an answer covers.
type Coverage struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Missing  []string `json:"missing"`
}

// SearchReply is the reply to one search. Items belong to one index snapshot
// and are in the order of its shards. They are set only if Result.Code is
// Answered.
type SearchReply struct {
	Result   outcome.Result
	Snapshot string
	Coverage Coverage
	Items    []json.RawMessage
}

// Query is one search on its way through the chain. The filters set its fields
// in the order of the chain. One goroutine owns it.
type Query struct {
	SearchRequest
	Received time.Time
	// State is the snapshot of the state on which the query is planned. A restart
	// replaces it.
	State       *state.Snapshot
	Declaration declare.Search
	Priority    Priority
	// Restarts is the number of restarts on another index snapshot.
	Restarts int
	// Excluded are the index snapshots that were tried and that replicas no
	// longer have.
	Excluded []string
	Plan     Plan

	// mayRestart is set if the query may restart on another index snapshot.
	mayRestart bool
	// lostForLoad counts shards that were lost to refusals for load.
	lostForLoad int
	// needsRestart is set if replicas no longer have the index snapshot, so that
	// the query has to restart on another one.
	needsRestart bool
}

// needsAllShards reports whether the query can only be answered with all its
// shards.
func (q *Query) needsAllShards() bool { return q.Declaration.Class == declare.ClassComplete }

// Handler answers a query. It is safe for concurrent use.
type Handler func(ctx context.Context, q *Query) SearchReply

// Filter wraps a Handler.
type Filter func(next Handler) Handler

// Chain returns last wrapped in the filters. The first filter is the outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

func refused(r outcome.Reason) SearchReply {
	return SearchReply{Result: outcome.Refused(r)}
}

package daemon

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/once"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

// onceAPI adapts the manager of at-most-once requests to the callers' API.
type onceAPI struct{ manager *once.Manager }

// Run runs an operation at most once.
func (o onceAPI) Run(ctx context.Context, key, operation string, body []byte, deadline time.Time, requestID string) outcome.Result {
	return o.manager.Run(ctx, once.Request{ID: requestID, Key: key, Operation: operation, Body: body, Deadline: deadline})
}

// LookUpOutcome returns the outcome of a key.
func (o onceAPI) LookUpOutcome(ctx context.Context, key string) outcome.Result {
	return o.manager.LookUpOutcome(ctx, key)
}

// IssueKey returns a key that names this instance, or false while it stops.
func (o onceAPI) IssueKey() (string, bool) { return o.manager.IssueKey() }

package daemon

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/dispatch"
	"github.com/baobabsill/baobabsill/internal/once"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/placement"
)

// onceAPI fits the at-most-once manager to the callers' API.
type onceAPI struct{ manager *once.Manager }

// Run runs an operation at most once.
func (o onceAPI) Run(ctx context.Context, key, operation string, body []byte, deadline time.Time, requestID string) outcome.Result {
	return o.manager.Run(ctx, once.Request{ID: requestID, Key: key, Operation: operation, Body: body, Deadline: deadline})
}

// Settle returns the outcome of a key.
func (o onceAPI) Settle(ctx context.Context, key string) outcome.Result {
	return o.manager.Settle(ctx, key)
}

// IssueKey returns a key that names this instance, or false while it stops.
func (o onceAPI) IssueKey() (string, bool) { return o.manager.IssueKey() }

// dispatchRights fits the placement's rights to the dispatcher.
type dispatchRights struct{ rights *placement.Rights }

var rightKinds = map[placement.Kind]dispatch.RightKind{
	placement.None:        dispatch.RightNone,
	placement.Provisional: dispatch.RightProvisional,
	placement.Confirmed:   dispatch.RightConfirmed,
}

// Right returns the present right to send to a target.
func (r dispatchRights) Right(target string, now time.Time) dispatch.Right {
	right := r.rights.Right(target, now)
	return dispatch.Right{Kind: rightKinds[right.Kind], Until: right.Until, Holder: right.Holder}
}

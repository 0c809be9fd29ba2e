package gateway

import (
	"context"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Executor sends a sub-request to the instance that holds the target. It is
// safe for concurrent use and returns soon after ctx ends.
type Executor interface {
	Execute(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error)
}

// NotSentFunc reports whether an error of an Executor means that the call
// certainly did not reach the instance. After any other error the sub-request
// may have run.
type NotSentFunc func(err error) bool

package gateway

import (
	"context"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Executor sends a sub-request to the instance that holds the target. It must
// be safe for concurrent use and return soon after ctx ends.
type Executor interface {
	Execute(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error)
}

// NotSentFunc reports whether an error of an Executor proves that the call did
// not reach the instance. After any other error the sub-request may have run.
type NotSentFunc func(err error) bool

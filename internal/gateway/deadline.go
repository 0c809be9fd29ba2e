package gateway

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// maxMergeTime is the most time that is kept back from the deadline for the
// merge and for writing the answer.
const maxMergeTime = 10 * time.Millisecond

// deadline refuses expired queries and ends the work shortly before the
// caller's deadline, so that a partial answer still arrives in time.
func (g *Gateway) deadline(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		left := time.Until(q.Deadline)
		if left <= 0 {
			return refused(outcome.ReasonExpired)
		}
		q.Deadline = q.Deadline.Add(-min(left/20, maxMergeTime))
		ctx, cancel := context.WithDeadline(ctx, q.Deadline)
		defer cancel()
		return next(ctx, q)
	}
}

package gateway

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// maxMergeReserve bounds the time before the deadline that is reserved for
// merging and for writing the answer.
const maxMergeReserve = 10 * time.Millisecond

// deadline refuses expired queries. It makes the deadline of the others earlier
// by 1/20 of the time left, at most maxMergeReserve, so that a partial answer
// still reaches the caller in time.
func (g *Gateway) deadline(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		left := time.Until(q.Deadline)
		if left <= 0 {
			return refused(outcome.ReasonExpired)
		}
		q.Deadline = q.Deadline.Add(-min(left/20, maxMergeReserve))
		ctx, cancel := context.WithDeadline(ctx, q.Deadline)
		defer cancel()
		return next(ctx, q)
	}
}

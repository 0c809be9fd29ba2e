package gateway

import "context"

// Freshness confirms the state of the instance with the platform or a peer.
type Freshness interface {
	// Ensure returns after a refresh when the state is too old. It reports
	// whether nobody confirmed the state; requests then use the last state.
	Ensure(ctx context.Context) (cutOff bool)
}

// freshness keeps an instance that wakes from a pause from planning with an
// old state of zones or targets. The state is loaded after the refresh.
func (g *Gateway) freshness(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		g.fresh.Ensure(ctx)
		q.Snap = g.store.Load()
		if search, ok := q.Snap.Search(q.Search.Name); ok {
			q.Search = search
			q.Priority = PriorityOf(search)
		}
		return next(ctx, q)
	}
}

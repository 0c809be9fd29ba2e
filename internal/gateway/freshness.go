package gateway

import "context"

// Freshness confirms the state of the instance with the platform or a peer.
type Freshness interface {
	// Ensure refreshes the state if it is stale, and waits for this unless the
	// instance is already known to be cut off. It reports whether neither the
	// platform nor a peer confirmed the state; requests then use the last known
	// state.
	Ensure(ctx context.Context) (cutOff bool)
}

// freshness refreshes a stale state before the query loads it. An instance that
// resumes after a pause thus does not plan with an old state of zones or
// targets.
func (g *Gateway) freshness(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		g.fresh.Ensure(ctx)
		q.State = g.store.Load()
		if search, ok := q.State.Search(q.Declaration.Name); ok {
			q.Declaration = search
			q.Priority = PriorityOf(search)
		}
		return next(ctx, q)
	}
}

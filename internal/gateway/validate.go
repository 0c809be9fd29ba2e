package gateway

import (
	"context"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// validate looks up the declaration of the search, and rejects the search if
// there is none.
func (g *Gateway) validate(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		search, ok := g.store.Load().Search(q.SearchRequest.Search)
		if !ok {
			return SearchReply{Result: outcome.Result{Code: outcome.Invalid, Reason: outcome.ReasonNotFound}}
		}
		q.Declaration = search
		q.Priority = PriorityOf(search)
		return next(ctx, q)
	}
}

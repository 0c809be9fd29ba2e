package gateway

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

type rawItem = json.RawMessage

// merge makes the reply of a query from its shards. A complete search is
// answered only with full coverage. The query counts as not run only if no shard
// answered and no attempt may have reached a target. ended is the error of the
// query's context, if any.
func merge(q *Query, shards []shardRun, ended error) SearchReply {
	r := SearchReply{Snapshot: q.Plan.Snapshot, Coverage: Coverage{Total: len(shards), Missing: []string{}}}
	targetReached, reason, n := false, outcome.ReasonNone, 0
	for i := range shards {
		sh := &shards[i]
		if sh.answered {
			r.Coverage.Answered++
			n += len(sh.items)
			continue
		}
		r.Coverage.Missing = append(r.Coverage.Missing, sh.plan.Shard)
		targetReached = targetReached || sh.targetReached || sh.inFlight > 0
		if sh.reason != outcome.ReasonNone {
			reason = sh.reason
		}
	}
	switch {
	case errors.Is(ended, context.Canceled):
		reason = outcome.ReasonCancelled
	case ended != nil:
		reason = outcome.ReasonTimeout
	}
	full := r.Coverage.Answered == r.Coverage.Total
	switch {
	case full, r.Coverage.Answered > 0 && q.Declaration.Class != declare.ClassComplete:
		r.Result = outcome.Result{Code: outcome.Answered}
		if !full {
			r.Result.Reason = reason
		}
	case r.Coverage.Answered == 0 && !targetReached:
		r.Result = outcome.Refused(reason)
		return r
	default:
		r.Result = outcome.Result{Code: outcome.Incomplete, Reason: reason}
		return r
	}
	r.Items = make([]json.RawMessage, 0, n)
	for i := range shards {
		if shards[i].answered {
			r.Items = append(r.Items, shards[i].items...)
		}
	}
	return r
}

package gateway

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
)

type rawItem = json.RawMessage

// merge joins the items of the shards of one index snapshot. A complete search
// is answered only with full coverage.
func merge(q *Query, shards []shardRun, ended error) SearchReply {
	r := SearchReply{Snapshot: q.Plan.Snapshot, Coverage: Coverage{Total: len(shards), Missing: []string{}}}
	reached, reason, n := false, outcome.ReasonNone, 0
	for i := range shards {
		sh := &shards[i]
		if sh.answered {
			r.Coverage.Answered++
			n += len(sh.items)
			continue
		}
		r.Coverage.Missing = append(r.Coverage.Missing, sh.plan.Shard)
		reached = reached || sh.reached || sh.live > 0
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
	case full, r.Coverage.Answered > 0 && q.Search.Class != declare.ClassComplete:
		r.Result = outcome.Result{Code: outcome.Answered}
		if !full {
			r.Result.Reason = reason
		}
	case r.Coverage.Answered == 0 && !reached:
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

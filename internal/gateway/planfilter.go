package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// maxRestarts bounds the restarts of a query on another index snapshot.
const maxRestarts = 2

// plan chooses an index snapshot and replicas. If the replicas of a shard no
// longer have the snapshot, the query restarts on another one, so that
// results of two snapshots are never merged.
func (g *Gateway) plan(next Handler) Handler {
	return func(ctx context.Context, q *Query) SearchReply {
		for {
			in := g.planInput(q)
			q.Plan = MakePlan(in)
			g.logPlan(q, in)
			if q.Plan.Reason != outcome.ReasonNone {
				return refused(q.Plan.Reason)
			}
			excluded := append(slices.Clip(q.Excluded), q.Plan.Snapshot)
			q.needsRestart = false
			q.mayRestart = q.Restarts < maxRestarts && hasOtherIndex(g.store.Load().ShardMaps[q.Declaration.Name], excluded)
			reply := next(ctx, q)
			if !q.needsRestart || ctx.Err() != nil {
				return reply
			}
			q.Excluded = excluded
			q.State = g.store.Load()
			q.Restarts++
			g.metrics.restarts.Inc(1)
			g.logRestart(q)
		}
	}
}

func hasOtherIndex(m state.ShardMap, excluded []string) bool {
	return slices.ContainsFunc(m.Snapshots, func(s state.IndexSnapshot) bool {
		return len(s.Shards) > 0 && !slices.Contains(excluded, s.ID)
	})
}

func (g *Gateway) observe(v *view, services map[string]bool, now time.Time) Observed {
	o := g.stats.observe(v, services, now)
	if g.roundTrips != nil {
		o.RoundTrips = g.roundTrips()
	}
	return o
}

// roundTrip returns the measured round trip to an instance, or zero if there is
// none.
func (g *Gateway) roundTrip(instance string) time.Duration {
	if g.roundTrips == nil {
		return 0
	}
	return g.roundTrips()[instance]
}

func (g *Gateway) planInput(q *Query) PlanInput {
	now := time.Now()
	v := g.view(q.State)
	services := map[string]bool{}
	for _, index := range q.State.ShardMaps[q.Declaration.Name].Snapshots {
		for _, shard := range index.Shards {
			services[shard.Service] = true
		}
	}
	in := PlanInput{
		RequestID: q.RequestID, Search: q.Declaration.Name, Zone: g.zone, Now: now,
		Policy: g.policy, Excluded: q.Excluded, Snapshot: q.State,
		Observed: g.observe(v, services, now), view: v,
	}
	if g.trace {
		in.Routes = map[string]string{}
		for service := range services {
			for _, r := range v.byService[service] {
				in.Routes[r.target.Name] = r.instance
			}
		}
	}
	return in
}

// TraceRecord is the value of the field "trace" in the log line of a plan.
type TraceRecord struct {
	Input  PlanInput `json:"input"`
	Output Plan      `json:"output"`
}

// logPlan writes one log line for the plan of a query. It stands for all first
// attempts, which are not logged one by one.
func (g *Gateway) logPlan(q *Query, in PlanInput) {
	e := g.logger.Info()
	if e == nil {
		return
	}
	missing := 0
	for _, s := range q.Plan.Shards {
		if len(s.Replicas) == 0 {
			missing++
		}
	}
	e.Str("request_id", q.RequestID).Str("search", q.Declaration.Name).Int("attempt", q.Restarts).
		Str("snapshot", q.Plan.Snapshot).Int("shards", len(q.Plan.Shards)).Int("without_replica", missing).
		Int64("config_version", q.State.ConfigVersion).Str("reason", planReason(q))
	if g.trace {
		if raw, err := json.Marshal(TraceRecord{Input: in, Output: q.Plan}); err == nil {
			e.RawJSON("trace", raw)
		}
	}
	e.Msg("plan")
}

func planReason(q *Query) string {
	switch {
	case q.Plan.Reason != outcome.ReasonNone:
		return string(q.Plan.Reason)
	case q.Restarts > 0:
		return "restart"
	default:
		return "first"
	}
}

func (g *Gateway) logRestart(q *Query) {
	g.logger.Info().Str("request_id", q.RequestID).Int("attempt", q.Restarts).
		Strs("excluded", q.Excluded).Str("reason", string(outcome.ReasonSnapshotGone)).Msg("restart")
}

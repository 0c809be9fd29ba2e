package forward

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Gather serves a request of another instance for some shards of a query. It sends to
// their replicas as for a query of a caller, and merges what they answer. The end of ctx
// means that the asking instance needs the answer no more. An error means that no replica
// got the query.
func (f *Forwarder) Gather(ctx context.Context, req *GatherRequest) (GatherReply, error) {
	arrived := time.Now()
	if len(req.Route.Shards) == 0 {
		return GatherReply{Leaving: f.leaving.Load()}, nil
	}
	if err := req.Validate(); err != nil {
		f.metrics.gathersRefused.Inc(1)
		return GatherReply{}, fmt.Errorf("%w: %w", ErrNotGathered, err)
	}
	n := f.gathering.Add(1)
	defer f.gathering.Add(-1)
	snap := f.store.Load()
	switch {
	case snap.Config == nil || !snap.ReplicasKnown:
		return GatherReply{}, fmt.Errorf("%w: no configuration", ErrNotGathered)
	case n > f.inFlightLimit(req.Route.Priority):
		f.metrics.gathersRefused.Inc(1)
		return GatherReply{}, fmt.Errorf("%w: overload", ErrNotGathered)
	}
	r := f.newGather(ctx, req, arrived)
	r.runToEnd()
	reply := r.gatherReply()
	reply.Leaving, reply.Took = f.leaving.Load(), time.Since(arrived)
	f.metrics.recordGather(reply)
	r.logGather(req, reply)
	return reply, nil
}

func (f *Forwarder) newGather(ctx context.Context, req *GatherRequest, arrived time.Time) *activeRequest {
	route := *req.Route
	route.Idempotent = true
	query := *req.Query
	query.Arrived = arrived
	r := &activeRequest{
		f: f, ctx: ctx, req: &query, route: &route, start: arrived, gather: true, repeat: req.Repeat, evacuated: req.Evacuated,
		deadline:  arrived.Add(req.Within),
		onTime:    arrived.Add(req.AnswerWithin),
		objective: arrived.Add(req.ObjectiveWithin),
		late:      arrived.Add(req.LateWithin),
		required:  max(len(route.Shards)-req.MayMiss, 1),
	}
	r.addShards(route.Shards, nil)
	return r
}

// gatherReply returns what the asking instance gets.
func (r *activeRequest) gatherReply() GatherReply {
	var reply GatherReply
	top := topRecords{limit: r.route.TopK}
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.reply != nil {
			reply.Answered = append(reply.Answered, GatheredShard{i, sh.reply.Signature})
			top.add(sh.reply.Body)
			continue
		}
		reply.Missing = append(reply.Missing, MissingShard{
			Shard: i, Reason: sh.reason, MayHaveRun: sh.mayHaveRun || sh.inFlight > 0, Pending: !sh.closed,
		})
	}
	reply.Records = top.descending()
	return reply
}

// payRepeat takes a repeat from the retry budget for the first exchange of a shard that
// another leaf may have sent the query to. It returns false if there is none.
func (r *activeRequest) payRepeat(sh *shard) bool {
	if !r.repeat || sh.paid {
		return true
	}
	sh.paid = r.f.budget.TrySpend(sh.service)
	return sh.paid
}

// isEvacuated reports whether the asking instance knows that a zone is evacuated.
func (r *activeRequest) isEvacuated(zone string) bool { return slices.Contains(r.evacuated, zone) }

// SetLeaving makes this instance tell others that it is about to stop.
func (f *Forwarder) SetLeaving() { f.leaving.Store(true) }

// scatterRoute returns what a leaf needs of a route, for some of its shards.
func scatterRoute(route *catalog.Route, shards []string) *catalog.Route {
	return &catalog.Route{
		Name: route.Name, Idempotent: true, Objective: route.Objective, MaxAttempts: route.MaxAttempts, Priority: route.Priority,
		Regions: route.Regions, Shards: shards, TopK: route.TopK,
	}
}

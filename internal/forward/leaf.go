package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// keepUnasked is how long a leaf goes on with a part of a query that nobody waits for. An
// entry that needs the rest asks at once. With the grace for exchanges it is below 500 ms,
// after which replicas may no longer work for a caller that has disconnected.
const keepUnasked = 100 * time.Millisecond

// partKey names a part of a query that another instance has asked for.
type partKey struct {
	from string
	call uint64
}

// part is a part of a query that this instance gathers for another one. Its goroutine
// alone uses the activeRequest and waiting.
type part struct {
	*activeRequest
	waits chan *partWait
	done  chan struct{} // closed when the goroutine ends
	// waiting is the request that waits for a reply; nil if there is none, since unasked.
	waiting *partWait
	unasked time.Time
	// delivered are the shards that were answered or finally missing in a reply.
	delivered []bool
}

// partWait is a request that waits for a reply.
type partWait struct {
	ctx     context.Context
	replyAt time.Time
	reply   chan GatherReply // has room for one
}

// Gather serves a request of another instance for some shards of a query. It sends to
// their replicas as for a query of a caller, and merges what they answer. The end of ctx
// means that the asking instance no longer waits. ErrNotGathered means that no replica got
// the query because of this request.
func (f *Forwarder) Gather(ctx context.Context, req *GatherRequest) (GatherReply, error) {
	arrived := time.Now()
	if len(req.Route.Shards) == 0 && !req.Resume {
		return GatherReply{Leaving: f.leaving.Load()}, nil
	}
	if err := req.Validate(); err != nil {
		f.metrics.gathersRefused.Inc(1)
		return GatherReply{}, fmt.Errorf("%w: %w", ErrNotGathered, err)
	}
	if ctx.Err() != nil {
		return GatherReply{}, fmt.Errorf("%w: %w", ErrNotGathered, ctx.Err())
	}
	w := &partWait{ctx: ctx, replyAt: arrived.Add(req.ReplyWithin), reply: make(chan GatherReply, 1)}
	if err := f.waitForPart(req, w, arrived); err != nil {
		f.metrics.gathersRefused.Inc(1)
		return GatherReply{}, fmt.Errorf("%w: %w", ErrNotGathered, err)
	}
	select {
	case reply := <-w.reply:
		reply.Leaving, reply.Took = f.leaving.Load(), time.Since(arrived)
		f.metrics.recordGather(reply)
		return reply, nil
	case <-ctx.Done():
		return GatherReply{}, ctx.Err()
	}
}

// waitForPart makes w wait for the part of a query that a request asks for. It begins a
// new one unless the request resumes one.
func (f *Forwarder) waitForPart(req *GatherRequest, w *partWait, arrived time.Time) error {
	key := partKey{req.From, req.Call}
	f.partsMu.Lock()
	p := f.parts[key]
	switch err := f.refusePart(req, p); {
	case err != nil:
		f.partsMu.Unlock()
		return err
	case p == nil:
		p = f.newPart(req, arrived)
		p.waiting = w
		f.parts[key] = p
		f.partsMu.Unlock()
		go f.runPart(key, p, req)
		return nil
	}
	f.partsMu.Unlock()
	select {
	case p.waits <- w:
		return nil
	case <-p.done:
		return errors.New("the call has ended")
	}
}

// refusePart returns an error that says why a request is refused. p is the part of its
// call, if there is one. f.partsMu is held.
func (f *Forwarder) refusePart(req *GatherRequest, p *part) error {
	snap := f.store.Load()
	switch {
	case req.Resume && (p == nil || p.req.AttemptID != req.Query.AttemptID):
		return fmt.Errorf("no call %d of %s for this attempt", req.Call, req.From)
	case req.Resume:
		return nil
	case p != nil:
		return fmt.Errorf("call %d of %s is known", req.Call, req.From)
	case snap.Config == nil || !snap.ReplicasKnown:
		return errors.New("no configuration")
	case int64(len(f.parts)) >= f.inFlightLimit(req.Route.Priority):
		return errors.New("overload")
	}
	return nil
}

func (f *Forwarder) runPart(key partKey, p *part, req *GatherRequest) {
	p.run()
	f.partsMu.Lock()
	delete(f.parts, key)
	f.partsMu.Unlock()
	p.logPart(req)
}

func (f *Forwarder) newPart(req *GatherRequest, arrived time.Time) *part {
	route := *req.Route
	route.Idempotent = true
	query := *req.Query
	query.Arrived = arrived
	r := &activeRequest{
		f: f, ctx: context.Background(), req: &query, route: &route, start: arrived, isPart: true, repeat: req.Repeat, home: req.Home, evacuated: req.Evacuated,
		deadline: arrived.Add(req.Within),
		onTime:   arrived.Add(req.AnswerWithin),
		late:     arrived.Add(req.Within),
	}
	r.addShards(route.Shards, nil)
	return &part{activeRequest: r, waits: make(chan *partWait), done: make(chan struct{}), delivered: make([]bool, len(route.Shards))}
}

// run sends the query and replies to the requests that wait, until all shards are
// answered or given up, or until nobody asks any more.
func (p *part) run() {
	defer close(p.done)
	p.sendCtx, p.cancel = context.WithDeadline(context.Background(), p.deadline)
	defer p.releaseExchanges()
	p.closeUnservableShards(p.start)
	p.startShards(time.Now())
	p.unasked = time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		_, open := p.countShards()
		ended := open == 0 || !now.Before(p.deadline)
		if p.waiting != nil && (ended || !now.Before(p.waiting.replyAt)) {
			p.waiting.reply <- p.nextReply(ended)
			p.waiting, p.unasked = nil, now
			if ended {
				return
			}
		}
		var abandoned <-chan struct{}
		next := p.unasked.Add(keepUnasked)
		switch {
		case p.waiting != nil:
			abandoned = p.waiting.ctx.Done()
			next = earlier(p.nextTimer(now), p.waiting.replyAt)
		case !now.Before(next):
			return
		case !ended:
			next = earlier(p.nextTimer(now), next)
		}
		timer.Reset(max(next.Sub(now), 0))
		select {
		case e := <-p.results:
			p.handleResult(e)
			p.drainResults()
		case <-timer.C:
			p.startDueExchanges(time.Now())
		case w := <-p.waits:
			p.waiting = w
		case <-abandoned:
			return
		}
	}
}

// nextReply returns what was in no reply yet. ended is set if it is the last one.
func (p *part) nextReply(ended bool) GatherReply {
	var reply GatherReply
	top := topRecords{limit: p.route.TopK}
	for i := range p.shards {
		if p.delivered[i] {
			continue
		}
		sh := &p.shards[i]
		if sh.reply != nil {
			reply.Answered = append(reply.Answered, GatheredShard{i, sh.reply.Signature})
			top.add(sh.reply.Body)
			p.delivered[i] = true
			continue
		}
		pending := !sh.closed && !ended
		reply.Missing = append(reply.Missing, MissingShard{
			Shard: i, Reason: sh.reason, MayHaveRun: sh.mayHaveRun || sh.inFlight > 0, Pending: pending,
		})
		p.delivered[i] = !pending
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
	sh.paid = r.f.budget.TrySpend(sh.service, time.Now())
	return sh.paid
}

// restrictToAttempts leaves as many of the candidates of a part as a request may be sent
// to. Several leaves may be asked for a shard, without a word from the first one, so that
// all choose the same replicas, also while some leave and others join: of all that are
// listed or were until shortly before, the oldest one in the home zone, and then the
// oldest. Whether they can be used does not matter, as each leaf sees that differently.
func (r *activeRequest) restrictToAttempts(service string, list []candidate) []candidate {
	if !r.isPart || len(list) == 0 {
		return list
	}
	listed := r.f.currentView().snap.RecentReplicas(service, time.Now())
	attempts := max(r.route.MaxAttempts, 1)
	if len(listed) <= attempts {
		return list
	}
	slices.SortFunc(listed, func(a, b catalog.Replica) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	if home := slices.IndexFunc(listed, func(l catalog.Replica) bool { return l.Zone == r.home }); home > 0 {
		oldest := listed[home]
		listed = slices.Insert(slices.Delete(listed, home, home+1), 0, oldest)
	}
	return slices.DeleteFunc(list, func(c candidate) bool {
		return !slices.ContainsFunc(listed[:attempts], func(l catalog.Replica) bool { return l.ID == c.replica.ID })
	})
}

// isEvacuated reports whether the asking instance knows that a zone is evacuated.
func (r *activeRequest) isEvacuated(zone string) bool { return slices.Contains(r.evacuated, zone) }

// SetLeaving makes this instance tell others that it is about to stop.
func (f *Forwarder) SetLeaving() { f.leaving.Store(true) }

// Gathering returns the number of parts of queries that are gathered for others.
func (f *Forwarder) Gathering() int {
	f.partsMu.Lock()
	defer f.partsMu.Unlock()
	return len(f.parts)
}

// scatterRoute returns what a leaf needs of a route, for some of its shards.
func scatterRoute(route *catalog.Route, shards []string) *catalog.Route {
	return &catalog.Route{
		Name: route.Name, Idempotent: true, Objective: route.Objective, MaxAttempts: route.MaxAttempts, Priority: route.Priority,
		Regions: route.Regions, Shards: shards, TopK: route.TopK,
	}
}

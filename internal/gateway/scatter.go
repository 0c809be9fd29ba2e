package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

const (
	maxRetries = 2
	// maxHolderReroutes bounds how often a shard follows the holder's name in
	// no-right replies while a placement moves.
	maxHolderReroutes = 3
)

// shardRun is the progress of one shard.
type shardRun struct {
	plan     *ShardPlan
	attempts []attempt
	next     int // index of the next replica in plan.Replicas
	live     int
	retries  int
	reroutes int
	hedged   bool
	// waits counts the times that no replica had a holder.
	waits int
	// retryAt is when the replicas are tried once more; zero means never.
	retryAt time.Time
	// hedgeWaits counts hedges that were put off.
	hedgeWaits int
	// hedgeAt is when the next hedge may be sent; zero means never.
	hedgeAt time.Time
	done    bool
	// answered is set when a whole reply arrived.
	answered bool
	reached  bool
	reason   outcome.Reason
	items    []json.RawMessage
}

// scatterRun is one query over the shards of one index snapshot. One
// goroutine owns it; attempts report through events.
type scatterRun struct {
	g      *Gateway
	q      *Query
	ctx    context.Context
	body   []byte
	shards []shardRun
	open   int // shards that are not decided
	// lost is set when the query cannot be answered any more.
	lost   bool
	events chan event
}

// scatter sends the sub-requests of a plan and collects the replies. It
// returns when all shards are decided or the context ends; attempts that are
// still in flight are cancelled and their replies dropped.
func (g *Gateway) scatter(ctx context.Context, q *Query) SearchReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &scatterRun{
		g: g, q: q, ctx: ctx, body: searchBody(q), shards: make([]shardRun, len(q.Plan.Shards)),
		events: make(chan event, len(q.Plan.Shards)),
	}
	s.open = len(s.shards)
	for i := range s.shards {
		s.shards[i].plan = &q.Plan.Shards[i]
	}
	for i := 0; i < len(s.shards) && !s.lost; i++ {
		s.first(i)
	}
	s.loop()
	return merge(q, s.shards, ctx.Err())
}

// searchBody is what every target of a query gets.
func searchBody(q *Query) []byte {
	body, err := json.Marshal(struct {
		Search string          `json:"search"`
		Query  json.RawMessage `json:"query"`
	}{q.Search.Name, q.Query})
	if err != nil {
		// The API checked that the query is valid JSON.
		return []byte("{}")
	}
	return body
}

func (s *scatterRun) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for s.open > 0 && !s.q.gone {
		timer.Reset(s.untilDue())
		select {
		case e := <-s.events:
			s.handle(e)
		case <-timer.C:
			s.sendHedges()
			s.sendAfterMoves()
		case <-s.ctx.Done():
			s.drain()
			return
		}
	}
}

// drain takes the replies that arrived together with the end of the context.
func (s *scatterRun) drain() {
	for {
		select {
		case e := <-s.events:
			if sh := &s.shards[e.shard]; e.code == outcome.Answered && !sh.done {
				s.win(sh, &sh.attempts[e.attempt], e.items)
			}
		default:
			return
		}
	}
}

func (s *scatterRun) first(i int) {
	sh := &s.shards[i]
	if len(sh.plan.Replicas) == 0 {
		s.fail(sh, outcome.ReasonNoReplica)
		return
	}
	s.g.budget.First()
	s.g.metrics.first.Inc(1)
	sh.next = 1
	s.send(i, sh.plan.Replicas[0], false)
	if len(sh.plan.Replicas) > 1 {
		if d, ok := s.g.hedgeDelay(sh.plan.Service, sh.plan.Replicas[0].Instance, time.Now()); ok {
			sh.hedgeAt = time.Now().Add(d)
		}
	}
}

// send starts one attempt in its own goroutine. The goroutine ends when the
// executor returns, at the latest soon after the query ended.
func (s *scatterRun) send(i int, c Choice, hedge bool) {
	sh := &s.shards[i]
	n := len(sh.attempts)
	ctx, cancel := context.WithCancel(s.ctx)
	sh.attempts = append(sh.attempts, attempt{
		id: attemptID(s.q, i, n), choice: c, started: time.Now(), cancel: cancel, hedge: hedge,
	})
	sh.live++
	req := &peerpb.ExecuteRequest{
		RequestId: s.q.RequestID, AttemptId: sh.attempts[n].id, Service: sh.plan.Service,
		Target: c.Target, Zone: s.q.Snap.Targets[c.Target].Zone, Operation: "search",
		Snapshot: s.q.Plan.Snapshot, Shard: sh.plan.Shard, Priority: int32(s.q.Priority),
		DeadlineUnixMs: s.q.Deadline.UnixMilli(), Body: s.body, Idempotent: true,
		ConfigVersion: s.q.Snap.ConfigVersion,
	}
	service := sh.plan.Service
	go func() {
		defer cancel()
		e := s.g.run(ctx, c, service, req)
		e.shard, e.attempt = i, n
		if e.code == outcome.Answered {
			e.code, e.items, e.reason = wholePart(req, e)
		}
		select {
		case s.events <- e:
		case <-s.ctx.Done():
		}
	}()
}

// handle takes the end of one attempt.
func (s *scatterRun) handle(e event) {
	sh := &s.shards[e.shard]
	a := &sh.attempts[e.attempt]
	if a.done {
		s.g.metrics.dropped.Inc(1)
		return
	}
	a.done = true
	sh.live--
	if sh.done {
		s.g.metrics.dropped.Inc(1)
		return
	}
	if e.code == outcome.Answered {
		s.win(sh, a, e.items)
		return
	}
	sh.reached = sh.reached || e.reachedTarget()
	if s.lost {
		s.endAbandoned(sh)
		return
	}
	sh.reason = e.reason
	if e.reason == outcome.ReasonSnapshotGone {
		s.g.stats.noteLacking(s.q.Snap.Targets[a.choice.Target], s.q.Plan.Snapshot, time.Now())
	}
	s.recover(e.shard, a.choice, e)
}

// win ends a shard with a whole answer and cancels its other attempts.
func (s *scatterRun) win(sh *shardRun, a *attempt, items []json.RawMessage) {
	sh.done, sh.answered, sh.items = true, true, items
	s.open--
	if a.hedge {
		s.g.metrics.hedgeWins.Inc(1)
	}
	for i := range sh.attempts {
		if !sh.attempts[i].done {
			sh.attempts[i].cancel()
		}
	}
}

func (s *scatterRun) fail(sh *shardRun, r outcome.Reason) {
	sh.done, sh.reason = true, r
	s.open--
	if r == outcome.ReasonOverload || r == outcome.ReasonShed {
		s.q.lostForLoad++
	}
	if r == outcome.ReasonSnapshotGone && s.q.mayRestart {
		s.q.gone = true
	}
	if s.q.needsAll() && !s.q.gone {
		s.abandon()
	}
}

// untilDue returns the time to the earliest hedge or repeated try.
func (s *scatterRun) untilDue() time.Duration {
	var at time.Time
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done {
			continue
		}
		for _, due := range [...]time.Time{sh.hedgeAt, sh.retryAt} {
			if !due.IsZero() && (at.IsZero() || due.Before(at)) {
				at = due
			}
		}
	}
	if at.IsZero() {
		return time.Hour
	}
	return max(time.Until(at), 0)
}

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

const (
	// maxRetries bounds the retries of a shard, and those of an operation.
	maxRetries = 2
	// maxHolderReroutes bounds how often a sub-request follows a target to another
	// holder while placements change.
	maxHolderReroutes = 3
)

// shardRun is the progress of one shard of a query. It ends answered or failed;
// the goroutine of the query owns it.
type shardRun struct {
	plan      *ShardPlan
	attempts  []attempt
	nextIndex int // index of the next replica in plan.Replicas
	inFlight  int // attempts without an end
	retries   int
	reroutes  int
	hedged    bool
	// holderWaits counts the waits because no replica had a holder with a lease.
	holderWaits int
	// rerouteAt is when the current wait for a holder ends and the replicas are
	// tried again; zero means that the shard does not wait.
	rerouteAt          time.Time
	hedgePostponements int
	// hedgeAt is when the hedge may be sent; zero means never.
	hedgeAt time.Time
	done    bool
	// answered is set if a valid, complete reply arrived.
	answered bool
	// targetReached is set if a target may have received one of the attempts.
	targetReached bool
	reason        outcome.Reason
	items         []json.RawMessage
}

// scatterRun runs the sub-requests of one query over the shards of one index
// snapshot. One goroutine owns it. The goroutines of the attempts report to it
// through ends.
type scatterRun struct {
	g         *Gateway
	q         *Query
	ctx       context.Context
	body      []byte
	shards    []shardRun
	undecided int // shards that are neither answered nor failed
	// abandoned is set when the query can no longer be answered.
	abandoned bool
	ends      chan attemptEnd
}

// scatter sends the sub-requests of a plan and merges the replies. It returns
// when every shard is answered or failed, when the query has to restart, or when
// the context ends. Attempts that are still in flight are then cancelled and
// their replies dropped.
func (g *Gateway) scatter(ctx context.Context, q *Query) SearchReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &scatterRun{
		g: g, q: q, ctx: ctx, body: searchBody(q), shards: make([]shardRun, len(q.Plan.Shards)),
		ends: make(chan attemptEnd, len(q.Plan.Shards)),
	}
	s.undecided = len(s.shards)
	for i := range s.shards {
		s.shards[i].plan = &q.Plan.Shards[i]
	}
	for i := 0; i < len(s.shards) && !s.abandoned; i++ {
		s.sendFirstAttempt(i)
	}
	s.collectReplies()
	return merge(q, s.shards, ctx.Err())
}

// searchBody returns the body that every target of a query gets.
func searchBody(q *Query) []byte {
	body, err := json.Marshal(struct {
		Search string          `json:"search"`
		Query  json.RawMessage `json:"query"`
	}{q.Declaration.Name, q.Query})
	if err != nil {
		// The API checked that the query is valid JSON.
		return []byte("{}")
	}
	return body
}

// collectReplies processes the ends of attempts, and sends the hedges and
// reroutes that are due, until every shard is answered or failed, the query has
// to restart, or the context ends.
func (s *scatterRun) collectReplies() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for s.undecided > 0 && !s.q.needsRestart {
		timer.Reset(s.timeToNextSend())
		select {
		case e := <-s.ends:
			s.handleEnd(e)
		case <-timer.C:
			s.sendHedges()
			s.sendAfterHolderWaits()
		case <-s.ctx.Done():
			s.collectArrivedAnswers()
			return
		}
	}
}

// collectArrivedAnswers takes the answers that had arrived when the context
// ended.
func (s *scatterRun) collectArrivedAnswers() {
	for {
		select {
		case e := <-s.ends:
			if sh := &s.shards[e.shard]; e.code == outcome.Answered && !sh.done {
				s.completeShard(sh, &sh.attempts[e.attempt], e.items)
			}
		default:
			return
		}
	}
}

func (s *scatterRun) sendFirstAttempt(i int) {
	sh := &s.shards[i]
	if len(sh.plan.Replicas) == 0 {
		s.failShard(sh, outcome.ReasonNoReplica)
		return
	}
	s.g.budget.AddFirstAttempt()
	s.g.metrics.firstAttempts.Inc(1)
	sh.nextIndex = 1
	s.startAttempt(i, sh.plan.Replicas[0], false)
	if len(sh.plan.Replicas) > 1 {
		if d, ok := s.g.hedgeDelay(sh.plan.Service, sh.plan.Replicas[0].Instance, time.Now()); ok {
			sh.hedgeAt = time.Now().Add(d)
		}
	}
}

// startAttempt starts one attempt in its own goroutine. The goroutine ends when
// the executor returns, at the latest soon after the query ends.
func (s *scatterRun) startAttempt(i int, c Choice, hedge bool) {
	sh := &s.shards[i]
	n := len(sh.attempts)
	ctx, cancel := context.WithCancel(s.ctx)
	sh.attempts = append(sh.attempts, attempt{
		id: attemptID(s.q, i, n), choice: c, started: time.Now(), cancel: cancel, hedge: hedge,
	})
	sh.inFlight++
	req := &peerpb.ExecuteRequest{
		RequestId: s.q.RequestID, AttemptId: sh.attempts[n].id, Service: sh.plan.Service,
		Target: c.Target, Zone: s.q.State.Targets[c.Target].Zone, Operation: "search",
		Snapshot: s.q.Plan.Snapshot, Shard: sh.plan.Shard, Priority: int32(s.q.Priority),
		DeadlineUnixMs: s.q.Deadline.UnixMilli(), Body: s.body, Idempotent: true,
		ConfigVersion: s.q.State.ConfigVersion,
	}
	service := sh.plan.Service
	go func() {
		defer cancel()
		e := s.g.runAttempt(ctx, c, service, req)
		e.shard, e.attempt = i, n
		if e.code == outcome.Answered {
			e.code, e.items, e.reason = classifyShardReply(req, e)
		}
		select {
		case s.ends <- e:
		case <-s.ctx.Done():
		}
	}()
}

// handleEnd processes the end of one attempt. Replies for a shard that is already
// answered or failed are dropped.
func (s *scatterRun) handleEnd(e attemptEnd) {
	sh := &s.shards[e.shard]
	a := &sh.attempts[e.attempt]
	if a.done {
		s.g.metrics.droppedReplies.Inc(1)
		return
	}
	a.done = true
	sh.inFlight--
	if sh.done {
		s.g.metrics.droppedReplies.Inc(1)
		return
	}
	if e.code == outcome.Answered {
		s.completeShard(sh, a, e.items)
		return
	}
	sh.targetReached = sh.targetReached || e.reachedTarget()
	if s.abandoned {
		s.endAbandoned(sh)
		return
	}
	sh.reason = e.reason
	if e.reason == outcome.ReasonSnapshotGone {
		s.g.stats.recordMissingSnapshot(s.q.State.Targets[a.choice.Target], s.q.Plan.Snapshot, time.Now())
	}
	s.handleFailure(e.shard, a.choice, e)
}

// completeShard ends a shard with the items of an attempt and cancels its other
// attempts.
func (s *scatterRun) completeShard(sh *shardRun, a *attempt, items []json.RawMessage) {
	sh.done, sh.answered, sh.items = true, true, items
	s.undecided--
	if a.hedge {
		s.g.metrics.hedgeWins.Inc(1)
	}
	for i := range sh.attempts {
		if !sh.attempts[i].done {
			sh.attempts[i].cancel()
		}
	}
}

// failShard ends a shard without an answer. If the query needs all shards and
// does not restart, this abandons it.
func (s *scatterRun) failShard(sh *shardRun, r outcome.Reason) {
	sh.done, sh.reason = true, r
	s.undecided--
	if r == outcome.ReasonOverload || r == outcome.ReasonShed {
		s.q.lostForLoad++
	}
	if r == outcome.ReasonSnapshotGone && s.q.mayRestart {
		s.q.needsRestart = true
	}
	if s.q.needsAllShards() && !s.q.needsRestart {
		s.abandon()
	}
}

// timeToNextSend returns the time until the earliest hedge or end of a wait for a
// holder.
func (s *scatterRun) timeToNextSend() time.Duration {
	var at time.Time
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.done {
			continue
		}
		for _, due := range [...]time.Time{sh.hedgeAt, sh.rerouteAt} {
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

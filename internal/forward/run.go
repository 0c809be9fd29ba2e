package forward

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

const (
	// deliveryMargin is reserved for delivery of the answer to the caller: a
	// round trip and a connection set-up at a few milliseconds each way.
	deliveryMargin = 15 * time.Millisecond
	// unneededExchangeGrace is how long an exchange that is no longer needed may
	// continue before it is cancelled, because cancelling costs the connection.
	// It is below 500 ms, after which a replica may no longer work for a caller
	// that has disconnected.
	unneededExchangeGrace = 300 * time.Millisecond
	// busyDelay is the pause before a shard is tried again whose replicas all had
	// no free connection or were at their cold-start limit.
	busyDelay = 4 * time.Millisecond
	// budgetDelay is the pause before a repeat that found no retry budget is
	// tried again. Other requests add to the budget meanwhile.
	budgetDelay = 20 * time.Millisecond
	// failureDelay is the pause before a request is sent again to a replica that
	// rejected or failed it.
	failureDelay = 15 * time.Millisecond
	// maxShardSends bounds the exchanges for one shard of a request, repeats included.
	maxShardSends = 4
)

// shard is the state of one service that a request needs; a request that is not
// scattered has one shard. It is waiting to start, has exchanges in flight, waits
// for retryAt, or is closed. Only the goroutine of its activeRequest changes it.
type shard struct {
	service  string
	tried    []string // distinct replicas that may have received the request
	sends    int      // exchanges that may have reached a replica, or are in flight
	started  bool     // the first exchange was started
	inFlight int
	// mayHaveRun is set once a replica may have run the request.
	mayHaveRun bool
	reply      *replica.Reply
	// failure is the last complete answer that was not a success.
	failure *replica.Reply
	// closed is set when no further exchange will be started, unless the shard
	// is deferred.
	closed bool
	// reason is why the last exchange, or the attempt to start one, failed.
	reason string
	// answeredBy is the ID of the replica that sent reply or failure.
	answeredBy string
	// budgetWaitLogged is set once a wait for the retry budget was logged.
	budgetWaitLogged bool
	hedgeAt          time.Time // zero if no hedge is scheduled
	retryAt          time.Time // next attempt to start an exchange; zero if none is scheduled
	lastBackend      *replica.Backend
	// limitedBy is, of the replicas whose rate limits or pauses left no room for the
	// shard, the one that will admit a request first.
	limitedBy *candidate
	// group is set if a leaf is asked for the shard; signature is then that of the reply
	// that the leaf has merged.
	group     *shardGroup
	signature string
	leafCalls int // in flight
	// paid is set once the first exchange was paid from the retry budget, see payRepeat.
	paid bool
}

// answered reports whether the reply of the shard is in the answer.
func (sh *shard) answered() bool { return sh.reply != nil || sh.signature != "" }

// isOpen reports whether the shard may still get a reply.
func (sh *shard) isOpen() bool { return !sh.answered() && !sh.closed }

// countShards returns the numbers of shards that are answered and that may still be.
func (r *activeRequest) countShards() (answered, open int) {
	for i := range r.shards {
		if sh := &r.shards[i]; sh.answered() {
			answered++
		} else if sh.isOpen() {
			open++
		}
	}
	return answered, open
}

// exchangeResult reports the end of an exchange to the goroutine of its request.
type exchangeResult struct {
	shard     int
	replicaID string
	result    replica.Result
	took      time.Duration
}

// activeRequest is the state of one request from its arrival to its answer. Only
// the goroutine that calls runToEnd changes it; exchanges report to it on results.
type activeRequest struct {
	f        *Forwarder
	ctx      context.Context
	req      *Request
	route    *catalog.Route
	start    time.Time
	deadline time.Time // for the answer
	// onTime is the latest time to send an answer that still reaches the caller within
	// the objective, which ends at objective; late is when an answer that missed it stops
	// waiting for the remaining shards.
	onTime, objective, late time.Time
	// required is the number of shards that an answer must cover.
	required int
	shards   []shard
	results  chan exchangeResult
	inFlight int
	cancel   context.CancelFunc
	sendCtx  context.Context
	// deferred are the indexes of the overloaded shards that were not started, in
	// order of cost. They are closed until they are started.
	deferred []int

	// groups are the groups of shards for which leaves are asked; leafReplies brings what
	// these reply, and replies has what they answered.
	groups      []*shardGroup
	leafReplies chan *leafReply
	ended       chan struct{} // closed at the end of runToEnd
	replies     []gatheredReply
	leafCalls   int

	// isPart is set if another instance asks for a part of a query, see Gather. If repeat
	// is set too, the first exchanges are paid as repeats. evacuated are the zones that
	// the asking instance knows to be evacuated.
	isPart, repeat bool
	home           string // see GatherRequest
	evacuated      []string
}

// runToEnd serves the request and returns its answer.
func (r *activeRequest) runToEnd() Answer {
	defer close(r.ended)
	r.sendCtx, r.cancel = context.WithDeadline(context.WithoutCancel(r.ctx), r.deadline)
	if a, refused := r.refuseIfUnavailable(); refused {
		r.cancel()
		return a
	}
	r.startShards(time.Now())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		if a, done := r.decide(now); done {
			r.releaseExchanges()
			return a
		}
		timer.Reset(max(r.nextTimer(now).Sub(now), 0))
		select {
		case e := <-r.results:
			r.handleResult(e)
			r.drainResults()
		case reply := <-r.leafReplies:
			r.handleLeafReply(reply, time.Now())
		case <-timer.C:
			r.startDueExchanges(time.Now())
			r.startDueGroups(time.Now())
		case <-r.f.requestsEnded:
			r.deadline = earlier(r.deadline, time.Now())
			r.drainResults()
		case <-r.ctx.Done():
			r.cancel()
			return Answer{Code: Abandoned}
		}
	}
}

func (r *activeRequest) drainResults() {
	for {
		select {
		case e := <-r.results:
			r.handleResult(e)
		default:
			return
		}
	}
}

// releaseExchanges gives exchanges that are no longer needed a grace period to
// complete, and then cancels the remaining ones.
func (r *activeRequest) releaseExchanges() {
	if r.inFlight == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(unneededExchangeGrace, r.cancel)
}

// refuseIfUnavailable refuses a request, before anything is sent, if too few of its
// shards have a usable replica that admits the request in time.
func (r *activeRequest) refuseIfUnavailable() (Answer, bool) {
	available := r.closeUnservableShards(time.Now())
	if available > 0 && available >= r.required {
		return Answer{}, false
	}
	return r.refuse("no replica"), true
}

// requiredShards returns the number of shards, of total, that an answer must cover.
func requiredShards(total int, route *catalog.Route) int {
	if !route.IsScatter() {
		return total
	}
	const roundingTolerance = 1e-9
	return max(int(math.Ceil(route.MinShare*float64(total)-roundingTolerance)), 1)
}

// nextTimer returns the next time at which a decision may be due.
func (r *activeRequest) nextTimer(now time.Time) time.Time {
	next := r.deadline
	if onTime := r.objectiveDeadline(); onTime.After(now) {
		next = earlier(next, onTime)
	}
	if late := r.lateAnswerDeadline(); late.After(now) {
		next = earlier(next, late)
	}
	if refusal := r.refusalDeadline(); !r.route.IsScatter() && refusal.After(now) {
		next = earlier(next, refusal)
	}
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.closed {
			continue
		}
		if !sh.hedgeAt.IsZero() {
			next = earlier(next, sh.hedgeAt)
		}
		if !sh.retryAt.IsZero() {
			next = earlier(next, sh.retryAt)
		}
	}
	return r.nextGroupTimer(next)
}

// startDueExchanges starts the exchanges that are due: hedges, retries, and first
// exchanges that had to wait for capacity.
func (r *activeRequest) startDueExchanges(now time.Time) {
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.closed {
			continue
		}
		if !sh.retryAt.IsZero() && !sh.retryAt.After(now) {
			sh.retryAt = time.Time{}
			if !sh.started {
				r.startShard(i, r.candidates(sh.service, now), now)
			} else {
				r.retry(i)
			}
		}
		if !sh.hedgeAt.IsZero() && !sh.hedgeAt.After(now) {
			sh.hedgeAt = time.Time{}
			r.hedge(i, now)
		}
	}
}

// handleResult updates the state of a shard after an exchange has ended, and starts
// or schedules a retry if one is needed.
func (r *activeRequest) handleResult(e exchangeResult) {
	sh := &r.shards[e.shard]
	sh.inFlight--
	r.inFlight--
	res := e.result
	switch res.Outcome {
	case replica.NotSent:
		sh.sends--
		sh.tried = slices.DeleteFunc(sh.tried, func(id string) bool { return id == e.replicaID })
	case replica.Lost:
		sh.mayHaveRun = true
	case replica.Complete:
		sh.mayHaveRun = true
		reply := res.Reply
		if reply.Succeeded() {
			if sh.reply == nil {
				sh.reply, sh.answeredBy = &reply, e.replicaID
			}
			sh.closed = true
			return
		}
		sh.failure, sh.answeredBy = &reply, e.replicaID
	}
	if sh.closed {
		return
	}
	sh.reason = res.Reason
	r.logExchange(sh, e)
	switch {
	case res.Outcome == replica.Complete && sh.failure.Status < 500, r.mustNotResend(sh):
		sh.closed = true
	case sh.inFlight == 0:
		r.scheduleRetry(e.shard, e.replicaID)
	}
}

// mustNotResend reports whether a repeat could make a request that is not
// idempotent run twice.
func (r *activeRequest) mustNotResend(sh *shard) bool { return !r.route.Idempotent && sh.mayHaveRun }

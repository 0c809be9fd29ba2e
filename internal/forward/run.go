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
	// deliveryMargin is kept for the way of an answer back to its caller: a
	// round trip and the set-up of a connection at a few milliseconds each way.
	deliveryMargin = 15 * time.Millisecond
	// loserGrace is how long an exchange that is no longer needed may go on, so
	// that its connection can be kept. It is below the half second after which
	// a replica may no longer work for a caller that has left.
	loserGrace = 300 * time.Millisecond
	// busyWait is the pause before a shard whose replicas have no free
	// connection, or no room for a cold start, is looked at again.
	busyWait = 4 * time.Millisecond
	// budgetWait is the pause before a repeat without budget is tried again:
	// other requests add to the budget.
	budgetWait = 20 * time.Millisecond
	// rejectWait is the pause before a replica that rejected or failed a request
	// gets it again.
	rejectWait = 15 * time.Millisecond
	// maxSends bounds the exchanges for one shard of a request.
	maxSends = 4
)

// shard is the state of one service that a request needs.
type shard struct {
	service string
	tried   []string // distinct replicas that may have got the request
	sends   int      // exchanges that may have reached a replica, or still may
	started bool     // the first exchange was started
	live    int
	// mayHaveRun is set once a replica may have run the request.
	mayHaveRun bool
	reply      *replica.Reply
	// failure is the last whole answer that was not a success.
	failure *replica.Reply
	// closed is set when no more exchange will be started.
	closed bool
	reason string
	// by is the replica whose answer is taken.
	by string
	// noBudget is set once a repeat had to wait for the budget.
	noBudget bool
	hedgeAt  time.Time // zero for none
	retryAt  time.Time // zero for none
	last     *replica.Backend
}

// event is the end of an exchange.
type event struct {
	shard  int
	id     string
	result replica.Result
	took   time.Duration
}

// run serves one request. It belongs to one goroutine.
type run struct {
	f       *Forwarder
	ctx     context.Context
	req     *Request
	route   *catalog.Route
	start   time.Time
	end     time.Time // of the time for the request
	shards  []shard
	events  chan event
	live    int
	cancel  context.CancelFunc
	sendCtx context.Context
	// spare are the shards that were left out, the best one first.
	spare []int
}

// loop runs the request to its end.
func (r *run) loop() Answer {
	r.sendCtx, r.cancel = context.WithDeadline(context.WithoutCancel(r.ctx), r.end)
	if a, refused := r.refuseEarly(); refused {
		r.cancel()
		return a
	}
	r.plan(time.Now())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		if a, done := r.decide(now); done {
			r.release()
			return a
		}
		timer.Reset(max(r.nextWake(now).Sub(now), 0))
		select {
		case e := <-r.events:
			r.ended(e)
			r.drainEvents()
		case <-timer.C:
			r.wake(time.Now())
		case <-r.ctx.Done():
			r.cancel()
			return Answer{Code: Abandoned}
		}
	}
}

func (r *run) drainEvents() {
	for {
		select {
		case e := <-r.events:
			r.ended(e)
		default:
			return
		}
	}
}

// release lets exchanges that are no longer needed end by themselves for a
// while, and cancels those that are left.
func (r *run) release() {
	if r.live == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(loserGrace, r.cancel)
}

// refuseEarly refuses a request for which too few replicas are usable, before
// anything is sent.
func (r *run) refuseEarly() (Answer, bool) {
	services, open := r.f.current().services, 0
	for i := range r.shards {
		sh := &r.shards[i]
		if slices.ContainsFunc(services[sh.service], func(s sendable) bool { return r.route.AllowsRegion(s.region) }) {
			open++
		} else {
			sh.closed, sh.reason = true, "no replica"
		}
	}
	if open > 0 && enough(open, len(r.shards), r.route) {
		return Answer{}, false
	}
	return refusal("no replica", RetryHint(r.route.Objective)), true
}

// needed returns the number of shards that an answer needs.
func needed(total int, route *catalog.Route) int {
	if !route.IsScatter() {
		return total
	}
	const rounding = 1e-9
	return max(int(math.Ceil(route.MinShare*float64(total)-rounding)), 1)
}

// enough reports whether an answer may be made of n of the shards.
func enough(n, total int, route *catalog.Route) bool { return n >= needed(total, route) }

// nextWake returns the time of the next timed decision.
func (r *run) nextWake(now time.Time) time.Time {
	next := r.end
	if cut := r.cutAt(); cut.After(now) {
		next = earlier(next, cut)
	}
	if late := r.lateAt(); late.After(now) {
		next = earlier(next, late)
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
	return next
}

// wake starts the hedges and retries that are due.
func (r *run) wake(now time.Time) {
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.closed {
			continue
		}
		if !sh.retryAt.IsZero() && !sh.retryAt.After(now) {
			sh.retryAt = time.Time{}
			if !sh.started {
				r.first(i, r.f.candidates(r.route, sh.service, now), now)
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

// ended takes the end of an exchange.
func (r *run) ended(e event) {
	sh := &r.shards[e.shard]
	sh.live--
	r.live--
	res := e.result
	switch res.Kind {
	case replica.NotSent:
		sh.sends--
		sh.tried = slices.DeleteFunc(sh.tried, func(id string) bool { return id == e.id })
	case replica.Lost:
		sh.mayHaveRun = true
	case replica.Complete:
		sh.mayHaveRun = true
		reply := res.Reply
		if reply.Succeeded() {
			if sh.reply == nil {
				sh.reply, sh.by = &reply, e.id
			}
			sh.closed = true
			return
		}
		sh.failure, sh.by = &reply, e.id
	}
	if sh.closed {
		return
	}
	sh.reason = res.Reason
	r.logExchange(sh, e)
	switch {
	case res.Kind == replica.Complete && sh.failure.Status < 500, r.mustStop(sh):
		sh.closed = true
	case sh.live == 0:
		r.again(e.shard, e.id)
	}
}

// mustStop reports whether a request that must not run twice may have run.
func (r *run) mustStop(sh *shard) bool { return !r.route.Idempotent && sh.mayHaveRun }

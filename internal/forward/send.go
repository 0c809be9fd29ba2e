package forward

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/replica"
)

// sendKind says why a request is sent to a replica.
type sendKind int

const (
	firstSend sendKind = iota
	hedgeSend
	retrySend
)

// String returns the name that logs and metrics use.
func (k sendKind) String() string { return [...]string{"first", "hedge", "retry"}[k] }

// startShard starts the first exchange of a shard with one of its candidates. It
// closes a shard without candidates.
func (r *activeRequest) startShard(i int, list []candidate, now time.Time) {
	sh := &r.shards[i]
	if len(list) == 0 {
		sh.closed, sh.reason = true, "no replica"
		return
	}
	if !r.payRepeat(sh) {
		sh.closed, sh.reason = true, "no budget"
		return
	}
	r.sendToFirstAvailable(i, firstSend, list, now)
}

// candidates returns the replicas of a service that the request may be sent to, in order
// of cost.
func (r *activeRequest) candidates(service string, now time.Time) []candidate {
	list := r.f.candidates(r.route, service, now)
	if len(r.evacuated) > 0 {
		list = slices.DeleteFunc(list, func(c candidate) bool { return r.isEvacuated(c.replica.Zone) })
	}
	return r.restrictToAttempts(service, list)
}

// sendToFirstAvailable sends to the first candidate that has a free connection and
// cold-start capacity, and whose rate limit and pause admit the request. If there is
// none, the shard waits, or is closed if these admit nothing until latestStart. An ejected
// replica is used only if all are ejected, not if the others are busy; if the others are
// so limited, it is used once.
func (r *activeRequest) sendToFirstAvailable(i int, kind sendKind, list []candidate, now time.Time) (to candidate, sent bool) {
	sh := &r.shards[i]
	sh.limitedBy = nil
	latest := r.latestStart(sh)
	var next time.Time // when the first candidate is asked again
	limited := true    // no candidate admits the request in time
	for n, c := range list {
		if c.ejected && !list[0].ejected && (!limited || c.backend == sh.lastBackend) {
			break
		}
		permit, denial := r.acquirePermit(c, now)
		if permit == nil {
			sh.reason = denial.Reason
			next = nextTry(next, denial, now)
			if !denial.Until.IsZero() {
				sh.noteLimited(c, denial.Until)
			}
			limited = limited && denial.Until.After(latest)
			continue
		}
		r.send(i, kind, c, permit, now)
		r.scheduleHedge(sh, c, list, n, now)
		return c, true
	}
	if limited {
		sh.closed = true
	} else {
		sh.retryAt = next
	}
	return candidate{}, false
}

func (r *activeRequest) acquirePermit(c candidate, now time.Time) (*replica.Permit, replica.Denial) {
	return c.backend.Acquire(now, replica.Terms{
		Number: r.f.pool.NextExchangeNumber(), Expected: c.expected,
		ColdUntil: c.replica.ColdUntil, ColdLimit: c.coldLimit, RateShare: c.rateShare,
	})
}

// send starts one exchange. Its end arrives on r.results.
func (r *activeRequest) send(i int, kind sendKind, c candidate, permit *replica.Permit, now time.Time) {
	sh := &r.shards[i]
	sh.sends++
	sh.started = true
	sh.inFlight++
	r.inFlight++
	if !slices.Contains(sh.tried, c.replica.ID) {
		sh.tried = append(sh.tried, c.replica.ID)
	}
	sh.lastBackend = c.backend
	if c.backend.Limited() {
		r.f.metrics.toLimited[kind].Inc(1)
	}
	request := replica.Request{
		AttemptID: r.req.AttemptID, ReplicaID: c.replica.ID, Method: r.req.Method, URI: r.req.URI, Host: r.req.Host,
		Header: r.req.Header, Body: r.req.Body, Deadline: r.deadline,
	}
	class := replica.LatencyClass{Route: r.route.Name, Zone: c.replica.Zone}
	go func() {
		res, took := permit.Send(r.sendCtx, request, c.expected)
		if res.Outcome == replica.Complete && res.Reply.Succeeded() {
			r.f.pool.Latencies.Record(class, took)
		}
		r.f.metrics.recordExchange(res, took)
		r.results <- exchangeResult{shard: i, replicaID: c.replica.ID, result: res, took: took}
	}()
}

const (
	// hedgeDeviations is the number of mean deviations above the mean latency at
	// which a hedge is sent. If latencies are exponentially distributed, about 6
	// in 100 answers take longer.
	hedgeDeviations = 3
	// minHedgeDelay keeps scheduling delays of this process from causing hedges.
	minHedgeDelay = 5 * time.Millisecond
)

// scheduleHedge sets the time of a hedge for the exchange that was just started with
// list[at].
func (r *activeRequest) scheduleHedge(sh *shard, c candidate, list []candidate, at int, now time.Time) {
	sh.hedgeAt = time.Time{}
	if !r.route.Idempotent || sh.sends >= maxShardSends {
		return
	}
	delay := max(c.expected+hedgeDeviations*c.deviation, c.expected*3/2, minHedgeDelay)
	for n, other := range list {
		if n == at || other.ejected {
			continue
		}
		// The latest time for a hedge to the other replica to meet the objective.
		latest := r.objectiveDeadline().Sub(now) - other.cost - other.deviation
		delay = min(delay, max(latest, c.expected, minHedgeDelay))
		break
	}
	sh.hedgeAt = now.Add(delay)
}

// repeatCandidates returns the candidates that a repeat may go to, untried replicas
// before tried ones and all ejected replicas last. Once the request has tried as
// many replicas as its route allows, only those may get a repeat.
func (r *activeRequest) repeatCandidates(sh *shard, list []candidate) []candidate {
	tried := func(c candidate) bool { return slices.Contains(sh.tried, c.replica.ID) }
	list = slices.DeleteFunc(list, func(c candidate) bool { return !tried(c) && len(sh.tried) >= r.route.MaxAttempts })
	slices.SortStableFunc(list, func(a, b candidate) int {
		return 2*compareBool(a.ejected, b.ejected) + compareBool(tried(a), tried(b))
	})
	return list
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// scheduleRetry retries a shard after its exchange with the replica failed: at once
// if another replica is healthy, or else after a pause.
func (r *activeRequest) scheduleRetry(i int, failed string) {
	sh := &r.shards[i]
	now := time.Now()
	list := r.repeatCandidates(sh, r.candidates(sh.service, now))
	if len(list) > 0 && (list[0].ejected || list[0].replica.ID == failed) {
		sh.retryAt = now.Add(failureDelay)
		return
	}
	r.retry(i)
}

// hedge starts another exchange while an overdue one is still in flight, if the
// other exchange is likely to help and the retry budget allows it.
func (r *activeRequest) hedge(i int, now time.Time) {
	sh := &r.shards[i]
	if sh.inFlight == 0 || sh.sends >= maxShardSends {
		return
	}
	list := r.repeatCandidates(sh, r.candidates(sh.service, now))
	list = slices.DeleteFunc(list, func(c candidate) bool {
		// Another exchange with the same replica helps only if the connection is
		// at fault, which is likely after several times the mean latency.
		return c.backend == sh.lastBackend && now.Before(r.start.Add(4*c.expected+minHedgeDelay)) || c.ejected
	})
	if onTime := r.objectiveDeadline(); now.Before(onTime) {
		list = slices.DeleteFunc(list, func(c candidate) bool { return now.Add(c.cost).After(onTime.Add(deliveryMargin)) })
	}
	if len(list) == 0 {
		return
	}
	if !r.takeBudget(sh) {
		sh.hedgeAt = now.Add(budgetDelay)
		return
	}
	var next time.Time
	for n, c := range list {
		permit, denial := r.acquirePermit(c, now)
		if permit == nil {
			next = nextTry(next, denial, now)
			continue
		}
		r.f.metrics.hedges.Inc(1)
		r.logRepeat(hedgeSend, sh, c, now)
		r.send(i, hedgeSend, c, permit, now)
		r.scheduleHedge(sh, c, list, n, now)
		return
	}
	r.f.budget.Refund(sh.service)
	sh.hedgeAt = next
}

// retry starts another exchange after the earlier ones of a shard have failed, or
// schedules another try if there is no budget or no capacity. It closes the shard
// if no repeat is possible.
func (r *activeRequest) retry(i int) {
	sh := &r.shards[i]
	now := time.Now()
	if sh.sends >= maxShardSends {
		sh.closed = true
		return
	}
	list := r.repeatCandidates(sh, r.candidates(sh.service, now))
	if len(list) == 0 {
		sh.closed = true
		return
	}
	if !r.takeBudget(sh) {
		sh.retryAt = now.Add(budgetDelay)
		return
	}
	if c, sent := r.sendToFirstAvailable(i, retrySend, list, now); sent {
		r.f.metrics.retries.Inc(1)
		r.logRepeat(retrySend, sh, c, now)
	} else if sh.sends > 0 {
		r.f.budget.Refund(sh.service)
	}
}

// takeBudget reports whether a shard may send another exchange. It spends a repeat
// of the retry budget, unless no exchange can have reached the service yet.
func (r *activeRequest) takeBudget(sh *shard) bool {
	if sh.sends == 0 {
		return true
	}
	if r.f.budget.TrySpend(sh.service, time.Now()) {
		return true
	}
	r.f.metrics.repeatsWithoutBudget.Inc(1)
	if !sh.budgetWaitLogged {
		sh.budgetWaitLogged = true
		r.logBudgetWait(sh)
	}
	return false
}

package forward

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/replica"
)

// first starts the first exchange of a shard with one of its candidates.
func (r *run) first(i int, list []candidate, now time.Time) {
	sh := &r.shards[i]
	if len(list) == 0 {
		sh.closed, sh.reason = true, "no replica"
		return
	}
	r.sendToFirst(i, list, now)
}

// sendToFirst sends to the first candidate that has room. Without one, the
// shard waits. A replica that failed of late is tried only if there is no other,
// not if the others are busy.
func (r *run) sendToFirst(i int, list []candidate, now time.Time) (to candidate, sent bool) {
	sh := &r.shards[i]
	for n, c := range list {
		if c.ejected && !list[0].ejected {
			break
		}
		permit, why := r.acquire(c, now)
		if permit == nil {
			sh.reason = why
			continue
		}
		r.send(i, c, permit, now)
		r.planHedge(sh, c, list, n, now)
		return c, true
	}
	sh.retryAt = now.Add(busyWait)
	return candidate{}, false
}

func (r *run) acquire(c candidate, now time.Time) (*replica.Permit, string) {
	return c.backend.Acquire(now, r.f.pool.Number(), c.replica.ColdUntil, c.coldLimit, c.expected)
}

// send starts one exchange.
func (r *run) send(i int, c candidate, permit *replica.Permit, now time.Time) {
	sh := &r.shards[i]
	sh.sends++
	sh.started = true
	sh.live++
	r.live++
	if !slices.Contains(sh.tried, c.replica.ID) {
		sh.tried = append(sh.tried, c.replica.ID)
	}
	sh.last = c.backend
	work := replica.Work{
		AttemptID: r.req.AttemptID, Instance: c.replica.ID, Method: r.req.Method, URI: r.req.URI, Host: r.req.Host,
		Header: r.req.Header, Body: r.req.Body, Deadline: r.end,
	}
	class := replica.LatencyClass{Route: r.route.Name, Zone: c.replica.Zone}
	go func() {
		res, took := permit.Send(r.sendCtx, work, c.expected)
		if res.Kind == replica.Complete && res.Reply.Succeeded() {
			r.f.pool.Latencies.Record(class, took)
		}
		r.f.metrics.exchange(res, took)
		r.events <- event{shard: i, id: c.replica.ID, result: res, took: took}
	}()
}

const (
	// hedgeDeviations is the number of mean deviations beyond the usual latency
	// after which an answer is overdue. Less than 3 in 100 answers of an
	// exponential distribution take longer.
	hedgeDeviations = 3
	// minHedgeDelay keeps scheduling delays of this process from causing hedges.
	minHedgeDelay = 5 * time.Millisecond
)

// planHedge sets the time of a hedge for the exchange that was just started.
func (r *run) planHedge(sh *shard, c candidate, list []candidate, at int, now time.Time) {
	sh.hedgeAt = time.Time{}
	if !r.route.Idempotent || sh.sends >= maxSends {
		return
	}
	delay := max(c.expected+hedgeDeviations*c.deviation, c.expected*3/2, minHedgeDelay)
	for n, other := range list {
		if n == at || other.ejected {
			continue
		}
		// The last moment at which the other replica can still answer in time.
		latest := r.cutAt().Sub(now) - other.cost - other.deviation
		delay = min(delay, max(latest, c.expected, minHedgeDelay))
		break
	}
	sh.hedgeAt = now.Add(delay)
}

// allowed returns the candidates that a repeat may go to: those that failed of
// late last, and those that were not tried before the others.
func (r *run) allowed(sh *shard, list []candidate) []candidate {
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

// again plans a repeat after an exchange with a replica failed: at once if there
// is another replica in good health, or after a pause.
func (r *run) again(i int, failed string) {
	sh := &r.shards[i]
	now := time.Now()
	list := r.allowed(sh, r.f.candidates(r.route, sh.service, now))
	if len(list) > 0 && (list[0].ejected || list[0].replica.ID == failed) {
		sh.retryAt = now.Add(rejectWait)
		return
	}
	r.retry(i)
}

// hedge sends a second exchange beside one that is overdue.
func (r *run) hedge(i int, now time.Time) {
	sh := &r.shards[i]
	if sh.live == 0 || sh.sends >= maxSends {
		return
	}
	list := r.allowed(sh, r.f.candidates(r.route, sh.service, now))
	list = slices.DeleteFunc(list, func(c candidate) bool {
		// Another exchange with the same replica helps only if the connection is
		// at fault, which shows after several times the usual latency.
		return c.backend == sh.last && now.Before(r.start.Add(4*c.expected+minHedgeDelay)) || c.ejected
	})
	if cut := r.cutAt(); now.Before(cut) {
		list = slices.DeleteFunc(list, func(c candidate) bool { return now.Add(c.cost).After(cut.Add(deliveryMargin)) })
	}
	if len(list) == 0 {
		return
	}
	if !r.takeBudget(sh) {
		sh.hedgeAt = now.Add(budgetWait)
		return
	}
	for n, c := range list {
		permit, _ := r.acquire(c, now)
		if permit == nil {
			continue
		}
		r.f.metrics.hedges.Inc(1)
		r.logSend("hedge", sh, c, now)
		r.send(i, c, permit, now)
		r.planHedge(sh, c, list, n, now)
		return
	}
	r.f.budget.Return(sh.service)
	sh.hedgeAt = now.Add(busyWait)
}

// retry sends once more after an exchange that failed.
func (r *run) retry(i int) {
	sh := &r.shards[i]
	now := time.Now()
	if sh.sends >= maxSends {
		sh.closed = true
		return
	}
	list := r.allowed(sh, r.f.candidates(r.route, sh.service, now))
	if len(list) == 0 {
		sh.closed = true
		return
	}
	if !r.takeBudget(sh) {
		sh.retryAt = now.Add(budgetWait)
		return
	}
	if c, sent := r.sendToFirst(i, list, now); sent {
		r.f.metrics.retries.Inc(1)
		r.logSend("retry", sh, c, now)
	} else if sh.sends > 0 {
		r.f.budget.Return(sh.service)
	}
}

// takeBudget takes a repeat if the service may have seen the request already.
func (r *run) takeBudget(sh *shard) bool {
	if sh.sends == 0 {
		return true
	}
	if r.f.budget.Take(sh.service) {
		return true
	}
	r.f.metrics.budgetEmpty.Inc(1)
	if !sh.noBudget {
		sh.noBudget = true
		r.logNoBudget(sh)
	}
	return false
}

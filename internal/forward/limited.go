package forward

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/replica"
)

// latestStart is the latest time at which an exchange of a shard may start that waits
// for the rate limit of a replica.
func (r *activeRequest) latestStart(sh *shard) time.Time {
	switch {
	case r.route.IsScatter():
		return r.lateAnswerDeadline()
	case sh.mayHaveRun:
		return r.deadline
	}
	return r.refusalDeadline()
}

// reasonRestricted is why a shard is closed whose replicas have all named a rate limit or
// a pause and admit nothing in time.
const reasonRestricted = "replicas limited or paused"

// nextTry returns when candidates are asked again of which one more has denied a request.
// next is that time without it; zero if it is the first.
func nextTry(next time.Time, d replica.Denial, now time.Time) time.Time {
	at := now.Add(busyDelay)
	if d.Until.After(at) {
		at = d.Until
	}
	if next.IsZero() {
		return at
	}
	return earlier(next, at)
}

// noteLimited records that the rate limit or the pause of a candidate admits nothing
// until a time.
func (sh *shard) noteLimited(c candidate, until time.Time) {
	if sh.limitedBy == nil || until.Before(sh.limitedBy.admitsFrom) {
		c.admitsFrom = until
		sh.limitedBy = &c
	}
}

// closeUnservableShards closes the shards that have no usable replica, or only replicas
// whose rate limits and pauses admit nothing in time. It returns the number of the other shards.
func (r *activeRequest) closeUnservableShards(now time.Time) (servable int) {
	view := r.f.currentView()
	for i := range r.shards {
		sh := &r.shards[i]
		allowed := func(s usableReplica) bool { return r.route.AllowsRegion(s.region) && !s.backend.Retired() }
		unlimited := func(s usableReplica) bool { return allowed(s) && !s.backend.Restricted() }
		if sh.group != nil {
			servable++ // its leaf decides
			continue
		}
		usable := view.service(sh.service).usable
		switch {
		case !slices.ContainsFunc(usable, allowed):
			sh.closed, sh.reason = true, "no replica"
		case slices.ContainsFunc(usable, unlimited):
			servable++
		default:
			list := r.candidates(sh.service, now)
			if !r.allLimited(sh, list) {
				servable++
				continue
			}
			sh.closed, sh.reason = true, reasonRestricted
			for _, c := range list {
				sh.noteLimited(c, c.admitsFrom)
			}
		}
	}
	return servable
}

// allLimited reports whether the rate limits and pauses of all candidates admit nothing
// until after latestStart. It is false without candidates.
func (r *activeRequest) allLimited(sh *shard, list []candidate) bool {
	latest := r.latestStart(sh)
	return len(list) > 0 && !slices.ContainsFunc(list, func(c candidate) bool { return !c.admitsFrom.After(latest) })
}

// refuse refuses the request. If rate limits or pauses are the reason, the caller is told
// to come back when they admit the shards that the answer needs.
func (r *activeRequest) refuse(reason string) Answer {
	delay := RetryAfter(r.route.Objective)
	var limited []*candidate
	open := 0 // shards that need not wait
	for i := range r.shards {
		switch sh := &r.shards[i]; {
		case sh.limitedBy != nil:
			limited = append(limited, sh.limitedBy)
		case !sh.closed:
			open++
		}
	}
	slices.SortFunc(limited, func(a, b *candidate) int { return a.admitsFrom.Compare(b.admitsFrom) })
	needed := requiredShards(len(r.shards), r.route) - open
	if needed < 1 || needed > len(limited) {
		return refusal(reason, delay)
	}
	last := limited[needed-1]
	if why, wait := last.backend.RetryAfter(time.Now(), last.rateShare); wait > 0 {
		return refusal(why, max(delay, wait))
	}
	return refusal(reason, delay) // the time has come meanwhile
}

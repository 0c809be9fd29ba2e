package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// costSpread is the range of the random increase of the cost of overloaded shards,
// as a share of it. It keeps the instances from all choosing the same shards.
const costSpread = 0.5

// overloadedShard is a shard that is expected to answer too late.
type overloadedShard struct {
	index int     // in the shards of the request
	cost  float64 // expected latency in seconds, with a random increase
}

// startShards starts the first exchange of each shard. Overloaded shards are
// deferred as far as the answer can do without them: otherwise every request waits
// in their queues and all answers are late.
func (r *activeRequest) startShards(now time.Time) {
	var overloaded []overloadedShard
	started := 0
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.group != nil {
			started++
			continue
		}
		if sh.closed {
			continue
		}
		list := r.candidates(sh.service, now)
		if r.route.IsScatter() && !r.isPart {
			if latency, late := r.shardLatency(list, now); late {
				overloaded = append(overloaded, overloadedShard{i, latency.Seconds() * (1 + costSpread*rand.Float64())})
				sh.closed, sh.reason = true, "overloaded"
				if !slices.ContainsFunc(list, func(c candidate) bool { return c.admitsFrom.IsZero() }) {
					sh.reason = reasonRestricted
				}
				continue
			}
		}
		started++
		r.startShard(i, list, now)
	}
	slices.SortFunc(overloaded, func(a, b overloadedShard) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range overloaded {
		r.deferred = append(r.deferred, o.index)
	}
	for missing := r.required - started; missing > 0 && r.startDeferredShard(); missing-- {
	}
	r.startGroups(r.groups, now)
}

// shardLatency returns the expected latency of a shard at the least loaded of its
// candidates, and whether that is too late for the objective. Failures and stalls
// are not counted, because they pass quickly.
func (r *activeRequest) shardLatency(list []candidate, now time.Time) (latency time.Duration, late bool) {
	if len(list) == 0 {
		return 0, false // startShard closes the shard
	}
	best := slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.loadedLatency, b.loadedLatency) })
	return best.loadedLatency, best.loadedLatency > r.objectiveDeadline().Sub(now)
}

// startDeferredShard starts the deferred shard with the lowest cost, and reports
// whether there was one.
func (r *activeRequest) startDeferredShard() bool {
	if len(r.deferred) == 0 {
		return false
	}
	i := r.deferred[0]
	r.deferred = r.deferred[1:]
	r.shards[i].closed = false
	now := time.Now()
	r.startShard(i, r.candidates(r.shards[i].service, now), now)
	return true
}

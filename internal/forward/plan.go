package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// choiceSpread is the range of a random factor on the cost of overloaded shards,
// so that the daemons do not all choose the same ones.
const choiceSpread = 0.5

// overloaded is a shard that would be late.
type overloaded struct {
	shard int
	cost  float64 // seconds
}

// plan starts the first exchanges. Shards that are overloaded are left out as
// far as the answer can do without them: otherwise every request waits in their
// queues, and all answers are late.
func (r *run) plan(now time.Time) {
	var late []overloaded
	sure := 0
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.closed {
			continue
		}
		list := r.f.candidates(r.route, sh.service, now)
		if r.route.IsScatter() {
			if cost, over := r.overload(list, now); over {
				late = append(late, overloaded{i, cost.Seconds() * (1 + choiceSpread*rand.Float64())})
				sh.closed, sh.reason = true, "overloaded"
				continue
			}
		}
		sure++
		r.first(i, list, now)
	}
	slices.SortFunc(late, func(a, b overloaded) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range late {
		r.spare = append(r.spare, o.shard)
	}
	for missing := needed(len(r.shards), r.route) - sure; missing > 0 && r.takeSpare(); missing-- {
	}
}

// overload returns the expected latency of a shard with some candidates, and
// whether it would be late at each of them. Failures and stalls don't count: they
// are over soon.
func (r *run) overload(list []candidate, now time.Time) (latency time.Duration, over bool) {
	if len(list) == 0 {
		return 0, false // closed by its first exchange
	}
	best := slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.queued, b.queued) })
	return best.queued, best.queued > r.cutAt().Sub(now)
}

// takeSpare starts the best shard that was left out, and reports whether there
// was one.
func (r *run) takeSpare() bool {
	if len(r.spare) == 0 {
		return false
	}
	i := r.spare[0]
	r.spare = r.spare[1:]
	r.shards[i].closed = false
	now := time.Now()
	r.first(i, r.f.candidates(r.route, r.shards[i].service, now), now)
	return true
}

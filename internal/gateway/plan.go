package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// defaultLatencyMicros is the assumed latency of a target, in microseconds,
// while no holder reports one.
const defaultLatencyMicros = 10_000

// PlanInput is everything that a plan depends on. Writing it as JSON and reading
// it back does not change the plan.
type PlanInput struct {
	RequestID string          `json:"request_id"`
	Search    string          `json:"search"`
	Zone      string          `json:"zone"`
	Now       time.Time       `json:"now"`
	Policy    Policy          `json:"policy"`
	Excluded  []string        `json:"excluded,omitempty"`
	Snapshot  *state.Snapshot `json:"snapshot"`
	Observed  Observed        `json:"observed"`
	// Routes are the holders of the targets of the search.
	Routes map[string]string `json:"routes"`

	view *view
}

// Plan is one index snapshot and, for each of its shards, the replicas to try.
type Plan struct {
	Snapshot string      `json:"snapshot"`
	Shards   []ShardPlan `json:"shards"`
	// Reason is set when there is nothing to send.
	Reason outcome.Reason `json:"reason,omitempty"`
}

// ShardPlan lists the replicas of one shard, the preferred one first.
type ShardPlan struct {
	Shard    string   `json:"shard"`
	Service  string   `json:"service"`
	Replicas []Choice `json:"replicas"`
}

// Choice is one replica with the properties by which it is ordered.
type Choice struct {
	Target   string `json:"target"`
	Instance string `json:"instance"`
	// Tier is 2 for an ejected replica, 1 for a cold one at its limit and 0 for
	// all others.
	Tier int `json:"tier"`
	// CostMicros is the expected time to an answer in microseconds.
	CostMicros int64 `json:"cost_micros"`
	// Backlogged is set if more requests are queued than the target has slots.
	Backlogged bool `json:"backlogged,omitempty"`
}

// MakePlan chooses the index snapshot and the order of the replicas of each
// shard. It is a pure function.
func MakePlan(in PlanInput) Plan {
	v := in.view
	if v == nil {
		v = newView(in.Snapshot, func(_ *state.Snapshot, target string) string { return in.Routes[target] })
	}
	index, ok := chooseIndex(in, v)
	if !ok {
		return Plan{Reason: outcome.ReasonNoReplica}
	}
	p := planner{in: in, view: v, index: index.ID, firstChoices: map[string]int{}}
	plan := Plan{Snapshot: index.ID, Shards: make([]ShardPlan, 0, len(index.Shards))}
	for i, shard := range index.Shards {
		sp := ShardPlan{Shard: shard.ID, Service: shard.Service, Replicas: p.orderReplicas(shard, i)}
		if len(sp.Replicas) > 0 {
			p.firstChoices[sp.Replicas[0].Target]++
		}
		plan.Shards = append(plan.Shards, sp)
	}
	return plan
}

// chooseIndex returns the newest index snapshot of which every shard has a
// replica that may have it, or else the one with the fewest shards without such
// a replica. It skips empty and excluded index snapshots.
func chooseIndex(in PlanInput, v *view) (state.IndexSnapshot, bool) {
	all := in.Snapshot.ShardMaps[in.Search].Snapshots
	best, bestMissing := -1, 0
	for i := len(all) - 1; i >= 0; i-- {
		if len(all[i].Shards) == 0 || slices.Contains(in.Excluded, all[i].ID) {
			continue
		}
		missing := 0
		for _, shard := range all[i].Shards {
			if !slices.ContainsFunc(v.byService[shard.Service], func(r replica) bool { return in.mayHaveIndex(r, all[i].ID) }) {
				missing++
			}
		}
		if best < 0 || missing < bestMissing {
			best, bestMissing = i, missing
		}
		if missing == 0 {
			break
		}
	}
	if best < 0 {
		return state.IndexSnapshot{}, false
	}
	return all[best], true
}

// mayHaveIndex reports whether a replica is not known to lack an index snapshot.
func (in *PlanInput) mayHaveIndex(r replica, index string) bool {
	return !slices.Contains(in.Observed.Targets[r.target.Name].MissingSnapshots, index)
}

// planner orders the replicas of the shards of one plan. firstChoices counts, by
// target, the shards planned so far that prefer it, so that the shards of one
// service spread over its replicas.
type planner struct {
	in           PlanInput
	view         *view
	index        string
	firstChoices map[string]int
}

// orderReplicas returns the replicas of a shard, the preferred one first: by
// tier, cost and name, or by tier and round-robin. If more than two replicas
// share the best tier, the cheaper of two that a hash of the request ID and the
// shard selects comes first.
func (p *planner) orderReplicas(shard state.Shard, position int) []Choice {
	replicas := p.view.byService[shard.Service]
	choices := make([]Choice, 0, len(replicas))
	for _, r := range replicas {
		if p.in.mayHaveIndex(r, p.index) {
			choices = append(choices, p.makeChoice(r))
		}
	}
	if p.in.Policy.ReplicaChoice == ChooseRoundRobin {
		if len(choices) > 0 {
			rotate(choices, int((p.in.Observed.RoundRobinPosition+uint64(position))%uint64(len(choices))))
		}
		slices.SortStableFunc(choices, func(a, b Choice) int { return a.Tier - b.Tier })
		return withoutEjected(choices)
	}
	slices.SortFunc(choices, func(a, b Choice) int {
		return cmp.Or(a.Tier-b.Tier, cmp.Compare(a.CostMicros, b.CostMicros), cmp.Compare(a.Target, b.Target))
	})
	choices = withoutEjected(choices)
	best := 0 // number of replicas of the best tier
	for best < len(choices) && choices[best].Tier == choices[0].Tier {
		best++
	}
	if best > 2 {
		h := xxhash.Sum64String(p.in.RequestID + "/" + shard.ID)
		first := int(h % uint64(best))
		second := int((h >> 32) % uint64(best-1))
		if second >= first {
			second++
		}
		pick := min(first, second) // the choices are ordered by cost
		chosen := choices[pick]
		copy(choices[1:pick+1], choices[:pick])
		choices[0] = chosen
	}
	return choices
}

// withoutEjected removes the ejected replicas from the end of an ordered list,
// unless there are no others.
func withoutEjected(c []Choice) []Choice {
	n := slices.IndexFunc(c, func(c Choice) bool { return c.Tier == 2 })
	if n > 0 {
		return c[:n]
	}
	return c
}

func rotate(c []Choice, n int) {
	slices.Reverse(c[:n])
	slices.Reverse(c[n:])
	slices.Reverse(c)
}

// roundTrip returns the round trip to the holder. While no heartbeat has
// measured it, ZoneDelay is assumed for another zone and zero for the own one.
func (p *planner) roundTrip(r replica) time.Duration {
	if d, ok := p.in.Observed.RoundTrips[r.instance]; ok {
		return d
	}
	if r.target.Zone != p.in.Zone {
		return p.in.Policy.ZoneDelay
	}
	return 0
}

// makeChoice rates a replica. Its cost is the expected time to an answer: the
// latency that the holder reports, the round trip to the holder, and the wait
// behind the requests that exceed the target's limit. A cold replica that is to
// be explored costs nothing, so that it comes first.
func (p *planner) makeChoice(r replica) Choice {
	obs := p.in.Observed.Targets[r.target.Name]
	load, known := p.in.Snapshot.Loads[r.target.Name]
	if obs.Load != nil {
		load, known = *obs.Load, true
	}
	if !known || load.Incarnation != r.target.Incarnation {
		load = state.Load{Phase: state.PhaseCold, Limit: r.coldLimit}
	}
	limit := max(load.Limit, 1)
	// The reported load lags; this entry's requests in flight are a lower bound.
	ahead := max(load.InFlight+load.Queued, obs.InFlight) + p.firstChoices[r.target.Name]
	service := cmp.Or(load.LatencyMicros, defaultLatencyMicros)
	waiting := int64(max(ahead+1-limit, 0))
	c := Choice{
		Target: r.target.Name, Instance: r.instance,
		CostMicros: service + p.roundTrip(r).Microseconds() + waiting*service/int64(limit),
		Backlogged: load.Queued > r.slots,
	}
	switch load.Phase {
	case state.PhaseEjected:
		c.Tier = 2
	case state.PhaseCold, state.PhaseWarming:
		switch {
		case ahead >= limit:
			c.Tier = 1
		case obs.Explore:
			c.CostMicros = 0
		}
	}
	return c
}

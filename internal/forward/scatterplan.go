package forward

import (
	"cmp"
	"slices"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/policy"
)

// scatterPlan divides the shards of a route into those that this instance sends to
// itself and groups for which it asks leaves. It is immutable.
type scatterPlan struct {
	groups []plannedGroup
	// groupOf is the index of the group of each shard; -1 if this instance sends.
	groupOf []int
}

// plannedGroup is a group of shards for which members of one bucket in a zone are asked.
type plannedGroup struct {
	shards []int // indexes in the route
	zone   string
	// leaves are the instances to ask, in order of preference.
	leaves []policy.Instance
}

// plan returns the plan of a route.
func (v *view) plan(route *catalog.Route) *scatterPlan {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.plans[route]
	if p == nil {
		p = v.newPlan(route)
		v.plans[route] = p
	}
	return p
}

// newPlan groups the shards that only members send to, unless this instance is one and has
// a replica in its region.
func (v *view) newPlan(route *catalog.Route) *scatterPlan {
	p := &scatterPlan{groupOf: make([]int, len(route.Shards))}
	var delegated []int
	for i, name := range route.Shards {
		p.groupOf[i] = -1
		if s := v.services[name]; s != nil && s.senders.members != nil && len(s.listed) > 0 && !s.isNear(route) {
			delegated = append(delegated, i)
		}
	}
	p.groups = v.groupShards(route, delegated, nil)
	for n, g := range p.groups {
		for _, i := range g.shards {
			p.groupOf[i] = n
		}
	}
	return p
}

// isNear reports whether this instance sends to a replica of the service that is in its
// region.
func (s *serviceView) isNear(route *catalog.Route) bool {
	return slices.ContainsFunc(s.usable, func(u usableReplica) bool { return u.distance < 2 && route.AllowsRegion(u.region) })
}

// groupShards divides shards of a route into groups by the zone and the bucket in which
// members are asked. Zones in without are left out; shards that have no other zone, or no
// member to ask, are in no group.
func (v *view) groupShards(route *catalog.Route, shards []int, without []string) (groups []plannedGroup) {
	zones := make([][]policy.ReplicaZone, len(shards))
	for n, i := range shards {
		s := v.services[route.Shards[i]]
		if s == nil {
			continue // a later configuration no longer has it
		}
		for _, at := range s.listed {
			if route.AllowsRegion(at.region) && !slices.Contains(without, at.zone) {
				zones[n] = append(zones[n], policy.ReplicaZone{Zone: at.zone, Distance: at.distance})
			}
		}
	}
	type key struct {
		zone   string
		bucket int
	}
	byKey := map[key][]int{}
	for n, zone := range policy.AssignZones(v.options.Shares.Self, zones) {
		if zone != "" {
			k := key{zone, policy.Bucket(route.Shards[shards[n]], v.buckets)}
			byKey[k] = append(byKey[k], shards[n])
		}
	}
	for k, list := range byKey {
		if leaves := v.leaves(route, k.zone, k.bucket, route.Shards[list[0]]); len(leaves) > 0 {
			groups = append(groups, plannedGroup{list, k.zone, leaves})
		}
	}
	slices.SortFunc(groups, func(a, b plannedGroup) int { return cmp.Compare(a.shards[0], b.shards[0]) })
	return groups
}

// leaves returns the instances that this one asks for shards of a bucket in a zone, of
// which service is one.
func (v *view) leaves(route *catalog.Route, zone string, bucket int, service string) []policy.Instance {
	self, regions := v.options.Shares.Self, v.options.Location.Regions
	count := policy.MemberCount(v.options.Shares.usableConnections(v.snap, service), len(replicaZones(v.snap, service)))
	members := v.fleet.Members(bucket, zone, regions[zone], count)
	members = slices.DeleteFunc(members, func(m policy.Instance) bool { return m.Name == self || !route.AllowsRegion(m.Region) })
	policy.Prefer(self, members)
	return members
}

// joinCalls joins groups whose next leaf is the same one, and that were first asked in the
// same zone, into calls, as far as a leaf bears it.
func joinCalls(groups []*shardGroup) (calls [][]*shardGroup) {
	slices.SortStableFunc(groups, func(a, b *shardGroup) int {
		return cmp.Or(cmp.Compare(a.next.Name, b.next.Name), cmp.Compare(a.zones[0], b.zones[0]))
	})
	size := 0
	for _, g := range groups {
		open := len(g.open())
		if last := len(calls) - 1; last >= 0 && calls[last][0].next.Name == g.next.Name && calls[last][0].zones[0] == g.zones[0] && policy.JoinsCall(size+open, g.next) {
			calls[last], size = append(calls[last], g), size+open
			continue
		}
		calls, size = append(calls, []*shardGroup{g}), open
	}
	return calls
}

// noRoute is the route of requests to a leaf that name no shards.
var noRoute = &catalog.Route{}

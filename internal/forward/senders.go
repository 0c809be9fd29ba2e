package forward

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/policy"
)

// senders are the instances that send to the replicas of a service, as each instance
// computes them from the list of instances.
type senders struct {
	// members are the sorted names of the senders; nil if all instances may send.
	members []string
	// self is the place of this instance in members; -1 if it is not one.
	self int
	// count is the number of senders.
	count int
	// outsider is set if this instance sends although it is not a sender.
	outsider bool
}

// memberships finds the senders of services. The members of a bucket are the same for
// all its shards.
type memberships struct {
	view    *view
	members map[memberKey][]policy.Instance
}

type memberKey struct {
	bucket int
	zone   string
	count  int
}

func newMemberships(v *view) *memberships {
	return &memberships{view: v, members: map[memberKey][]policy.Instance{}}
}

// inZone returns the members of a bucket that serve it from a zone.
func (m *memberships) inZone(bucket int, zone string, count int) []policy.Instance {
	key := memberKey{bucket, zone, count}
	list, known := m.members[key]
	if !known {
		list = m.view.fleet.Members(bucket, zone, m.view.options.Location.Regions[zone], count)
		m.members[key] = list
	}
	return list
}

// of returns the senders of a service, which route uses.
func (m *memberships) of(service string, route *catalog.Route) senders {
	v := m.view
	all := senders{count: instanceCount(v.snap), self: -1}
	connections := v.options.Shares.usableConnections(v.snap, service)
	if !route.IsScatter() || policy.AllSend(connections, all.count) || v.fleet.Size() == 0 {
		return all
	}
	zones := replicaZones(v.snap, service)
	by := senders{members: []string{}}
	for _, zone := range zones {
		for _, member := range m.inZone(policy.Bucket(service, v.buckets), zone, policy.MemberCount(connections, len(zones))) {
			by.members = append(by.members, member.Name)
		}
	}
	slices.Sort(by.members)
	by.members = slices.Compact(by.members)
	by.count = max(len(by.members), 1)
	by.self = slices.Index(by.members, v.options.Shares.Self)
	return by
}

// replicaZones returns the sorted zones of the listed replicas of a service.
func replicaZones(snap *catalog.Snapshot, service string) []string {
	var zones []string
	for _, r := range snap.Replicas(service) {
		zones = append(zones, r.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// fleetOf returns the listed instances with where they run.
func fleetOf(snap *catalog.Snapshot, location Location) *policy.Fleet {
	list := make([]policy.Instance, 0, len(snap.InstanceNames))
	for _, name := range snap.InstanceNames {
		in := snap.Instances[name]
		if in.Address == "" {
			continue // it has not registered an address yet
		}
		list = append(list, policy.Instance{Name: name, Zone: in.Zone, Region: location.Regions[in.Zone], Capacity: in.Capacity})
	}
	return policy.NewFleet(list)
}

// number returns the number of instances that send to a replica: the senders, or as many
// of them as it has connections for.
func (by senders) number(v *view, r catalog.Replica) int {
	return min(by.count, v.options.Shares.usableConnections(v.snap, r.Service))
}

// rank returns the number of senders that come before this instance for a replica.
func (by senders) rank(v *view, r catalog.Replica) int {
	switch {
	case by.members == nil:
		return v.ranks.countBefore(r.ID)
	case by.self < 0:
		return by.count
	}
	return (by.self + int(by.first(r))) % by.count
}

// order returns the names of the senders in the order of their ranks for a replica.
func (by senders) order(v *view, r catalog.Replica) []string {
	if by.members == nil {
		return v.ranks.order(r.ID, v.snap.InstanceNames)
	}
	names := make([]string, len(by.members))
	for i, name := range by.members {
		names[(i+int(by.first(r)))%by.count] = name
	}
	return names
}

// first is the rank of the first member for a replica.
func (by senders) first(r catalog.Replica) uint64 {
	return xxhash.Sum64String(r.ID) % uint64(by.count)
}

// Package policy holds the decisions of the request path: where a request is placed,
// how long it waits, and when it is turned away. Its functions depend on their arguments
// only: they use no network, clock, log or random source, so that a load can be replayed
// against them.
package policy

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is one instance of the fleet.
type Instance struct {
	Name, Zone, Region string
	// Capacity is the processor time that the instance has, in cores; 0 if unknown.
	Capacity float64
}

const (
	// defaultCapacity is assumed for instances that state none, in cores.
	defaultCapacity = 0.2
	// maxCapacity keeps one odd entry from taking the load of all instances.
	maxCapacity = 64
)

// capacityExponent is the power of the capacity by which instances are weighted. Above 1,
// because a query waits for the slowest of its leaves, so that large instances are worth
// more than their share.
const capacityExponent = 2

// Fleet is an immutable set of instances. All instances compute the same placement from
// the same set, without a message.
type Fleet struct {
	instances []Instance
	hashes    []uint64
	weights   []float64
	byZone    map[string][]int
	byRegion  map[string][]int
	all       []int
}

// NewFleet returns the fleet of instances, which it keeps.
func NewFleet(instances []Instance) *Fleet {
	f := &Fleet{
		instances: instances, hashes: make([]uint64, len(instances)), weights: make([]float64, len(instances)),
		byZone: map[string][]int{}, byRegion: map[string][]int{},
	}
	for i, in := range instances {
		f.hashes[i], f.weights[i] = xxhash.Sum64String(in.Name), math.Pow(in.capacity(), capacityExponent)
		f.byZone[in.Zone] = append(f.byZone[in.Zone], i)
		f.byRegion[in.Region] = append(f.byRegion[in.Region], i)
		f.all = append(f.all, i)
	}
	return f
}

// capacity returns the capacity that counts, which is positive and bounded.
func (in Instance) capacity() float64 {
	if !(in.Capacity > 0) { // also if it is not a number
		return defaultCapacity
	}
	return min(in.Capacity, maxCapacity)
}

// Size returns the number of instances.
func (f *Fleet) Size() int { return len(f.instances) }

// near returns the instances of a zone, or those of its region if the zone has none, or
// all if the region has none either.
func (f *Fleet) near(zone, region string) []int {
	if list := f.byZone[zone]; len(list) > 0 {
		return list
	}
	if list := f.byRegion[region]; len(list) > 0 {
		return list
	}
	return f.all
}

// Members returns the instances that serve a bucket of shards from a zone: the first n,
// by weighted rendezvous hashing, of those near the zone. An instance that joins or
// leaves changes the members of a bucket by one at most.
func (f *Fleet) Members(bucket int, zone, region string, n int) []Instance {
	key := Mix(xxhash.Sum64String(zone) ^ uint64(bucket))
	ordered := f.order(f.near(zone, region), key)
	members := make([]Instance, 0, n)
	for _, i := range ordered[:min(n, len(ordered))] {
		members = append(members, f.instances[i])
	}
	return members
}

// Prefer sorts members in the order in which the instance self asks them. The order
// differs from instance to instance, so that members get shares of the load according to
// their weights. It is the same for all buckets, so that an instance that is a member of
// several is asked for all of them at once, and stable, so that connections are used often.
func Prefer(self string, members []Instance) {
	f := NewFleet(members)
	ordered := f.order(f.all, Mix(xxhash.Sum64String(self)))
	sorted := make([]Instance, len(members))
	for n, i := range ordered {
		sorted[n] = members[i]
	}
	copy(members, sorted)
}

// order returns instances in the order of weighted rendezvous hashing for a key.
func (f *Fleet) order(list []int, key uint64) []int {
	type scored struct {
		index int
		score float64
	}
	scores := make([]scored, len(list))
	for n, i := range list {
		// u is uniform in (0, 1]; the score is exponential with the weight as its rate.
		u := (float64(Mix(f.hashes[i]^key)>>11) + 1) / (1 << 53)
		scores[n] = scored{i, -math.Log(u) / f.weights[i]}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	ordered := make([]int, len(scores))
	for n, s := range scores {
		ordered[n] = s.index
	}
	return ordered
}

// Mix is the finalizer of SplitMix64: a change of one bit of x changes on average
// half of the bits of the result.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// fleetOf returns instances in zones z0 to z5 of regions r0 to r2, of which one in ten is
// large.
func fleetOf(n int) []Instance {
	var list []Instance
	for i := range n {
		in := Instance{Name: fmt.Sprintf("front-%d", i), Zone: fmt.Sprintf("z%d", i%6), Region: fmt.Sprintf("r%d", i%3), Capacity: 0.192}
		if i/6%10 == 0 {
			in.Capacity = 0.8
		}
		list = append(list, in)
	}
	return list
}

// An instance that joins or leaves must not move more shards than it has or gets: each
// move costs connections, and leaves that know little of their replicas.
func TestMembersMoveLittle(t *testing.T) {
	const buckets, count = 8, 4
	before := NewFleet(fleetOf(195))
	after := NewFleet(slices.DeleteFunc(fleetOf(195), func(in Instance) bool { return in.Name == "front-6" }))
	moved := 0
	for b := range buckets {
		old, now := before.Members(b, "z0", "r0", count), after.Members(b, "z0", "r0", count)
		lost := 0
		for _, m := range old {
			if !slices.Contains(now, m) {
				lost++
				if m.Name != "front-6" {
					t.Errorf("bucket %d lost %s, which is still there", b, m.Name)
				}
			}
		}
		moved += lost
	}
	if moved > buckets {
		t.Errorf("%d members changed", moved)
	}
}

// Guards against members outside of the zone although it has instances, against too few
// of them, and against a zone without instances that nobody serves.
func TestMembersAreInTheZone(t *testing.T) {
	f := NewFleet(fleetOf(195))
	for _, m := range f.Members(0, "z4", "r1", 4) {
		if m.Zone != "z4" {
			t.Errorf("%s in %s serves z4", m.Name, m.Zone)
		}
	}
	if members := f.Members(0, "empty", "r1", 4); len(members) != 4 || members[0].Region != "r1" {
		t.Errorf("%v serve a zone without instances", members)
	}
	if members := f.Members(0, "empty", "none", 4); len(members) != 4 {
		t.Errorf("%v serve a region without instances", members)
	}
	if members := NewFleet(nil).Members(0, "z0", "r0", 4); len(members) != 0 {
		t.Errorf("%v of no instances", members)
	}
}

// An entry with an odd capacity must not take all load, nor stop the placement.
func TestOddCapacities(t *testing.T) {
	list := fleetOf(60)
	list[0].Capacity, list[6].Capacity, list[12].Capacity, list[18].Capacity = math.Inf(1), math.NaN(), -1, 0
	f := NewFleet(list)
	counts := map[string]int{}
	for b := range 200 {
		for _, m := range f.Members(b, "z0", "r0", 4) {
			counts[m.Name]++
		}
	}
	if len(counts) < 5 {
		t.Errorf("%v of 10 instances are members", counts)
	}
}

// The load of a bucket has to follow the capacities of its members, and each instance has
// to ask in the same order for all buckets, so that calls can be joined.
func TestPreferSpreadsByCapacity(t *testing.T) {
	members := []Instance{{Name: "small", Capacity: 0.2}, {Name: "large", Capacity: 0.8}}
	first := map[string]int{}
	for i := range 1000 {
		list := slices.Clone(members)
		Prefer(fmt.Sprintf("entry-%d", i), list)
		first[list[0].Name]++
	}
	if first["large"] < 900 || first["small"] == 0 {
		t.Errorf("asked first: %v", first)
	}
}

// Guards against a shard that is asked in a far zone although a near one has a replica,
// against far shards that are spread over more zones than needed, and against all
// instances choosing the same far zones.
func TestAssignZones(t *testing.T) {
	var shards [][]ReplicaZone
	for i := range 60 {
		a, b := i%6, (i+2)%6
		distance := func(z int) int {
			switch {
			case z == 0:
				return 0
			case z%3 == 0:
				return 1
			}
			return 2
		}
		shards = append(shards, []ReplicaZone{{fmt.Sprintf("z%d", a), distance(a)}, {fmt.Sprintf("z%d", b), distance(b)}})
	}
	shards = append(shards, nil)
	far := map[string]int{}
	for n := range 50 {
		zones := AssignZones(fmt.Sprintf("entry-%d", n), shards)
		farZones := map[string]bool{}
		for i, zone := range zones[:60] {
			nearest := slices.MinFunc(shards[i], func(a, b ReplicaZone) int { return a.Distance - b.Distance })
			if nearest.Distance < 2 && zone != nearest.Zone {
				t.Fatalf("shard %d is asked in %s, %s is nearer", i, zone, nearest.Zone)
			}
			if nearest.Distance == 2 {
				farZones[zone] = true
				far[zone]++
			}
		}
		if zones[60] != "" {
			t.Errorf("a shard without replicas is asked in %q", zones[60])
		}
		if len(farZones) > 3 {
			t.Errorf("far shards are asked in %d zones", len(farZones))
		}
	}
	for zone, n := range far {
		if n > 50*20*3/4 {
			t.Errorf("%d of %d far shards are asked in %s", n, 50*20, zone)
		}
	}
}

// Guards against buckets that depend on how many replicas happen to be listed, and against
// uneven ones.
func TestBuckets(t *testing.T) {
	if full, less := BucketCount(87, 174, 6), BucketCount(87, 150, 6); full != less || full < 2 {
		t.Errorf("%d buckets, %d when replicas are missing", full, less)
	}
	if n := BucketCount(0, 0, 0); n != 1 {
		t.Errorf("%d buckets of nothing", n)
	}
	counts := map[int]int{}
	for i := range 1000 {
		counts[Bucket(fmt.Sprintf("shard~%d", i), 5)]++
	}
	for b := range 5 {
		if counts[b] < 150 || counts[b] > 250 {
			t.Errorf("bucket %d has %d of 1000 shards", b, counts[b])
		}
	}
}

// Guards against an answer with a shard twice, and against the choice of a small reply
// that excludes a large one.
func TestDisjoint(t *testing.T) {
	for _, c := range []struct {
		sets [][]int
		want []int
	}{
		{nil, nil},
		{[][]int{{}, {1}}, []int{1}},
		{[][]int{{1, 2}, {3}, {4, 5}}, []int{0, 1, 2}},
		{[][]int{{3}, {1, 2, 3}, {4}}, []int{1, 2}},
		{[][]int{{1, 2}, {2, 3}}, []int{0}},
	} {
		if got := Disjoint(c.sets); !slices.Equal(got, c.want) {
			t.Errorf("%v of %v, want %v", got, c.sets, c.want)
		}
	}
}

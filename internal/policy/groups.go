package policy

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A query over many shards on small instances, whose replicas accept fewer connections
// than there are instances: each shard is in one bucket, and a few instances near its
// replicas, the members of the bucket, hold the connections. The instance that takes the
// query from the caller (the entry) asks one member of each bucket (the leaf). A leaf
// sends to its replicas, merges what they answer and returns it.

const (
	// exchangeTime and callTime are rough processor times, in seconds of one core, of an
	// exchange with a replica and of a call to a leaf. Their ratio decides how many buckets
	// there are.
	exchangeTime = 130e-6
	callTime     = 260e-6
	// membersPerZone is how many instances serve a bucket from one zone, so that the
	// loss of all but one is borne.
	membersPerZone = 4
	// connectionsPerMember is how many connections to a replica a member should have.
	connectionsPerMember = 4
	// minConnectionsEach is the number of connections to a replica that every instance
	// must be able to have for all of them to send to it.
	minConnectionsEach = 2
	// maxLeafTime bounds the processor time that one call takes at its leaf, in seconds.
	// Calls to one leaf are joined up to it.
	maxLeafTime = 6e-3
)

// BucketCount returns into how many buckets the shards with replicas in one zone are
// divided: as many as make the sum of the times at the entry and at a leaf small. shards
// and replicas are their numbers in all zones together.
func BucketCount(shards, replicas, zones int) int {
	if shards == 0 || zones == 0 {
		return 1
	}
	// Rounded, so that replicas that come and go do not change the buckets.
	copies := max(math.Round(float64(replicas)/float64(shards)), 1)
	inZone := float64(shards) * copies / float64(zones)
	return max(int(math.Round(math.Sqrt(inZone*exchangeTime/callTime))), 1)
}

// Bucket returns the bucket of a shard. Shards that are added or removed do not move the
// others.
func Bucket(shard string, buckets int) int {
	hash, best, bucket := xxhash.Sum64String(shard), uint64(0), 0
	for b := range buckets {
		if score := Mix(hash ^ Mix(uint64(b)+1)); score >= best {
			best, bucket = score, b
		}
	}
	return bucket
}

// AllSend reports whether every instance sends to the replicas of a shard itself, because
// these accept enough connections. Otherwise only members send.
func AllSend(connections, instances int) bool {
	return connections >= minConnectionsEach*instances
}

// MemberCount returns how many members a bucket has in each zone with replicas, if a
// replica accepts a number of connections.
func MemberCount(connections, zones int) int {
	return min(max(connections/(connectionsPerMember*max(zones, 1)), 1), membersPerZone)
}

// JoinsCall reports whether a call to a leaf may be extended to a number of shards.
func JoinsCall(shards int, leaf Instance) bool {
	return float64(shards)*exchangeTime <= maxLeafTime*leaf.capacity()
}

// ReplicaZone is a zone with a replica of a shard, as seen by an instance.
type ReplicaZone struct {
	Zone string
	// Distance is 0 for the instance's own zone, 1 for its own region and 2 for others.
	Distance int
}

// AssignZones chooses, for each shard, the zone of the replica that the instance self has
// asked: one of the nearest. Of those at the same distance, it chooses such that few zones
// are asked, because each takes a call. Its choice among zones that are as good differs
// from instance to instance, which spreads the load. A shard without zones gets "".
func AssignZones(self string, shards [][]ReplicaZone) []string {
	assigned := make([]string, len(shards))
	nearest := make([][]string, len(shards))
	asked := map[string]bool{}
	for i, zones := range shards {
		nearest[i] = nearestZones(zones)
		if len(nearest[i]) == 1 {
			assigned[i] = nearest[i][0]
			asked[assigned[i]] = true
		}
	}
	assign := func(zone string) {
		for i := range shards {
			if assigned[i] == "" && slices.Contains(nearest[i], zone) {
				assigned[i] = zone
			}
		}
	}
	for {
		counts := map[string]int{}
		for i := range shards {
			if assigned[i] == "" {
				for _, zone := range nearest[i] {
					counts[zone]++
				}
			}
		}
		if len(counts) == 0 {
			return assigned
		}
		best, bestScore := "", 0.0
		for zone, n := range counts {
			preference := 0.5 + float64(Mix(xxhash.Sum64String(self)^xxhash.Sum64String(zone))>>11)/(1<<53)
			if asked[zone] {
				preference += 1
			}
			if score := float64(n) * preference; score > bestScore || score == bestScore && zone < best {
				best, bestScore = zone, score
			}
		}
		asked[best] = true
		assign(best)
	}
}

func nearestZones(zones []ReplicaZone) (names []string) {
	least := math.MaxInt
	for _, z := range zones {
		least = min(least, z.Distance)
	}
	for _, z := range zones {
		if z.Distance == least && !slices.Contains(names, z.Zone) {
			names = append(names, z.Zone)
		}
	}
	return names
}

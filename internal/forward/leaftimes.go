package forward

import (
	"time"

	"github.com/baobabsill/baobabsill/internal/policy"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// leafClass is the class of the times of calls to leaves in a zone.
func (r *activeRequest) leafClass(leaf policy.Instance) replica.LatencyClass {
	return replica.LatencyClass{Route: "gather " + r.route.Name, Zone: leaf.Zone}
}

// leafOverheadClass is the class of the parts of these times that are not the leaf's.
func leafOverheadClass(leaf policy.Instance) replica.LatencyClass {
	return replica.LatencyClass{Route: "gather overhead", Zone: leaf.Zone}
}

// usualLeafTime returns the usual time of a call to a leaf and its mean deviation.
func (r *activeRequest) usualLeafTime(leaf policy.Instance) (mean, deviation time.Duration) {
	mean, deviation, measured := r.f.pool.Latencies.Usual(r.leafClass(leaf))
	if !measured {
		mean = r.assumedLeafTime(leaf)
		deviation = mean / 2
	}
	return mean, deviation
}

// leafOverhead returns by how much earlier than needed a leaf has to answer.
func (r *activeRequest) leafOverhead(leaf policy.Instance) time.Duration {
	mean, deviation, measured := r.f.pool.Latencies.Usual(leafOverheadClass(leaf))
	if !measured {
		return r.assumedLeafTime(leaf)
	}
	return mean + 2*deviation
}

func (r *activeRequest) assumedLeafTime(leaf policy.Instance) time.Duration {
	distance := r.f.options.Load().Location.distance(leaf.Zone)
	return time.Duration(assumedLatencyShare[distance] * float64(r.route.Objective))
}

// recordLeafTimes records the times of an exchange with a leaf; the whole time only if it
// brought all shards.
func (r *activeRequest) recordLeafTimes(reply *leafReply) {
	took := time.Since(reply.started)
	r.f.pool.Latencies.Record(leafOverheadClass(reply.call.leaf), max(took-reply.Took, 0))
	if len(reply.Answered) == len(reply.call.shards) {
		r.f.pool.Latencies.Record(r.leafClass(reply.call.leaf), took)
	}
}

package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Place is where this daemon runs.
type Place struct {
	Zone, Region string
	// Regions maps zones to regions.
	Regions map[string]string
}

// distance returns 0 for a replica in the same zone, 1 for the same region and
// 2 for another region.
func (p Place) distance(zone string) int {
	switch {
	case zone == p.Zone:
		return 0
	case p.Regions[zone] == p.Region:
		return 1
	}
	return 2
}

// priorLatency is the share of a route's objective that is assumed as latency,
// by distance, until exchanges have been measured.
var priorLatency = [3]float64{0.1, 0.15, 0.3}

// candidate is a replica that a request may be sent to.
type candidate struct {
	replica catalog.Replica
	backend *replica.Backend
	// expected is the usual latency, deviation its mean deviation.
	expected, deviation time.Duration
	coldLimit           int
	// cost is the expected latency with what is known of the replica; queued is
	// that without the cost of failures and stalls.
	cost, queued time.Duration
	ejected      bool
}

// candidates returns the replicas of a service that may get a request, the best
// one first.
func (f *Forwarder) candidates(route *catalog.Route, service string, now time.Time) []candidate {
	sendable := f.current().services[service]
	list := make([]candidate, 0, len(sendable))
	for _, s := range sendable {
		r := s.replica
		if !route.AllowsRegion(s.region) || s.backend.Moved() {
			continue
		}
		c := candidate{replica: r, backend: s.backend, coldLimit: s.coldLimit}
		class := replica.LatencyClass{Route: route.Name, Zone: r.Zone}
		var ok bool
		if c.expected, c.deviation, ok = f.pool.Latencies.Usual(class); !ok {
			c.expected = time.Duration(priorLatency[s.distance] * float64(route.Objective))
			c.deviation = c.expected / 2
		}
		cost, queued := c.backend.Cost(now)
		c.cost, c.queued = time.Duration(cost*float64(c.expected)), time.Duration(queued*float64(c.expected))
		c.ejected = c.backend.Ejected(now)
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.ejected != b.ejected {
			return compareBool(a.ejected, b.ejected)
		}
		return cmp.Compare(a.cost, b.cost)
	})
	return list
}

// Prepare opens connections to all replicas that requests may go to, so that the
// first requests after a start, or after a change of shards, need not wait for
// them.
func (f *Forwarder) Prepare() {
	now := time.Now()
	for _, list := range f.current().services {
		for _, s := range list {
			s.backend.Warm(now)
		}
	}
}

// KeepWarm opens connections to the replicas that the next requests will go to,
// where the replica has closed the idle ones.
func (f *Forwarder) KeepWarm() {
	config := f.store.Load().Config
	if config == nil {
		return
	}
	now := time.Now()
	for service, route := range config.Users() {
		if list := f.candidates(route, service, now); len(list) > 0 {
			list[0].backend.Warm(now)
		}
	}
}

// pickPart returns the service of a split for the n-th request. The golden
// ratio spreads any run of requests evenly over the weights.
func pickPart(parts []catalog.WeightedService, n uint64) string {
	const golden = 0.6180339887498949
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	point := float64(n) * golden
	point = (point - float64(uint64(point))) * total
	for _, p := range parts {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return parts[len(parts)-1].Service
}

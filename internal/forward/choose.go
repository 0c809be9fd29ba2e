package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// Location is where this instance runs.
type Location struct {
	Zone, Region string
	// Regions maps zones to regions.
	Regions map[string]string
}

// distance returns 0 for a replica in the same zone, 1 for the same region and
// 2 for another region.
func (p Location) distance(zone string) int {
	switch {
	case zone == p.Zone:
		return 0
	case p.Regions[zone] == p.Region:
		return 1
	}
	return 2
}

// assumedLatencyShare is the latency assumed until exchanges have been
// measured, as a share of the route's objective. It is indexed by distance.
var assumedLatencyShare = [3]float64{0.1, 0.15, 0.3}

// candidate is a replica that a request may be sent to, with what is known of its
// latency and health at the time of the choice.
type candidate struct {
	replica catalog.Replica
	backend *replica.Backend
	// expected is the mean latency of the route and zone, deviation its mean
	// deviation.
	expected, deviation time.Duration
	coldLimit           int // requests in any second while the replica is cold
	// loadedLatency is the expected latency of this replica with its queue. cost
	// adds a penalty for recent failures and stalls; the lowest cost is preferred.
	cost, loadedLatency time.Duration
	ejected             bool
	rateShare           replica.RateShare
	// admitsFrom is the earliest time at which the replica's rate limit and its pause
	// admit a request; zero if they admit one now. The wait is part of cost and
	// loadedLatency.
	admitsFrom time.Time
}

// candidates returns the replicas of a service that may get a request, in order
// of cost. Ejected replicas come last.
func (f *Forwarder) candidates(route *catalog.Route, service string, now time.Time) []candidate {
	view := f.currentView()
	usable := view.service(service).usable
	list := make([]candidate, 0, len(usable))
	for _, s := range usable {
		r := s.replica
		if !route.AllowsRegion(s.region) || s.backend.Retired() {
			continue
		}
		c := candidate{replica: r, backend: s.backend, coldLimit: s.coldLimit}
		class := replica.LatencyClass{Route: route.Name, Zone: r.Zone}
		var measured bool
		if c.expected, c.deviation, measured = f.pool.Latencies.Usual(class); !measured {
			c.expected = time.Duration(assumedLatencyShare[s.distance] * float64(route.Objective))
			c.deviation = c.expected / 2
		}
		costFactor, loadFactor := c.backend.Cost(now)
		c.cost, c.loadedLatency = time.Duration(costFactor*float64(c.expected)), time.Duration(loadFactor*float64(c.expected))
		c.ejected = c.backend.Ejected(now)
		if c.backend.Restricted() {
			c.rateShare = view.rateShare(r)
			if c.admitsFrom = c.backend.AdmitsFrom(now, c.rateShare); !c.admitsFrom.IsZero() {
				wait := c.admitsFrom.Sub(now)
				c.cost, c.loadedLatency = c.cost+wait, c.loadedLatency+wait
			}
		}
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

// OpenConnections opens connections to all usable replicas, so that the first requests
// after a start or a change of shards do not wait for connection set-up.
func (f *Forwarder) OpenConnections() {
	now := time.Now()
	for _, service := range f.currentView().services {
		for _, s := range service.usable {
			s.backend.Preconnect(now)
		}
	}
}

// ReopenClosedConnections reopens connections that replicas have closed as idle. It
// does so for the preferred replica of each service, which gets the next request.
func (f *Forwarder) ReopenClosedConnections() {
	config := f.store.Load().Config
	if config == nil {
		return
	}
	now := time.Now()
	services := f.currentView().services
	for service, route := range config.RouteByService() {
		if s := services[service]; s == nil || len(s.usable) == 0 {
			continue
		}
		if list := f.candidates(route, service, now); len(list) > 0 {
			list[0].backend.Preconnect(now)
		}
	}
}

// pickSplitService returns the service of a traffic split for the n-th request.
// Multiples of the golden ratio, modulo 1, are evenly distributed in any sequence
// of consecutive n, so short runs of requests follow the weights too.
func pickSplitService(parts []catalog.WeightedService, n uint64) string {
	const goldenRatio = 0.6180339887498949
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	point := float64(n) * goldenRatio
	point = (point - float64(uint64(point))) * total
	for _, p := range parts {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return parts[len(parts)-1].Service
}

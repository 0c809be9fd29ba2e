// Package catalog holds what an instance knows of its deployment: the configuration
// in force, the replicas, the evacuated zones and the other instances. Each request
// reads one immutable Snapshot.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version        int64
	Services       map[string]Service
	Limits         Limits
	routesByHost   map[string][]*Route // longest prefix first
	routeByService map[string]*Route   // one of the routes that use the service
}

// Service is a service that the configuration declares.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one replica, over all instances.
	MaxConnections int
	// Warmup is how long a replica under traffic stays cold after its start.
	Warmup time.Duration
	// ColdRate is the number of requests per second that a cold replica can
	// serve; 0 if the service declares none.
	ColdRate float64
}

// Limits bound the size of a caller's request and the time to send it. The sizes are
// in bytes.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Route declares how requests to one host and path prefix are served. Exactly one
// of Service, Split and Shards is set.
type Route struct {
	Name         string
	Host, Prefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the longest time after which a caller gets an answer.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// MaxAttempts bounds the replicas that one request, or one shard of it, is
	// sent to.
	MaxAttempts int
	// Priority is the rank of the route under overload; 0 is the highest.
	Priority int
	// Regions are the regions that may serve the route; empty means all.
	Regions []string

	Service string
	Split   []WeightedService
	// Shards are the services of a query over many shards, one for each shard. The
	// answer has the TopK greatest records and covers at least the fraction
	// MinShare of the shards.
	Shards   []string
	TopK     int
	MinShare float64
}

// WeightedService is one service of a traffic split. It gets the share of requests
// that its weight has in the sum of all weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// IsScatter reports whether the route queries many shards.
func (r *Route) IsScatter() bool { return len(r.Shards) > 0 }

// AllowsRegion reports whether a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// NewConfig indexes the routes of a configuration.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, Services: make(map[string]Service, len(services)),
		routesByHost: map[string][]*Route{}, routeByService: map[string]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		for _, s := range r.Shards {
			c.routeByService[s] = r
		}
		for _, part := range r.Split {
			c.routeByService[part.Service] = r
		}
		if r.Service != "" {
			c.routeByService[r.Service] = r
		}
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByService returns, for each service in use, one of the routes that use it.
// The map must not be changed.
func (c *Config) RouteByService() map[string]*Route { return c.routeByService }

// MostShards returns the shards of the route that has most.
func (c *Config) MostShards() (most []string) {
	for _, list := range c.routesByHost {
		for _, r := range list {
			if len(r.Shards) > len(most) {
				most = r.Shards
			}
		}
	}
	return most
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, list := range c.routesByHost {
		n += len(list)
	}
	return n
}

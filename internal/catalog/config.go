// Package catalog holds what the query tier knows of its deployment: the
// configuration in force, the replicas, the evacuated zones and the daemons.
// Requests read one immutable Snapshot.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	users    map[string]*Route   // one for each service in use
}

// Service is a declared service.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one replica, over all daemons.
	MaxConnections int
	// Warmup is how long a replica stays cold after a start under traffic.
	Warmup time.Duration
	// ColdRate is the number of requests a second that a cold replica bears; 0 if
	// the service declares none.
	ColdRate float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Route says how requests of one host and path prefix are served. Exactly one
// of Service, Split and Shards is set.
type Route struct {
	Name         string
	Host, Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// MaxAttempts bounds the replicas that one request, or one shard of it, is
	// sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Regions are the regions that may serve the route; empty means all.
	Regions []string

	Service string
	Split   []WeightedService
	// Shards are the services of a query over many shards; its answer has the
	// TopK greatest records and covers at least MinShare of the shards.
	Shards   []string
	TopK     int
	MinShare float64
}

// WeightedService is one part of a traffic split.
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
		routes: map[string][]*Route{}, users: map[string]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
		for _, s := range r.Shards {
			c.users[s] = r
		}
		for _, part := range r.Split {
			c.users[part.Service] = r
		}
		if r.Service != "" {
			c.users[r.Service] = r
		}
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Users returns one route for each service that routes use. The map must not be
// changed.
func (c *Config) Users() map[string]*Route { return c.users }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

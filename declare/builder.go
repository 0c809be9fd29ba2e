package declare

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
)

// Config collects the declarations of a program. It is not safe for
// concurrent use.
type Config struct {
	document Document
	// locations holds, for each declared path of the document, the FILE:LINE of the
	// call that declared it.
	locations map[string]string
}

// New starts a configuration.
func New(name string) *Config {
	c := &Config{locations: map[string]string{}}
	c.document.Name = name
	c.recordLocation("")
	return c
}

// recordLocation records where path is declared: at the call of the exported function
// or method that calls recordLocation, two frames up.
func (c *Config) recordLocation(path string) {
	_, file, line, ok := runtime.Caller(2)
	if !ok {
		return
	}
	if wd, err := os.Getwd(); err == nil {
		if rel, err := filepath.Rel(wd, file); err == nil && !strings.HasPrefix(rel, "..") {
			file = rel
		}
	}
	c.locations[path] = fmt.Sprintf("%s:%d", file, line)
}

// location returns the location of path or else of its closest declared parent.
func (c *Config) location(path string) string {
	for {
		if l, ok := c.locations[path]; ok {
			return l
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return c.locations[""]
		}
		path = path[:i]
	}
}

// Zone declares an availability zone that is in service.
func (c *Config) Zone(name string) {
	c.recordLocation(fmt.Sprintf("zones[%d]", len(c.document.Zones)))
	c.document.Zones = append(c.document.Zones, Zone{Name: name})
}

// ZoneOut declares an availability zone that is taken out of service.
func (c *Config) ZoneOut(name string) {
	c.recordLocation(fmt.Sprintf("zones[%d]", len(c.document.Zones)))
	c.document.Zones = append(c.document.Zones, Zone{Name: name, Out: true})
}

// RetireTarget declares a target that gets no new work.
func (c *Config) RetireTarget(name string) {
	c.recordLocation(fmt.Sprintf("retired_targets[%d]", len(c.document.RetiredTargets)))
	c.document.RetiredTargets = append(c.document.RetiredTargets, name)
}

// Service declares a service in phase steady whose cold targets run one request at
// a time. Its replicas, slots and connections must be set.
func (c *Config) Service(name string) *ServiceBuilder {
	index := len(c.document.Services)
	b := &ServiceBuilder{config: c, index: index, path: fmt.Sprintf("services[%d]", index)}
	c.recordLocation(b.path)
	c.document.Services = append(c.document.Services, Service{Name: name, Phase: PhaseSteady, BearsCold: 1})
	return b
}

// ServiceBuilder sets the values of one service.
type ServiceBuilder struct {
	config *Config
	index  int
	path   string
}

func (b *ServiceBuilder) service() *Service { return &b.config.document.Services[b.index] }

// Name returns the name, for searches and operations.
func (b *ServiceBuilder) Name() string { return b.service().Name }

// Phase sets where the service stands while one service replaces another.
func (b *ServiceBuilder) Phase(p Phase) *ServiceBuilder {
	b.config.recordLocation(b.path + ".phase")
	b.service().Phase = p
	return b
}

// Replicas sets the number of targets that the operators run.
func (b *ServiceBuilder) Replicas(n int) *ServiceBuilder {
	b.config.recordLocation(b.path + ".replicas")
	b.service().Replicas = n
	return b
}

// Slots sets the number of requests that a warm target runs at once.
func (b *ServiceBuilder) Slots(n int) *ServiceBuilder {
	b.config.recordLocation(b.path + ".slots")
	b.service().Slots = n
	return b
}

// BearsCold sets the number of requests that a cold target runs at once.
func (b *ServiceBuilder) BearsCold(n int) *ServiceBuilder {
	b.config.recordLocation(b.path + ".bears_cold")
	b.service().BearsCold = n
	return b
}

// Connections sets the number of connections that a target accepts.
func (b *ServiceBuilder) Connections(n int) *ServiceBuilder {
	b.config.recordLocation(b.path + ".connections")
	b.service().Connections = n
	return b
}

// Search declares a search over the shards that the services hold. Its
// priority is critical for class complete and normal for class partial.
func (c *Config) Search(name string, class Class, services ...string) *SearchBuilder {
	index := len(c.document.Searches)
	b := &SearchBuilder{config: c, index: index}
	c.recordLocation(fmt.Sprintf("searches[%d]", index))
	priority := PriorityNormal
	if class == ClassComplete {
		priority = PriorityCritical
	}
	c.document.Searches = append(c.document.Searches, Search{Name: name, Class: class, Priority: priority, Services: services})
	return b
}

// SearchBuilder sets the values of one search.
type SearchBuilder struct {
	config *Config
	index  int
}

// Priority sets the priority of the search under overload.
func (b *SearchBuilder) Priority(p Priority) *SearchBuilder {
	b.config.recordLocation(fmt.Sprintf("searches[%d].priority", b.index))
	b.config.document.Searches[b.index].Priority = p
	return b
}

// Operation declares a request that runs at most once, on one target of the
// services, which are tried in order.
func (c *Config) Operation(name string, services ...string) {
	c.recordLocation(fmt.Sprintf("operations[%d]", len(c.document.Operations)))
	c.document.Operations = append(c.document.Operations, Operation{Name: name, Services: services})
}

// Print writes the configuration as indented JSON. If declarations break rules of
// Validate, it writes nothing and returns the faults as one joined error, each with
// the file and line of its declaration.
func (c *Config) Print(w io.Writer) error {
	var errs []error
	for _, err := range Validate(c.document) {
		path := ""
		var f *Fault
		if errors.As(err, &f) {
			path = f.Path
		}
		errs = append(errs, fmt.Errorf("%s: %w", c.location(path), err))
	}
	if errs != nil {
		return errors.Join(errs...)
	}
	b, err := Encode(c.document)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// Main prints the configuration on standard output. On an error it prints the error
// on standard error and exits with 2.
func (c *Config) Main() {
	if err := c.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

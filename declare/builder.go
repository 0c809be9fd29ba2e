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
	// places maps a path of the document to the call that declared it.
	places map[string]string
}

// New starts a configuration.
func New(name string) *Config {
	c := &Config{places: map[string]string{}}
	c.document.Name = name
	c.note("")
	return c
}

// note remembers the call of an exported method as the declaration of path.
func (c *Config) note(path string) {
	_, file, line, ok := runtime.Caller(2)
	if !ok {
		return
	}
	if wd, err := os.Getwd(); err == nil {
		if rel, err := filepath.Rel(wd, file); err == nil && !strings.HasPrefix(rel, "..") {
			file = rel
		}
	}
	c.places[path] = fmt.Sprintf("%s:%d", file, line)
}

// place returns the closest declaration of a path of the document.
func (c *Config) place(path string) string {
	for {
		if p, ok := c.places[path]; ok {
			return p
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return c.places[""]
		}
		path = path[:i]
	}
}

// Zone declares an availability zone that serves.
func (c *Config) Zone(name string) {
	c.note(fmt.Sprintf("zones[%d]", len(c.document.Zones)))
	c.document.Zones = append(c.document.Zones, Zone{Name: name})
}

// ZoneOut declares an availability zone that is taken out of service.
func (c *Config) ZoneOut(name string) {
	c.note(fmt.Sprintf("zones[%d]", len(c.document.Zones)))
	c.document.Zones = append(c.document.Zones, Zone{Name: name, Out: true})
}

// RetireTarget declares a target that gets no new work.
func (c *Config) RetireTarget(name string) {
	c.note(fmt.Sprintf("retired_targets[%d]", len(c.document.RetiredTargets)))
	c.document.RetiredTargets = append(c.document.RetiredTargets, name)
}

// Service declares a service in phase steady that bears one request when
// cold. The other values must be set.
func (c *Config) Service(name string) *ServiceBuilder {
	i := len(c.document.Services)
	b := &ServiceBuilder{c: c, i: i, at: fmt.Sprintf("services[%d]", i)}
	c.note(b.at)
	c.document.Services = append(c.document.Services, Service{Name: name, Phase: PhaseSteady, BearsCold: 1})
	return b
}

// ServiceBuilder sets the values of one service.
type ServiceBuilder struct {
	c  *Config
	i  int
	at string
}

func (b *ServiceBuilder) service() *Service { return &b.c.document.Services[b.i] }

// Name returns the name, for searches and operations.
func (b *ServiceBuilder) Name() string { return b.service().Name }

// Phase says where the service stands in its replacement.
func (b *ServiceBuilder) Phase(p Phase) *ServiceBuilder {
	b.c.note(b.at + ".phase")
	b.service().Phase = p
	return b
}

// Replicas sets the number of targets that the operators run.
func (b *ServiceBuilder) Replicas(n int) *ServiceBuilder {
	b.c.note(b.at + ".replicas")
	b.service().Replicas = n
	return b
}

// Slots sets the number of requests that a warm target runs at once.
func (b *ServiceBuilder) Slots(n int) *ServiceBuilder {
	b.c.note(b.at + ".slots")
	b.service().Slots = n
	return b
}

// BearsCold sets the number of requests that a cold target runs at once.
func (b *ServiceBuilder) BearsCold(n int) *ServiceBuilder {
	b.c.note(b.at + ".bears_cold")
	b.service().BearsCold = n
	return b
}

// Connections sets the number of connections that a target accepts.
func (b *ServiceBuilder) Connections(n int) *ServiceBuilder {
	b.c.note(b.at + ".connections")
	b.service().Connections = n
	return b
}

// Search declares a search over the shards that the services hold. Its
// priority is critical for class complete and normal for class partial.
func (c *Config) Search(name string, class Class, services ...string) *SearchBuilder {
	i := len(c.document.Searches)
	b := &SearchBuilder{c: c, i: i}
	c.note(fmt.Sprintf("searches[%d]", i))
	priority := PriorityNormal
	if class == ClassComplete {
		priority = PriorityCritical
	}
	c.document.Searches = append(c.document.Searches, Search{Name: name, Class: class, Priority: priority, Services: services})
	return b
}

// SearchBuilder sets the values of one search.
type SearchBuilder struct {
	c *Config
	i int
}

// Priority orders the search under overload.
func (b *SearchBuilder) Priority(p Priority) *SearchBuilder {
	b.c.note(fmt.Sprintf("searches[%d].priority", b.i))
	b.c.document.Searches[b.i].Priority = p
	return b
}

// Operation declares a request that runs at most once, on one target of the
// services, which are tried in order.
func (c *Config) Operation(name string, services ...string) {
	c.note(fmt.Sprintf("operations[%d]", len(c.document.Operations)))
	c.document.Operations = append(c.document.Operations, Operation{Name: name, Services: services})
}

// Print writes the configuration as indented JSON. If the declarations
// contradict each other, it writes nothing and returns one joined error each,
// with the file and line of the declaration.
func (c *Config) Print(w io.Writer) error {
	var errs []error
	for _, err := range Validate(c.document) {
		path := ""
		var f *Fault
		if errors.As(err, &f) {
			path = f.Path
		}
		errs = append(errs, fmt.Errorf("%s: %w", c.place(path), err))
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

// Main prints the configuration on standard output. On an error it prints
// the errors on standard error and exits with 2.
func (c *Config) Main() {
	if err := c.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

package follow

import (
	"context"
	"maps"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Registry is the list of instances in the store, with one object for each. The store
// calls an instance a daemon.
type Registry interface {
	// Register creates the object of an instance. If an earlier process of that name
	// left one behind, that one stays and created is false.
	Register(ctx context.Context, name string, instance catalog.Instance) (created bool, err error)
	// Deregister removes the object of an instance. A missing object is not an error.
	Deregister(ctx context.Context, name string) error
}

// InstanceSink keeps the list of registered instances in the catalog.
type InstanceSink struct {
	logger *log.Logger
	store  *catalog.Store
	self   string
	listed map[string]catalog.Instance // by name
}

// NewInstanceSink returns an InstanceSink. The instance self is always in its list,
// also while the store does not list it.
func NewInstanceSink(logger *log.Logger, store *catalog.Store, self string) *InstanceSink {
	return &InstanceSink{logger: logger, store: store, self: self, listed: map[string]catalog.Instance{}}
}

// Replace implements Sink.
func (s *InstanceSink) Replace(items []Item[catalog.Instance]) {
	clear(s.listed)
	for _, item := range items {
		s.listed[item.Name] = item.Value
	}
	s.publish()
}

// Apply implements Sink.
func (s *InstanceSink) Apply(changes []Change[catalog.Instance]) {
	for _, c := range changes {
		if c.Deleted {
			delete(s.listed, c.Name)
		} else {
			s.listed[c.Name] = c.Value
		}
	}
	s.publish()
}

func (s *InstanceSink) publish() {
	if _, listed := s.listed[s.self]; !listed {
		s.listed[s.self] = catalog.Instance{}
	}
	if maps.Equal(s.listed, s.store.Load().Instances) {
		return
	}
	s.store.SetInstances(s.listed)
	s.logger.Info().Str("event", "daemons").Int("daemons", len(s.listed)).Msg("list of registered instances changed")
}

// Register adds this instance to the registry and tries again until the store
// has accepted it or ctx ends.
func Register(ctx context.Context, logger *log.Logger, link *Link, registry Registry, name string, instance catalog.Instance) {
	for ctx.Err() == nil {
		var created bool
		err := link.call(ctx, "daemons", func(ctx context.Context) (err error) {
			created, err = registry.Register(ctx, name, instance)
			return err
		})
		if err == nil {
			logger.Info().Str("event", "registered").Bool("created", created).Msg("instance registered in the store")
			return
		}
	}
}

// deregisterTimeout bounds the call that deregisters a stopping instance.
const deregisterTimeout = 500 * time.Millisecond

// Deregister removes this instance from the registry. If the store does not
// answer, the object stays, and the shares of the other instances stay smaller
// than necessary.
func Deregister(logger *log.Logger, registry Registry, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := registry.Deregister(ctx, name); err != nil {
		logger.Warn().Err(err).Msg("instance could not be deregistered; its object stays in the store")
	}
}

package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Registry holds one object a daemon.
type Registry interface {
	// Register creates the object of a daemon with its address for other
	// instances. created is false if an earlier
	// process left it.
	Register(ctx context.Context, name, address string) (created bool, err error)
	// Deregister removes the object of a daemon; it may be missing.
	Deregister(ctx context.Context, name string) error
}

// DaemonSink keeps the list of daemons.
type DaemonSink struct {
	logger *log.Logger
	store  *catalog.Store
	self   string
	names  map[string]string // to addresses
}

// NewDaemonSink returns a DaemonSink of the daemon self, which always counts.
func NewDaemonSink(logger *log.Logger, store *catalog.Store, self string) *DaemonSink {
	return &DaemonSink{logger: logger, store: store, self: self, names: map[string]string{}}
}

// Replace implements Sink.
func (s *DaemonSink) Replace(items []Item[string]) {
	clear(s.names)
	for _, item := range items {
		s.names[item.Name] = item.Value
	}
	s.publish()
}

// Apply implements Sink.
func (s *DaemonSink) Apply(changes []Change[string]) {
	for _, c := range changes {
		if c.Deleted {
			delete(s.names, c.Name)
		} else {
			s.names[c.Name] = c.Value
		}
	}
	s.publish()
}

func (s *DaemonSink) publish() {
	if _, listed := s.names[s.self]; !listed {
		s.names[s.self] = ""
	}
	names := slices.Sorted(maps.Keys(s.names))
	if slices.Equal(names, s.store.Load().Daemons) {
		return
	}
	s.store.SetDaemons(s.names)
	s.logger.Info().Str("event", "daemons").Int("daemons", len(names)).Msg("list of daemons changed")
}

// Register writes the object of this daemon until the store has taken it.
func Register(ctx context.Context, logger *log.Logger, link *Link, registry Registry, name, address string) {
	for ctx.Err() == nil {
		var created bool
		err := link.call(ctx, "daemons", func(ctx context.Context) (err error) {
			created, err = registry.Register(ctx, name, address)
			return err
		})
		if err == nil {
			logger.Info().Str("event", "registered").Bool("created", created).Msg("the daemon is listed")
			return
		}
	}
}

// deregisterTimeout bounds the removal of the daemon's object at its stop.
const deregisterTimeout = 500 * time.Millisecond

// Deregister removes the object of this daemon. If the store does not answer,
// the object stays and the shares of the others stay smaller than they could be.
func Deregister(logger *log.Logger, registry Registry, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := registry.Deregister(ctx, name); err != nil {
		logger.Warn().Err(err).Msg("the daemon stays listed")
	}
}

package follow

import (
	"context"
	"math/rand/v2"
	"sync"
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

const (
	// registrationCheckInterval is how often an instance checks that the store lists
	// it. Up to as much again is random, so that instances that are all missing do not
	// all write at once.
	registrationCheckInterval = 500 * time.Millisecond
	// registrationLag is how long a registration may be missing in what other instances
	// relay.
	registrationLag = 5 * time.Second
	// deregisterTimeout bounds the call that deregisters a stopping instance.
	deregisterTimeout = 500 * time.Millisecond
)

// Registrar keeps this instance in the registry: it registers the instance at the
// start, and again when its object is gone, as after the store has come back from a
// copy. Deregister ends that.
type Registrar struct {
	logger   *log.Logger
	link     *Link
	registry Registry
	sink     *InstanceSink
	name     string
	instance catalog.Instance

	mu           sync.Mutex
	registeredAt time.Time // zero until the first registration
	stopped      bool
}

// NewRegistrar returns a Registrar for the instance of a name.
func NewRegistrar(logger *log.Logger, link *Link, registry Registry, sink *InstanceSink, name string, instance catalog.Instance) *Registrar {
	return &Registrar{logger: logger, link: link, registry: registry, sink: sink, name: name, instance: instance}
}

// Register adds this instance to the registry and tries again until the store has
// accepted it, Deregister is called or ctx ends.
func (r *Registrar) Register(ctx context.Context) {
	for ctx.Err() == nil && !r.isStopped() {
		var created bool
		// The call is made while another instance relays too: nobody else writes it.
		err := r.link.callUnpaused(ctx, "daemons", func(ctx context.Context) (err error) {
			created, err = r.registry.Register(ctx, r.name, r.instance)
			return err
		})
		if err == nil {
			r.mu.Lock()
			r.registeredAt = time.Now()
			r.mu.Unlock()
			r.logger.Info().Str("event", "registered").Bool("created", created).Msg("instance registered in the store")
			return
		}
	}
}

// Run registers the instance again when its object is gone, until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	for sleep(ctx, registrationCheckInterval+rand.N(registrationCheckInterval)) {
		if r.isDue(time.Now()) {
			r.Register(ctx)
		}
	}
	return nil
}

// isDue reports whether the object of the instance is gone: the store has come back from
// a copy that lacks it, or it has been missing for longer than relaying takes.
func (r *Registrar) isDue(now time.Time) bool {
	r.mu.Lock()
	registeredAt := r.registeredAt
	r.mu.Unlock()
	missing := r.sink.SelfMissingSince()
	if registeredAt.IsZero() || missing.IsZero() {
		return false
	}
	return registeredAt.Before(r.link.RestoredAt()) || now.Sub(later(missing, registeredAt)) > registrationLag
}

func (r *Registrar) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Deregister removes this instance from the registry for good. If the store does not
// answer, the object stays, and the shares of the other instances stay smaller than
// necessary.
func (r *Registrar) Deregister() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.registry.Deregister(ctx, r.name); err != nil {
		r.logger.Warn().Err(err).Msg("instance could not be deregistered; its object stays in the store")
	}
}

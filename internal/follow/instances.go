package follow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/lifecycle"
)

// instanceHold is how long after the store has come back from a copy the instances that
// its listing lacks are kept. By then, those that live have registered again.
const instanceHold = 10 * time.Second

// InstanceSink keeps the list of registered instances in the catalog.
type InstanceSink struct {
	logger *log.Logger
	store  *catalog.Store
	link   *Link
	self   string

	mu           sync.Mutex
	listed       heldSet[catalog.Instance]
	missingSince time.Time // since when the store does not list self; zero if it does
}

// NewInstanceSink returns an InstanceSink. The instance self is always in its list,
// also while the store does not list it. Run has to be called, as it ends the holds.
func NewInstanceSink(logger *log.Logger, store *catalog.Store, link *Link, self string) *InstanceSink {
	return &InstanceSink{logger: logger, store: store, link: link, self: self, listed: newHeldSet[catalog.Instance]()}
}

// Replace implements Sink.
func (s *InstanceSink) Replace(items []Item[catalog.Instance]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]catalog.Instance, len(items))
	for _, item := range items {
		listed[item.Name] = item.Value
	}
	_, found := listed[s.self]
	s.noteSelf(found)
	s.listed.replace(listed, time.Now(), s.link.RestoredAt().Add(instanceHold))
	s.publish()
}

// Apply implements Sink.
func (s *InstanceSink) Apply(changes []Change[catalog.Instance]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.Name == s.self {
			s.noteSelf(!c.Deleted)
		}
		if c.Deleted {
			s.listed.remove(c.Name)
		} else {
			s.listed.add(c.Name, c.Value)
		}
	}
	s.publish()
}

// Run ends the holds, until ctx ends.
func (s *InstanceSink) Run(ctx context.Context) error {
	return lifecycle.Every(ctx, time.Second, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listed.expire(now) {
			s.publish()
		}
	})
}

// SelfMissingSince returns since when the store does not list this instance; the zero
// time if it does.
func (s *InstanceSink) SelfMissingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missingSince
}

// noteSelf records whether the store lists this instance. s.mu is held.
func (s *InstanceSink) noteSelf(listed bool) {
	switch {
	case listed:
		s.missingSince = time.Time{}
	case s.missingSince.IsZero():
		s.missingSince = time.Now()
	}
}

// publish puts the list into the catalog. s.mu is held.
func (s *InstanceSink) publish() {
	if _, listed := s.listed.objects[s.self]; !listed {
		s.listed.add(s.self, catalog.Instance{})
	}
	if maps.Equal(s.listed.objects, s.store.Load().Instances) {
		return
	}
	s.store.SetInstances(s.listed.objects)
	s.logger.Info().Str("event", "daemons").Int("daemons", len(s.listed.objects)).Int("held", len(s.listed.heldUntil)).
		Msg("list of registered instances changed")
}

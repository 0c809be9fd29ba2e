package follow

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/lifecycle"
)

// ZoneSink keeps the set of evacuated zones in the catalog. An evacuation that is
// missing after the store has come back from a copy is held for lapseHold, in which the
// operator writes it again.
type ZoneSink struct {
	logger *log.Logger
	store  *catalog.Store
	link   *Link

	mu    sync.Mutex
	zones heldSet[struct{}]
}

// NewZoneSink returns a ZoneSink. Run has to be called, as it ends the holds.
func NewZoneSink(logger *log.Logger, store *catalog.Store, link *Link) *ZoneSink {
	return &ZoneSink{logger: logger, store: store, link: link, zones: newHeldSet[struct{}]()}
}

// Replace implements Sink. An evacuation whose value cannot be decoded counts too,
// because only its name matters.
func (s *ZoneSink) Replace(items []Item[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Name] = struct{}{}
	}
	s.zones.replace(listed, time.Now(), s.link.RestoredAt().Add(lapseHold))
	s.publish()
}

// Apply implements Sink.
func (s *ZoneSink) Apply(changes []Change[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			s.zones.remove(c.Name)
		} else {
			s.zones.add(c.Name, struct{}{})
		}
	}
	s.publish()
}

// Run ends the holds, until ctx ends.
func (s *ZoneSink) Run(ctx context.Context) error {
	return lifecycle.Every(ctx, lapseCheckInterval, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.zones.expire(now) {
			s.publish()
		}
	})
}

// publish puts the set into the catalog. s.mu is held.
func (s *ZoneSink) publish() {
	now := slices.Sorted(maps.Keys(s.zones.objects))
	if before := s.store.Load().Evacuated(); slices.Equal(before, now) {
		return
	}
	zones := make(map[string]bool, len(now))
	for _, z := range now {
		zones[z] = true
	}
	s.store.SetEvacuated(zones, time.Now())
	s.logger.Info().Str("event", "evacuation").Strs("zones", now).Msg("evacuated zones changed")
}

package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// ZoneSink keeps the set of evacuated zones in the catalog.
type ZoneSink struct {
	logger *log.Logger
	store  *catalog.Store
	zones  map[string]bool
}

// NewZoneSink returns a ZoneSink.
func NewZoneSink(logger *log.Logger, store *catalog.Store) *ZoneSink {
	return &ZoneSink{logger: logger, store: store, zones: map[string]bool{}}
}

// Replace implements Sink. An evacuation whose value cannot be decoded counts too,
// because only its name matters.
func (s *ZoneSink) Replace(items []Item[struct{}]) {
	clear(s.zones)
	for _, item := range items {
		s.zones[item.Name] = true
	}
	s.publish()
}

// Apply implements Sink.
func (s *ZoneSink) Apply(changes []Change[struct{}]) {
	for _, c := range changes {
		if c.Deleted {
			delete(s.zones, c.Name)
		} else {
			s.zones[c.Name] = true
		}
	}
	s.publish()
}

func (s *ZoneSink) publish() {
	now := slices.Sorted(maps.Keys(s.zones))
	if before := s.store.Load().Evacuated(); slices.Equal(before, now) {
		return
	}
	s.store.SetEvacuated(s.zones, time.Now())
	s.logger.Info().Str("event", "evacuation").Strs("zones", now).Msg("evacuated zones changed")
}

package follow

import (
	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// ConfigSink puts new versions of the configuration in force in Store. Versions
// that cannot be decoded are logged and skipped.
type ConfigSink struct {
	Logger *log.Logger
	Store  *catalog.Store
	// Name is the name of the object that holds the configuration.
	Name string
}

// Replace implements Sink.
func (s ConfigSink) Replace(items []Item[*catalog.Config]) {
	for _, item := range items {
		s.apply(item)
	}
}

// Apply implements Sink. The configuration stays in force when its object is
// deleted.
func (s ConfigSink) Apply(changes []Change[*catalog.Config]) {
	for _, c := range changes {
		if !c.Deleted {
			s.apply(c.Item)
		}
	}
}

func (s ConfigSink) apply(item Item[*catalog.Config]) {
	switch {
	case item.Name != s.Name:
	case !item.Valid:
		s.Logger.Error().Str("event", "configuration unreadable").Int64("revision", item.Revision).
			Msg("configuration object cannot be decoded; the configuration in force is kept")
	case s.Store.SetConfig(item.Value):
		s.Logger.Info().Str("event", "configuration in force").Int64("version", item.Value.Version).
			Int64("revision", item.Revision).Int("routes", item.Value.RouteCount()).Msg("configuration applied")
	}
}

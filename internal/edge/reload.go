package edge

import (
	"context"
	"os"
	"time"

	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/settings"
)

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = time.Second

// watchSettings reads the settings again after a signal on hup, or when the file
// has changed, until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := fileState(d.path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-d.hup:
		case <-ticker.C:
			if now := fileState(d.path); now == seen {
				continue
			}
			reason = "file changed"
		}
		seen = fileState(d.path)
		d.reload(reason)
	}
}

type fileVersion struct {
	modified time.Time
	size     int64
}

// fileState returns the zero value for a file that cannot be looked at.
func fileState(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload takes new settings over. Faulty ones are reported, and the present ones
// stay. Listeners are kept.
func (d *Daemon) reload(reason string) {
	s, faults := settings.LoadEdge(d.path)
	for _, fault := range faults {
		d.logger.Error().Str("event", "reload").Err(fault).Msg("settings are not usable")
	}
	if len(faults) > 0 {
		return
	}
	old := d.settings.Load()
	if s.CallerListen != old.CallerListen || s.ReadyListen != old.ReadyListen || s.MetricsListen != old.MetricsListen ||
		s.PlatformAddress != old.PlatformAddress || s.Name != old.Name || s.Zone != old.Zone {
		d.logger.Warn().Str("event", "reload").Msg("name, zone and addresses change only with a restart")
	}
	d.settings.Store(&s)
	d.forwarder.Configure(d.forwardOptions(s))
	d.logger.Info().Str("event", "reload").Str("reason", reason).Msg("settings read again")
}

func (d *Daemon) forwardOptions(s settings.Edge) forward.Options {
	return forward.Options{
		Place: forward.Place{Zone: s.Zone, Region: s.Region, Regions: s.Zones},
		Shares: forward.Shares{
			Self: s.Name, ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
		},
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, MaxInFlight: s.MaxInFlight,
	}
}

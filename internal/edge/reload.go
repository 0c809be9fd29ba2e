package edge

import (
	"context"
	"os"
	"time"

	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for changes, as
// it may change without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings after a signal on reloadSignal, or when the
// file has changed, until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := fileState(d.settingsPath)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-d.reloadSignal:
		case <-ticker.C:
			if now := fileState(d.settingsPath); now == seen {
				continue
			}
			reason = "file changed"
		}
		seen = fileState(d.settingsPath)
		d.reload(reason)
	}
}

type fileVersion struct {
	modified time.Time
	size     int64
}

// fileState returns the zero value if the file's state cannot be read.
func fileState(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload reads the settings file and puts its settings in force. If they have
// faults, it logs these and the current settings stay in force. Listeners are not
// changed.
func (d *Daemon) reload(reason string) {
	s, faults := settings.LoadEdge(d.settingsPath)
	for _, fault := range faults {
		d.logger.Error().Str("event", "reload").Err(fault).Msg("settings file has a fault; the current settings stay in force")
	}
	if len(faults) > 0 {
		return
	}
	old := d.settings.Load()
	if s.CallerListen != old.CallerListen || s.ReadyListen != old.ReadyListen || s.MetricsListen != old.MetricsListen ||
		s.PlatformAddress != old.PlatformAddress || s.Name != old.Name || s.Zone != old.Zone {
		d.logger.Warn().Str("event", "reload").Msg("changes of name, zone or addresses need a restart")
	}
	d.settings.Store(&s)
	d.forwarder.Configure(d.forwardOptions(s))
	d.logger.Info().Str("event", "reload").Str("reason", reason).Msg("settings reloaded")
}

func (d *Daemon) forwardOptions(s settings.Edge) forward.Options {
	return forward.Options{
		Location: forward.Location{Zone: s.Zone, Region: s.Region, Regions: s.Zones},
		Shares: forward.Shares{
			Self: s.Name, ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
		},
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow, MaxInFlight: s.MaxInFlight,
	}
}

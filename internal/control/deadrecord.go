package control

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// removeRecordAfter is how long an instance must be unreachable before its
	// object instance/<name> is removed. A living instance that is cut off
	// writes it again, so the delay bounds the writes of a long cut.
	removeRecordAfter = 10 * time.Minute
	// recordCheckEvery is the interval of the checks for such objects.
	recordCheckEvery = 10 * time.Second
)

// deadRecords tells which instance objects belong to instances that are
// unreachable. It is not safe for concurrent use.
type deadRecords struct {
	last  time.Time
	since map[recordVersion]time.Time // since when the instance is unreachable
}

type recordVersion struct {
	name    string
	version int64
}

// observe takes the objects of the zone with the time of the last answer of
// each instance, and returns those to remove.
func (d *deadRecords) observe(answered map[recordVersion]time.Time, now time.Time) (dead []recordVersion) {
	if now.Sub(d.last) > 2*recordCheckEvery {
		d.since = map[recordVersion]time.Time{} // a pause does not count
	}
	d.last = now
	maps.DeleteFunc(d.since, func(r recordVersion, _ time.Time) bool { _, ok := answered[r]; return !ok })
	for r, at := range answered {
		since, ok := d.since[r]
		switch {
		case !ok:
			d.since[r] = now
		case at.After(since):
			d.since[r] = at
		case now.Sub(since) >= removeRecordAfter:
			dead = append(dead, r)
		}
	}
	return dead
}

// removeDeadRecords removes the objects instance/<name> of unreachable
// instances of the zone while this instance is the first live one by name.
func (m *Membership) removeDeadRecords(ctx context.Context) {
	var records deadRecords
	ticker := time.NewTicker(recordCheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dead := records.observe(m.zoneRecords(), time.Now())
		if !m.isFirstInZone() {
			continue
		}
		for _, r := range dead {
			// The condition on the version spares an object that its instance
			// has written since.
			err := m.registry.Delete(ctx, kindInstance, r.name, r.version)
			entry := m.logger.Info()
			if err != nil {
				entry = m.logger.Warn().Err(err)
			}
			entry.Str("instance", r.name).Int64("version", r.version).
				Str("reason", "unreachable for "+removeRecordAfter.String()).Msg("instance record removal")
		}
	}
}

// zoneRecords returns the objects of the other instances of the zone with the
// time of the last answer of each instance, which is zero for unknown ones.
func (m *Membership) zoneRecords() map[recordVersion]time.Time {
	answered := map[recordVersion]time.Time{}
	for _, o := range m.sync.Objects(kindInstance) {
		var r InstanceRecord
		if o.Name == m.self.Name || json.Unmarshal(o.Value, &r) != nil || r.Zone != m.self.Zone {
			continue
		}
		m.mu.Lock()
		var at time.Time
		if p, ok := m.members[o.Name]; ok {
			at = p.answered
		}
		m.mu.Unlock()
		answered[recordVersion{o.Name, o.Version}] = at
	}
	return answered
}

// isFirstInZone reports whether this instance is ready and has the lowest name
// of the live instances of its zone.
func (m *Membership) isFirstInZone() bool {
	if m.State() != StateReady {
		return false
	}
	for _, i := range m.store.Load().Instances {
		if i.Zone == m.self.Zone && i.Liveness == state.Alive && i.Name < m.self.Name {
			return false
		}
	}
	return true
}

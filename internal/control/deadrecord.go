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
	// object instance/<name> is removed. A running instance that only lost its
	// links to the peers writes the object again, so this delay limits the
	// number of writes during a long network failure.
	removeRecordAfter = 10 * time.Minute
	// recordCheckInterval is the interval of the checks for such objects.
	recordCheckInterval = 10 * time.Second
)

// deadRecords tracks how long the instances behind the instance objects have
// been unreachable. It is not safe for concurrent use.
type deadRecords struct {
	lastCheck        time.Time
	unreachableSince map[recordVersion]time.Time
}

// recordVersion identifies one version of an object instance/<name>.
type recordVersion struct {
	name    string
	version int64
}

// observe updates the tracked objects from those of the zone, given with the
// time of the last answer of each instance, and returns those to remove. A pause
// of the local process does not count, so the times start again after it.
func (d *deadRecords) observe(answeredAt map[recordVersion]time.Time, now time.Time) (dead []recordVersion) {
	if now.Sub(d.lastCheck) > 2*recordCheckInterval {
		d.unreachableSince = map[recordVersion]time.Time{}
	}
	d.lastCheck = now
	maps.DeleteFunc(d.unreachableSince, func(r recordVersion, _ time.Time) bool { _, ok := answeredAt[r]; return !ok })
	for r, at := range answeredAt {
		unreachableSince, ok := d.unreachableSince[r]
		switch {
		case !ok:
			d.unreachableSince[r] = now
		case at.After(unreachableSince):
			d.unreachableSince[r] = at
		case now.Sub(unreachableSince) >= removeRecordAfter:
			dead = append(dead, r)
		}
	}
	return dead
}

// removeDeadRecords removes the objects instance/<name> of unreachable
// instances of the zone while this instance has the lowest name of the live
// ones. It runs until ctx ends.
func (m *Membership) removeDeadRecords(ctx context.Context) {
	var records deadRecords
	ticker := time.NewTicker(recordCheckInterval)
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
			// The version keeps an object that its instance has written in the
			// meantime from being removed.
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
	answeredAt := map[recordVersion]time.Time{}
	for _, o := range m.sync.Objects(kindInstance) {
		var r InstanceRecord
		if o.Name == m.self.Name || json.Unmarshal(o.Value, &r) != nil || r.Zone != m.self.Zone {
			continue
		}
		m.mu.Lock()
		var at time.Time
		if p, ok := m.members[o.Name]; ok {
			at = p.answeredAt
		}
		m.mu.Unlock()
		answeredAt[recordVersion{o.Name, o.Version}] = at
	}
	return answeredAt
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

package control

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// registerRetry is the interval of attempts to write instance/<name>.
const registerRetry = 500 * time.Millisecond

func decodeInstance(i *peerpb.Instance) InstanceRecord {
	return InstanceRecord{
		Name: i.GetName(), Incarnation: i.GetIncarnation(), Zone: i.GetZone(),
		PeerAddress: i.GetPeerAddress(), CallerAddress: i.GetCallerAddress(), State: i.GetState(),
	}
}

func encodeInstance(r InstanceRecord) *peerpb.Instance {
	return &peerpb.Instance{
		Name: r.Name, Incarnation: r.Incarnation, Zone: r.Zone,
		PeerAddress: r.PeerAddress, CallerAddress: r.CallerAddress, State: r.State,
	}
}

func (m *Membership) record() InstanceRecord {
	return InstanceRecord{
		Name: m.self.Name, Incarnation: m.self.Incarnation, Zone: m.self.Zone,
		PeerAddress: m.self.PeerAddress, CallerAddress: m.self.CallerAddress, State: m.State(),
	}
}

func (m *Membership) describe() *peerpb.Instance { return encodeInstance(m.record()) }

// known returns the instances that answer. Passing on others would keep
// instances that are gone alive in heartbeats for ever.
func (m *Membership) known() []*peerpb.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peerpb.Instance
	for _, p := range m.members {
		if !p.suspect {
			out = append(out, encodeInstance(p.InstanceRecord))
		}
	}
	return out
}

// learnRecords adds the instances that the platform lists.
func (m *Membership) learnRecords(now time.Time) {
	for _, o := range m.sync.Objects(kindInstance) {
		m.mu.Lock()
		seen := m.records[o.Name] >= o.Version
		m.records[o.Name] = o.Version
		m.mu.Unlock()
		var r InstanceRecord
		if !seen && json.Unmarshal(o.Value, &r) == nil && r.Name == o.Name {
			m.learnIndirect(r, now)
		}
	}
}

// takeLoads publishes what an instance reports of the targets that it serves.
// Reports of others than the holder count only while the holder does not
// answer, and an instance cannot take back that a target leaves.
func (m *Membership) takeLoads(from string, loads []state.Load, now time.Time) {
	m.leases.ObserveLoads(from, loads, now)
	if len(loads) == 0 {
		return
	}
	merge := func(snap *state.Snapshot) map[string]state.Load {
		var merged map[string]state.Load
		for _, l := range loads {
			old, ok := snap.Loads[l.Target]
			holder := snap.Placements[snap.Targets[l.Target].Zone].Holders[l.Target]
			live := snap.Instances[holder].Liveness
			if ok && holder != from && l.Phase != state.PhaseLeaving && (holder == m.self.Name || live == state.Alive || live == state.Draining) {
				continue
			}
			if ok && old.Phase == state.PhaseLeaving && old.Incarnation == l.Incarnation {
				l.Phase = state.PhaseLeaving
			}
			if old == l {
				continue
			}
			if merged == nil {
				merged = make(map[string]state.Load, len(snap.Loads)+1)
				maps.Copy(merged, snap.Loads)
			}
			merged[l.Target] = l
		}
		return merged
	}
	if merge(m.store.Load()) == nil {
		return
	}
	m.store.Update(func(next *state.Snapshot) {
		if merged := merge(next); merged != nil {
			next.Loads = merged
		}
	})
}

// keepRegistered keeps the object instance/<name> equal to the local state. It
// writes the object again when another instance removed it.
func (m *Membership) keepRegistered(ctx context.Context) {
	var written string
	var version int64
	check := time.NewTicker(registerRetry)
	defer check.Stop()
	for ctx.Err() == nil {
		r := m.record()
		removed := m.sync.IsDeleted(kindInstance, m.self.Name, version)
		if value, err := json.Marshal(r); err == nil && (written != r.State || removed) && !m.hasLeft() {
			v, err := m.registry.Put(ctx, kindInstance, m.self.Name, value, version)
			current, conflict := platform.CurrentVersion(err)
			switch {
			case err == nil:
				written, version = r.State, v
				m.sync.Apply(platform.Object{Kind: kindInstance, Name: m.self.Name, Version: v, Value: value})
			case conflict:
				version = current
				sleep(ctx, heartbeatEvery/5)
				continue
			default:
				m.logger.Debug().Err(err).Msg("instance not registered")
				sleep(ctx, registerRetry)
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-m.register:
		case <-check.C:
		}
	}
}

func (m *Membership) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// Leave removes the object instance/<name>, which is not written again. It
// tries until ctx ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	for {
		o, err := m.registry.Get(ctx, kindInstance, m.self.Name)
		if platform.ErrNotFound.Has(err) {
			return nil
		}
		var r InstanceRecord
		if err == nil {
			if json.Unmarshal(o.Value, &r) == nil && r.Incarnation != m.self.Incarnation {
				return nil // a newer process of this name wrote it
			}
			if err = m.registry.Delete(ctx, kindInstance, m.self.Name, o.Version); err == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return err
		}
		sleep(ctx, heartbeatEvery/5)
	}
}

package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// registerInterval is the interval at which the object instance/<name> is
// checked and, after a failure, written again.
const registerInterval = 500 * time.Millisecond

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

func (m *Membership) localRecord() InstanceRecord {
	return InstanceRecord{
		Name: m.self.Name, Incarnation: m.self.Incarnation, Zone: m.self.Zone,
		PeerAddress: m.self.PeerAddress, CallerAddress: m.self.CallerAddress, State: m.State(),
	}
}

func (m *Membership) localInstance() *peerpb.Instance { return encodeInstance(m.localRecord()) }

// knownIfDifferent returns the digest of the instances that are not suspect,
// including the local one, and a list of them without the local one unless the
// peer has the same digest. Suspect ones are left out because peers would
// otherwise tell each other forever of instances that are gone.
func (m *Membership) knownIfDifferent(peerDigest uint64) ([]*peerpb.Instance, uint64) {
	digest := m.localRecord().digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.members {
		if !p.suspect {
			if p.digestedRecord != p.InstanceRecord {
				p.digestedRecord, p.recordDigest = p.InstanceRecord, p.InstanceRecord.digest()
			}
			digest += p.recordDigest
		}
	}
	if digest == peerDigest {
		return nil, digest
	}
	var out []*peerpb.Instance
	for _, p := range m.members {
		if !p.suspect {
			out = append(out, encodeInstance(p.InstanceRecord))
		}
	}
	return out, digest
}

func (r InstanceRecord) digest() uint64 {
	return digestOf(r.Name, r.Incarnation, r.Zone, r.PeerAddress, r.CallerAddress, r.State)
}

// addRegistered adds the instances whose objects appeared or changed on the
// platform.
func (m *Membership) addRegistered(now time.Time) {
	for _, o := range m.sync.Objects(kindInstance) {
		m.mu.Lock()
		seen := m.seenRecords[o.Name] >= o.Version
		m.seenRecords[o.Name] = o.Version
		m.mu.Unlock()
		var r InstanceRecord
		if !seen && json.Unmarshal(o.Value, &r) == nil && r.Name == o.Name {
			m.addReported(r, now)
		}
	}
}

// keepRegistered keeps the object instance/<name> in step with the local state
// until ctx ends. It writes the object again if another instance removed it.
func (m *Membership) keepRegistered(ctx context.Context) {
	var written string // state in the object
	var version int64
	check := time.NewTicker(registerInterval)
	defer check.Stop()
	for ctx.Err() == nil {
		r := m.localRecord()
		removed := m.sync.IsDeleted(kindInstance, m.self.Name, version)
		if (written != r.State || removed) && !m.hasLeft() {
			v, err := m.register(ctx, r, version)
			if current, conflict := platform.CurrentVersion(err); conflict {
				version = current
				sleep(ctx, heartbeatInterval/5)
				continue
			}
			if err != nil {
				m.logger.Debug().Err(err).Msg("instance not registered")
				sleep(ctx, registerInterval)
				continue
			}
			written, version = r.State, v
		}
		select {
		case <-ctx.Done():
		case <-m.stateChanged:
		case <-check.C:
		}
	}
}

// register writes the object instance/<name> if it is at version ifVersion, and
// returns its new version.
func (m *Membership) register(ctx context.Context, r InstanceRecord, ifVersion int64) (int64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	version, err := m.registry.Put(ctx, kindInstance, r.Name, value, ifVersion)
	if err != nil {
		return 0, err
	}
	m.sync.Apply(platform.Object{Kind: kindInstance, Name: r.Name, Version: version, Value: value})
	return version, nil
}

func (m *Membership) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// Leave removes the object instance/<name> and keeps it from being written
// again. It retries until ctx ends.
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
		sleep(ctx, heartbeatInterval/5)
	}
}

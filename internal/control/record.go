package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
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

// knownUnless returns the digest of the instances that answer, the local one
// included, and the others among them unless the peer has the same digest.
// Passing on instances that do not answer would keep those that are gone in
// heartbeats for ever.
func (m *Membership) knownUnless(peerHas uint64) ([]*peerpb.Instance, uint64) {
	digest := m.record().digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.members {
		if !p.suspect {
			if p.hashed != p.InstanceRecord {
				p.hashed, p.hash = p.InstanceRecord, p.InstanceRecord.digest()
			}
			digest += p.hash
		}
	}
	if digest == peerHas {
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

// keepRegistered keeps the object instance/<name> equal to the local state. It
// writes the object again when another instance removed it.
func (m *Membership) keepRegistered(ctx context.Context) {
	var written string // state in the object
	var version int64
	check := time.NewTicker(registerRetry)
	defer check.Stop()
	for ctx.Err() == nil {
		r := m.record()
		removed := m.sync.IsDeleted(kindInstance, m.self.Name, version)
		if (written != r.State || removed) && !m.hasLeft() {
			v, err := m.register(ctx, r, version)
			if current, conflict := platform.CurrentVersion(err); conflict {
				version = current
				sleep(ctx, heartbeatEvery/5)
				continue
			}
			if err != nil {
				m.logger.Debug().Err(err).Msg("instance not registered")
				sleep(ctx, registerRetry)
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

// register writes the object instance/<name> if it is at a version, and
// returns its next version.
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

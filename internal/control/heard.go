package control

import (
	"strconv"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// heard is what the last answer of a peer said, which decides what the next
// heartbeat to it leaves out.
type heard struct {
	name                   string
	versions, known, loads uint64 // digests; loads are those that the peer holds
}

// heldLoads are the loads that an instance last sent in full.
type heldLoads struct {
	digest uint64
	loads  []state.Load
}

func (m *Membership) heardFrom(address string) heard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[address]
}

func (m *Membership) hear(address string, h heard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[address] = h
}

// loadsUnless returns the digest of the local loads, and the loads unless the
// peer holds them.
func (m *Membership) loadsUnless(peerHolds uint64) ([]*peerpb.TargetLoad, uint64) {
	loads := m.pool.Loads()
	var digest uint64
	for _, l := range loads {
		digest += digestOf(l.Target, string(l.Phase), strconv.Itoa(l.Limit), strconv.Itoa(l.InFlight),
			strconv.Itoa(l.Queued), strconv.FormatInt(l.LatencyMicros, 10), l.Incarnation)
	}
	if digest == peerHolds {
		return nil, digest
	}
	return peer.EncodeLoads(loads), digest
}

// receiveLoads takes the loads in a heartbeat. A digest without a list confirms
// the loads that are held, and nothing if it is not theirs.
func (m *Membership) receiveLoads(from string, list []*peerpb.TargetLoad, digest uint64, now time.Time) {
	loads := peer.DecodeLoads(list)
	m.mu.Lock()
	if digest == 0 || len(list) > 0 {
		m.held[from] = heldLoads{digest, loads}
	} else if h := m.held[from]; h.digest == digest {
		loads = h.loads
	}
	m.mu.Unlock()
	m.takeLoads(from, loads, now)
}

func (m *Membership) heldDigest(from string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[from].digest
}

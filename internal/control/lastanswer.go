package control

import (
	"strconv"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// lastAnswer holds the name of a peer and the digests from its last answer. The
// next heartbeat to the peer omits the lists whose digest is unchanged.
type lastAnswer struct {
	name                                         string
	versionsDigest, knownDigest, heldLoadsDigest uint64 // heldLoadsDigest: of the local loads that the peer holds
}

// peerLoads are the loads that another instance last sent in full, and their
// digest as it was sent.
type peerLoads struct {
	digest uint64
	loads  []state.Load
}

func (m *Membership) lastAnswerFrom(address string) lastAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswers[address]
}

func (m *Membership) setLastAnswer(address string, answer lastAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswers[address] = answer
}

// loadsIfDifferent returns the digest of the local loads, and the loads
// themselves unless the peer holds those with the same digest.
func (m *Membership) loadsIfDifferent(peerHolds uint64) ([]*peerpb.TargetLoad, uint64) {
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

// receiveLoads processes the loads of a heartbeat. A digest without a list
// confirms the held loads of the sender if it is their digest; otherwise it
// confirms nothing.
func (m *Membership) receiveLoads(from string, list []*peerpb.TargetLoad, digest uint64, now time.Time) {
	loads := peer.DecodeLoads(list)
	m.mu.Lock()
	if digest == 0 || len(list) > 0 {
		m.heldLoads[from] = peerLoads{digest, loads}
	} else if held := m.heldLoads[from]; held.digest == digest {
		loads = held.loads
	}
	m.mu.Unlock()
	m.publishLoads(from, loads, now)
}

func (m *Membership) heldLoadsDigest(from string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldLoads[from].digest
}

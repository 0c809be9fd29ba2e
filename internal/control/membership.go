package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// otherZoneAnswerAge is the minimum age of the last answer of an instance in
	// another zone before it gets the next heartbeat. No lease depends on these
	// heartbeats, so every second one is skipped. If one gets no answer, none is
	// skipped, which leaves three attempts before the instance becomes suspect.
	otherZoneAnswerAge = heartbeatInterval * 3 / 2
	// suspectAfter is the time without an answer after which an instance
	// becomes suspect. It is also the timeout of a heartbeat.
	suspectAfter = time.Second
	// forgetAfter is how long an unresponsive instance still gets heartbeats.
	forgetAfter = time.Minute
	// pauseThreshold is the gap between two liveness checks above which the
	// local process counts as paused; peers then get another suspectAfter to
	// answer.
	pauseThreshold = 2 * heartbeatInterval
	// maxConfirmationAge is the highest age of a confirmation that is accepted
	// from a heartbeat. A higher age is sent as one just above it.
	maxConfirmationAge = time.Hour
)

// Leases grants leases to the other instances of the zone and collects what
// heartbeats say about leases, placement epochs and loads. The epochs are
// those of the local zone.
type Leases interface {
	Grant(from string, epoch int64, now time.Time) bool
	ObserveAnswer(from string, epoch int64, granted bool, sentAt time.Time)
	ObserveEpoch(from string, epoch int64, released []string, now time.Time)
	ObserveLoads(from string, loads []state.Load, now time.Time)
	Released() (epoch int64, targets []string)
}

// Registry is the part of the platform client that Membership uses to read and
// write the object instance/<name>.
type Registry interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
	Delete(ctx context.Context, kind, name string, ifVersion int64) error
}

// Pool reports the loads of the targets that this instance holds.
type Pool interface{ Loads() []state.Load }

// member is the local view of another instance, guarded by Membership.mu. It is
// suspect until it answers a heartbeat in a state after starting, and again
// when it stops answering or is stopping.
type member struct {
	InstanceRecord
	answeredAt       time.Time // last answer, or the end of a local pause
	learnedAt        time.Time // when this incarnation became known
	suspect          bool
	configVersion    int64 // highest version that it reported as in force
	pastIncarnations []string
	// recordDigest is the cached digest of digestedRecord, which may be older
	// than InstanceRecord.
	digestedRecord InstanceRecord
	recordDigest   uint64
}

// Membership exchanges heartbeats with the other instances and publishes what
// it learns of them in the Store. It also keeps the local instance registered
// with the platform. The local state goes from starting through ready and
// draining to stopping and never back. It is safe for concurrent use.
type Membership struct {
	logger     *log.Logger
	self       Self
	store      *state.Store
	peers      Peers
	sync       *Sync
	freshness  *Freshness
	leases     Leases
	pool       Pool
	registry   Registry
	roundTrips roundTrips

	mu            sync.Mutex
	state         string
	lastAnswers   map[string]lastAnswer // by peer address
	heldLoads     map[string]peerLoads  // by instance name
	members       map[string]*member    // by instance name
	seenRecords   map[string]int64      // versions of the instance objects seen, by name
	lastCheck     time.Time
	selfAddresses map[string]bool // peer addresses that lead to this instance
	left          bool            // Leave was called
	// stateChanged wakes keepRegistered to write the local state.
	stateChanged chan struct{}
}

// NewMembership returns a Membership in the state "starting".
func NewMembership(logger *log.Logger, self Self, store *state.Store, peers Peers, s *Sync, f *Freshness, leases Leases, pool Pool, registry Registry) *Membership {
	return &Membership{
		logger: logs.OrDiscard(logger), self: self, store: store, peers: peers, sync: s, freshness: f,
		leases: leases, pool: pool, registry: registry, state: StateStarting,
		members: map[string]*member{}, seenRecords: map[string]int64{}, lastAnswers: map[string]lastAnswer{}, heldLoads: map[string]peerLoads{},
		selfAddresses: map[string]bool{self.PeerAddress: true},
		stateChanged:  make(chan struct{}, 1),
	}
}

// SetState changes the local state and has heartbeats sent at once. A state
// that does not come after the current one is ignored.
func (m *Membership) SetState(s string) {
	m.mu.Lock()
	changed := isLater(m.state, s)
	if changed {
		m.state = s
	}
	m.mu.Unlock()
	if changed {
		signal(m.sync.pushDue)
		signal(m.stateChanged)
	}
}

// State returns the local state.
func (m *Membership) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { m.keepRegistered(ctx) })
	calls.Go(func() { m.removeDeadRecords(ctx) })
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	toAll := false
	for {
		m.checkLiveness(time.Now())
		m.sendHeartbeats(ctx, &calls, toAll, false)
		toAll = false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.sync.PushDue():
			toAll = true
		}
	}
}

// Refresh sends a heartbeat to all peers at once and waits for the answers.
func (m *Membership) Refresh(ctx context.Context) {
	var calls sync.WaitGroup
	m.sendHeartbeats(ctx, &calls, true, true)
	calls.Wait()
}

// sendHeartbeats starts one heartbeat to each known instance and each seed.
// Unless all is set, it skips instances of other zones that answered recently.
// With fetch, newer objects are fetched before the state counts as confirmed.
func (m *Membership) sendHeartbeats(ctx context.Context, calls *sync.WaitGroup, all, fetch bool) {
	m.mu.Lock()
	now := time.Now()
	addresses := map[string]bool{}
	for _, seed := range m.self.Seeds {
		addresses[seed] = true
	}
	for _, p := range m.members {
		addresses[p.PeerAddress] = true
		if !all && !p.suspect && p.Zone != m.self.Zone && now.Sub(p.answeredAt) < otherZoneAnswerAge {
			delete(addresses, p.PeerAddress)
		}
	}
	for address := range m.selfAddresses {
		delete(addresses, address)
	}
	m.mu.Unlock()
	for address := range addresses {
		calls.Go(func() { m.heartbeat(ctx, address, fetch) })
	}
}

func (m *Membership) heartbeat(ctx context.Context, address string, fetch bool) {
	ctx, cancel := context.WithTimeout(ctx, suspectAfter)
	defer cancel()
	epoch, _ := m.leases.Released()
	last := m.lastAnswerFrom(address)
	versions, digest := m.sync.VersionsIfDifferent(last.versionsDigest)
	known, knownDigest := m.knownIfDifferent(last.knownDigest)
	loads, loadsDigest := m.loadsIfDifferent(last.heldLoadsDigest)
	req := &peerpb.ExchangeRequest{
		From: m.localInstance(), Versions: versions, VersionsDigest: digest, PlacementEpoch: epoch,
		Loads: loads, LoadsDigest: loadsDigest, HeldLoadsDigest: m.heldLoadsDigest(last.name), Known: known, KnownDigest: knownDigest,
		FreshAgeMs: m.confirmationAge(), ConfigInForce: m.store.Load().ConfigVersion,
	}
	sentAt := time.Now()
	reply, err := m.peers.Client(address).Exchange(ctx, req)
	if err != nil || reply.GetFrom() == nil {
		m.logger.Debug().Err(err).Str("peer_address", address).Msg("heartbeat failed")
		return
	}
	now := time.Now()
	from := decodeInstance(reply.From)
	if from.Name == m.self.Name {
		m.mu.Lock()
		m.selfAddresses[address] = true
		m.mu.Unlock()
		return
	}
	if !m.updateMember(from, now, true, reply.ConfigInForce) {
		return
	}
	m.roundTrips.observe(from.Name, now.Sub(sentAt))
	m.setLastAnswer(address, lastAnswer{from.Name, reply.VersionsDigest, reply.KnownDigest, reply.HeldLoadsDigest})
	m.addKnown(reply.Known, now)
	if from.Zone == m.self.Zone {
		m.leases.ObserveAnswer(from.Name, epoch, reply.Granted, sentAt)
		m.leases.ObserveEpoch(from.Name, reply.PlacementEpoch, reply.Released, now)
	}
	m.receiveLoads(from.Name, reply.Loads, reply.LoadsDigest, now)
	// The digest of the request in the answer shows that the peer has nothing
	// newer, even if the local versions went up after the request.
	behind := (digest == 0 || reply.VersionsDigest != digest) && m.sync.ObserveVersions(address, reply.Versions, reply.VersionsDigest)
	if behind && fetch {
		m.sync.fetch(ctx, address)
		behind = m.sync.ObserveVersions(address, reply.Versions, reply.VersionsDigest)
	}
	if age := reply.FreshAgeMs; !behind && age >= 0 && age <= maxConfirmationAge.Milliseconds() {
		m.freshness.Confirm(sentAt.Add(-time.Duration(age) * time.Millisecond))
	}
}

// Exchange answers the heartbeat of another instance.
func (m *Membership) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := time.Now()
	from := decodeInstance(req.From)
	reply := &peerpb.ExchangeReply{From: m.localInstance()}
	if from.Name != m.self.Name && m.updateMember(from, now, false, req.ConfigInForce) {
		m.addKnown(req.Known, now)
		if from.Zone == m.self.Zone {
			reply.Granted = m.leases.Grant(from.Name, req.PlacementEpoch, now)
			m.leases.ObserveEpoch(from.Name, req.PlacementEpoch, nil, now)
		}
		m.receiveLoads(from.Name, req.Loads, req.LoadsDigest, now)
		reply.HeldLoadsDigest = m.heldLoadsDigest(from.Name)
		m.sync.ObserveVersions(from.PeerAddress, req.Versions, req.VersionsDigest)
	}
	reply.Versions, reply.VersionsDigest = m.sync.VersionsIfDifferent(req.VersionsDigest)
	reply.PlacementEpoch, reply.Released = m.leases.Released()
	reply.Loads, reply.LoadsDigest = m.loadsIfDifferent(req.HeldLoadsDigest)
	reply.Known, reply.KnownDigest = m.knownIfDifferent(req.KnownDigest)
	reply.FreshAgeMs = m.confirmationAge()
	reply.ConfigInForce = m.store.Load().ConfigVersion
	return reply, nil
}

// confirmationAge returns the age of the last confirmation in milliseconds. It
// is rounded up so that it never shrinks on its way from peer to peer, and
// bounded because adding to the age before the first confirmation would
// overflow.
func (m *Membership) confirmationAge() int64 {
	return min(m.freshness.Age(), maxConfirmationAge).Milliseconds() + 1
}

// updateMember applies what an instance reports of itself, with answer set if
// this came as the answer to a heartbeat rather than in a request. It returns
// false for an incomplete record and for an incarnation that is not the running
// one.
func (m *Membership) updateMember(r InstanceRecord, now time.Time, answer bool, configVersion int64) bool {
	if r.Name == "" || r.PeerAddress == "" {
		return false
	}
	m.mu.Lock()
	p, ok := m.members[r.Name]
	switch {
	case !ok:
		p = &member{InstanceRecord: r, learnedAt: now, suspect: true}
		m.members[r.Name] = p
	case p.Incarnation != r.Incarnation:
		// Only an answer shows which process runs now; a delayed request may
		// come from the previous one.
		if !p.suspect && (!answer || slices.Contains(p.pastIncarnations, r.Incarnation)) {
			m.mu.Unlock()
			return false
		}
		m.replaceIncarnation(p, r, now)
	}
	if isLater(p.State, r.State) {
		p.State = r.State
	}
	p.configVersion = max(p.configVersion, configVersion)
	if answer {
		p.answeredAt = now
		p.suspect = p.State == StateStarting
	}
	p.suspect = p.suspect || p.State == StateStopping
	m.mu.Unlock()
	m.publish()
	return true
}

// replaceIncarnation resets a member to a new incarnation and remembers the old
// one as past.
func (m *Membership) replaceIncarnation(p *member, r InstanceRecord, now time.Time) {
	m.logger.Info().Str("instance", r.Name).Str("old", p.Incarnation).Str("incarnation", r.Incarnation).
		Msg("instance restarted")
	past := append(p.pastIncarnations, p.Incarnation)
	*p = member{InstanceRecord: r, learnedAt: now, suspect: true, pastIncarnations: past[max(0, len(past)-16):]}
}

// addKnown adds the instances that a peer lists in a heartbeat.
func (m *Membership) addKnown(known []*peerpb.Instance, now time.Time) {
	for _, k := range known {
		m.addReported(decodeInstance(k), now)
	}
}

// addReported adds an instance that a peer or the platform reports. It stays
// suspect until it answers a heartbeat itself.
func (m *Membership) addReported(r InstanceRecord, now time.Time) {
	if r.Name == "" || r.Name == m.self.Name || r.PeerAddress == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members[r.Name]
	switch {
	case !ok:
		m.members[r.Name] = &member{InstanceRecord: r, learnedAt: now, suspect: true}
	case p.Incarnation == r.Incarnation:
		if isLeaving(r.State) && isLater(p.State, r.State) {
			p.State = r.State
		}
	case p.suspect && !slices.Contains(p.pastIncarnations, r.Incarnation):
		m.replaceIncarnation(p, r, now)
	}
}

// checkLiveness adds registered instances, marks unresponsive ones as suspect,
// removes those that stay so, and publishes the result and the local loads.
func (m *Membership) checkLiveness(now time.Time) {
	m.addRegistered(now)
	m.mu.Lock()
	wasPaused := !m.lastCheck.IsZero() && now.Sub(m.lastCheck) > pauseThreshold
	m.lastCheck = now
	for name, p := range m.members {
		if wasPaused && !p.suspect {
			p.answeredAt = now
		}
		if !p.suspect && now.Sub(p.answeredAt) >= suspectAfter {
			p.suspect = true
			m.logger.Warn().Str("instance", name).Str("reason", "no answer to heartbeats").Msg("instance suspect")
		}
		silence := now.Sub(p.answeredAt)
		if p.answeredAt.IsZero() {
			silence = now.Sub(p.learnedAt)
		}
		if p.suspect && (silence >= forgetAfter || isLeaving(p.State) && silence >= suspectAfter) {
			delete(m.members, name)
			delete(m.lastAnswers, p.PeerAddress)
			delete(m.heldLoads, name)
			m.roundTrips.forget(name)
		}
	}
	m.mu.Unlock()
	m.publish()
	m.publishLoads(m.self.Name, m.pool.Loads(), now)
}

// publish writes the instances to the Store if they changed.
func (m *Membership) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	instances := make(map[string]state.Instance, len(m.members))
	for name, p := range m.members {
		liveness := state.Alive
		switch {
		case p.suspect:
			liveness = state.Suspect
		case p.State == StateDraining:
			liveness = state.Draining
		}
		instances[name] = state.Instance{
			Name: name, Incarnation: p.Incarnation, Zone: p.Zone, PeerAddress: p.PeerAddress,
			CallerAddress: p.CallerAddress, Liveness: liveness, ConfigVersion: p.configVersion,
		}
	}
	if !maps.Equal(instances, m.store.Load().Instances) {
		m.store.Update(func(next *state.Snapshot) { next.Instances = instances })
	}
}

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
	heartbeatEvery = 250 * time.Millisecond
	// otherZoneAge is the age of the last answer from which an instance of
	// another zone gets the next heartbeat. No lease depends on these, so every
	// second heartbeat is left out. After one without an answer none is, which
	// leaves three attempts before the instance becomes suspect.
	otherZoneAge = heartbeatEvery * 3 / 2
	suspectAfter = time.Second
	// forgetAfter is how long an instance that does not answer gets heartbeats.
	forgetAfter = time.Minute
	// stallGap is the pause of the process after which peers get another
	// suspectAfter to answer.
	stallGap = 2 * heartbeatEvery
	// maxAge bounds the age of the last confirmation in heartbeats.
	maxAge = time.Hour
)

// Leases is told what heartbeats carry and decides about grants. The epochs
// are those of the local zone.
type Leases interface {
	Grant(from string, epoch int64, now time.Time) bool
	ObserveAnswer(from string, epoch int64, granted bool, sentAt time.Time)
	ObserveEpoch(from string, epoch int64, released []string, now time.Time)
	ObserveLoads(from string, loads []state.Load, now time.Time)
	Released() (epoch int64, targets []string)
}

// Registry is the part of the platform client that keeps instance/<name>.
type Registry interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error)
	Delete(ctx context.Context, kind, name string, ifVersion int64) error
}

// Pool reports the loads of the targets that this instance holds.
type Pool interface{ Loads() []state.Load }

// member is what is known of another instance.
type member struct {
	InstanceRecord
	answered time.Time // last answer, or the end of a local pause
	learned  time.Time
	suspect  bool
	inForce  int64
	past     []string // earlier incarnations
	// hash is the digest of hashed, which may be an earlier record.
	hashed InstanceRecord
	hash   uint64
}

// Membership exchanges heartbeats with the other instances and publishes them
// in the Store. It is safe for concurrent use.
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

	mu       sync.Mutex
	state    string
	heard    map[string]heard // by peer address
	held     map[string]heldLoads
	members  map[string]*member
	records  map[string]int64 // versions of the instance objects seen
	lastTick time.Time
	selfAt   map[string]bool // seed addresses that are this instance
	left     bool            // Leave was called
	// stateChanged has keepRegistered write the local state.
	stateChanged chan struct{}
}

// NewMembership returns a Membership in the state "starting".
func NewMembership(logger *log.Logger, self Self, store *state.Store, peers Peers, s *Sync, f *Freshness, leases Leases, pool Pool, registry Registry) *Membership {
	return &Membership{
		logger: logs.OrDiscard(logger), self: self, store: store, peers: peers, sync: s, freshness: f,
		leases: leases, pool: pool, registry: registry, state: StateStarting,
		members: map[string]*member{}, records: map[string]int64{}, heard: map[string]heard{}, held: map[string]heldLoads{},
		selfAt:       map[string]bool{self.PeerAddress: true},
		stateChanged: make(chan struct{}, 1),
	}
}

// SetState changes the local state; an earlier one is not taken. The peers are
// told at once.
func (m *Membership) SetState(s string) {
	m.mu.Lock()
	changed := isLater(m.state, s)
	if changed {
		m.state = s
	}
	m.mu.Unlock()
	if changed {
		signal(m.sync.push)
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
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	pushed := false
	for {
		m.tick(time.Now())
		m.round(ctx, &calls, pushed, false)
		pushed = false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.sync.Push():
			pushed = true
		}
	}
}

// Refresh asks all peers once and waits for their answers.
func (m *Membership) Refresh(ctx context.Context) {
	var calls sync.WaitGroup
	m.round(ctx, &calls, true, true)
	calls.Wait()
}

// round sends one heartbeat to each known instance and unknown seed. Without
// all, those of other zones that answered recently are left out. With fetch,
// newer objects are fetched before the state counts as confirmed.
func (m *Membership) round(ctx context.Context, calls *sync.WaitGroup, all, fetch bool) {
	m.mu.Lock()
	now := time.Now()
	addresses := map[string]bool{}
	for _, seed := range m.self.Seeds {
		addresses[seed] = true
	}
	for _, p := range m.members {
		addresses[p.PeerAddress] = true
		if !all && !p.suspect && p.Zone != m.self.Zone && now.Sub(p.answered) < otherZoneAge {
			delete(addresses, p.PeerAddress)
		}
	}
	for address := range m.selfAt {
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
	last := m.heardFrom(address)
	versions, digest := m.sync.VersionsUnless(last.versions)
	known, knownDigest := m.knownUnless(last.known)
	loads, loadsDigest := m.loadsUnless(last.loads)
	req := &peerpb.ExchangeRequest{
		From: m.describe(), Versions: versions, VersionsDigest: digest, PlacementEpoch: epoch,
		Loads: loads, LoadsDigest: loadsDigest, HeldLoadsDigest: m.heldDigest(last.name), Known: known, KnownDigest: knownDigest,
		FreshAgeMs: m.freshAge(), ConfigInForce: m.store.Load().ConfigVersion,
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
		m.selfAt[address] = true
		m.mu.Unlock()
		return
	}
	if !m.learn(from, now, true, reply.ConfigInForce) {
		return
	}
	m.roundTrips.observe(from.Name, now.Sub(sentAt))
	m.hear(address, heard{from.Name, reply.VersionsDigest, reply.KnownDigest, reply.HeldLoadsDigest})
	m.learnKnown(reply.Known, now)
	if from.Zone == m.self.Zone {
		m.leases.ObserveAnswer(from.Name, epoch, reply.Granted, sentAt)
		m.leases.ObserveEpoch(from.Name, reply.PlacementEpoch, reply.Released, now)
	}
	m.receiveLoads(from.Name, reply.Loads, reply.LoadsDigest, now)
	// The same digest as in the question shows that nothing is newer, even if
	// the local versions went up since.
	behind := (digest == 0 || reply.VersionsDigest != digest) && m.sync.Observe(address, reply.Versions, reply.VersionsDigest)
	if behind && fetch {
		m.sync.fetch(ctx, address)
		behind = m.sync.Observe(address, reply.Versions, reply.VersionsDigest)
	}
	if age := reply.FreshAgeMs; !behind && age >= 0 && age <= maxAge.Milliseconds() {
		m.freshness.Confirm(sentAt.Add(-time.Duration(age) * time.Millisecond))
	}
}

// Exchange answers the heartbeat of another instance.
func (m *Membership) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := time.Now()
	from := decodeInstance(req.From)
	reply := &peerpb.ExchangeReply{From: m.describe()}
	if from.Name != m.self.Name && m.learn(from, now, false, req.ConfigInForce) {
		m.learnKnown(req.Known, now)
		if from.Zone == m.self.Zone {
			reply.Granted = m.leases.Grant(from.Name, req.PlacementEpoch, now)
			m.leases.ObserveEpoch(from.Name, req.PlacementEpoch, nil, now)
		}
		m.receiveLoads(from.Name, req.Loads, req.LoadsDigest, now)
		reply.HeldLoadsDigest = m.heldDigest(from.Name)
		m.sync.Observe(from.PeerAddress, req.Versions, req.VersionsDigest)
	}
	reply.Versions, reply.VersionsDigest = m.sync.VersionsUnless(req.VersionsDigest)
	reply.PlacementEpoch, reply.Released = m.leases.Released()
	reply.Loads, reply.LoadsDigest = m.loadsUnless(req.HeldLoadsDigest)
	reply.Known, reply.KnownDigest = m.knownUnless(req.KnownDigest)
	reply.FreshAgeMs = m.freshAge()
	reply.ConfigInForce = m.store.Load().ConfigVersion
	return reply, nil
}

// freshAge returns the age of the last confirmation in milliseconds, rounded
// up, so that passing it around never makes it younger. The age before the
// first confirmation is bounded, since adding to it would overflow.
func (m *Membership) freshAge() int64 {
	return min(m.freshness.Age(), maxAge).Milliseconds() + 1
}

// learn notes what an instance said of itself, as an answer to a heartbeat or
// in a request. It returns false for an incarnation that is not the running one.
func (m *Membership) learn(r InstanceRecord, now time.Time, answer bool, inForce int64) bool {
	if r.Name == "" || r.PeerAddress == "" {
		return false
	}
	m.mu.Lock()
	p, ok := m.members[r.Name]
	switch {
	case !ok:
		p = &member{InstanceRecord: r, learned: now, suspect: true}
		m.members[r.Name] = p
	case p.Incarnation != r.Incarnation:
		// Only an answer shows which process runs now; a late request may
		// come from the one before.
		if !p.suspect && (!answer || slices.Contains(p.past, r.Incarnation)) {
			m.mu.Unlock()
			return false
		}
		m.replace(p, r, now)
	}
	if isLater(p.State, r.State) {
		p.State = r.State
	}
	p.inForce = max(p.inForce, inForce)
	if answer {
		p.answered = now
		p.suspect = p.State == StateStarting
	}
	p.suspect = p.suspect || p.State == StateStopping
	m.mu.Unlock()
	m.publish()
	return true
}

// replace puts a new incarnation in the place of an old one.
func (m *Membership) replace(p *member, r InstanceRecord, now time.Time) {
	m.logger.Info().Str("instance", r.Name).Str("old", p.Incarnation).Str("incarnation", r.Incarnation).
		Msg("instance restarted")
	past := append(p.past, p.Incarnation)
	*p = member{InstanceRecord: r, learned: now, suspect: true, past: past[max(0, len(past)-16):]}
}

// learnKnown adds instances that another one knows. They count as alive only
// after they answered.
func (m *Membership) learnKnown(known []*peerpb.Instance, now time.Time) {
	for _, k := range known {
		m.learnIndirect(decodeInstance(k), now)
	}
}

func (m *Membership) learnIndirect(r InstanceRecord, now time.Time) {
	if r.Name == "" || r.Name == m.self.Name || r.PeerAddress == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members[r.Name]
	switch {
	case !ok:
		m.members[r.Name] = &member{InstanceRecord: r, learned: now, suspect: true}
	case p.Incarnation == r.Incarnation:
		if isLeaving(r.State) && isLater(p.State, r.State) {
			p.State = r.State
		}
	case p.suspect && !slices.Contains(p.past, r.Incarnation):
		m.replace(p, r, now)
	}
}

// tick updates the liveness of the instances and the local loads.
func (m *Membership) tick(now time.Time) {
	m.learnRecords(now)
	m.mu.Lock()
	stalled := !m.lastTick.IsZero() && now.Sub(m.lastTick) > stallGap
	m.lastTick = now
	for name, p := range m.members {
		if stalled && !p.suspect {
			p.answered = now
		}
		if !p.suspect && now.Sub(p.answered) >= suspectAfter {
			p.suspect = true
			m.logger.Warn().Str("instance", name).Str("reason", "no answer to heartbeats").Msg("instance suspect")
		}
		silent := now.Sub(p.answered)
		if p.answered.IsZero() {
			silent = now.Sub(p.learned)
		}
		if p.suspect && (silent >= forgetAfter || isLeaving(p.State) && silent >= suspectAfter) {
			delete(m.members, name)
			delete(m.heard, p.PeerAddress)
			delete(m.held, name)
			m.roundTrips.forget(name)
		}
	}
	m.mu.Unlock()
	m.publish()
	m.takeLoads(m.self.Name, m.pool.Loads(), now)
}

// publish puts the instances into the Store if they changed.
func (m *Membership) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	instances := make(map[string]state.Instance, len(m.members))
	for name, p := range m.members {
		live := state.Alive
		switch {
		case p.suspect:
			live = state.Suspect
		case p.State == StateDraining:
			live = state.Draining
		}
		instances[name] = state.Instance{
			Name: name, Incarnation: p.Incarnation, Zone: p.Zone, PeerAddress: p.PeerAddress,
			CallerAddress: p.CallerAddress, Liveness: live, ConfigVersion: p.inForce,
		}
	}
	if !maps.Equal(instances, m.store.Load().Instances) {
		m.store.Update(func(next *state.Snapshot) { next.Instances = instances })
	}
}

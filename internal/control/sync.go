package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// watchWait is how long a watch waits. An idle reader makes one call in
	// this time, and each answer confirms the state.
	watchWait = time.Second
	// readersPerZone is the number of instances of a zone that watch.
	readersPerZone = 2
	// backoffMin and backoffMax bound the pause after a failed watch.
	backoffMin = 100 * time.Millisecond
	backoffMax = time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
)

// Platform is the part of the platform client that Sync uses.
type Platform interface {
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
	Watch(ctx context.Context, kind string, since int64, wait time.Duration) ([]platform.Object, int64, error)
}

type objectKey struct{ kind, name string }

// Sync keeps the shared objects at their highest known version, from the
// platform or from peers, and publishes them in the Store. It is safe for
// concurrent use.
type Sync struct {
	logger    *log.Logger
	self      Self
	store     *state.Store
	platform  Platform
	peers     Peers
	freshness *Freshness
	push      chan struct{}
	wake      chan struct{}

	mu      sync.Mutex
	objects map[objectKey]platform.Object
	digest  uint64 // of the versions in objects
	// rejected holds versions that could not be decoded. They are neither
	// used nor asked for again.
	rejected map[objectKey]int64
	behind   map[string]bool // addresses of peers that know newer versions
}

// NewSync returns a Sync that knows nothing yet.
func NewSync(logger *log.Logger, self Self, store *state.Store, p Platform, peers Peers, f *Freshness) *Sync {
	return &Sync{
		logger: logs.OrDiscard(logger), self: self, store: store, platform: p, peers: peers, freshness: f,
		push: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		objects: map[objectKey]platform.Object{}, rejected: map[objectKey]int64{}, behind: map[string]bool{},
	}
}

// Push is signalled when the peers should hear of a change at once.
func (s *Sync) Push() <-chan struct{} { return s.push }

// Apply publishes an object unless its version is known already, and has the
// peers told.
func (s *Sync) Apply(o platform.Object) {
	if s.apply(o) {
		signal(s.push)
	}
}

func (s *Sync) apply(o platform.Object) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{o.Kind, o.Name}
	if o.Version <= max(s.objects[key].Version, s.rejected[key]) {
		return false
	}
	f, err := change(o)
	if err != nil {
		s.rejected[key] = o.Version
		s.logger.Error().Err(err).Str("kind", o.Kind).Str("name", o.Name).Int64("version", o.Version).
			Int64("in_force", s.objects[key].Version).Msg("object not taken")
		return false
	}
	o.Value = slices.Clone(o.Value)
	s.digest += versionHash(key, o.Version) - versionHash(key, s.objects[key].Version)
	s.objects[key] = o
	if f != nil {
		s.store.Update(f)
	}
	if o.Kind == kindConfig {
		s.logger.Info().Int64("version", o.Version).Msg("configuration in force")
	}
	return true
}

// applyList publishes a whole list of the platform's kinds at a revision.
// What the list lacks was deleted, unless it is newer than the list.
func (s *Sync) applyList(items []platform.Object, revision int64) {
	listed := map[objectKey]bool{}
	changed := false
	for _, o := range items {
		listed[objectKey{o.Kind, o.Name}] = true
		changed = s.apply(o) || changed
	}
	s.mu.Lock()
	var gone []objectKey
	for key, o := range s.objects {
		if isPlatformKind(key.kind) && !listed[key] && !o.Deleted && o.Version < revision {
			gone = append(gone, key)
		}
	}
	s.mu.Unlock()
	for _, key := range gone {
		changed = s.apply(platform.Object{Kind: key.kind, Name: key.name, Version: revision, Deleted: true}) || changed
	}
	if changed {
		signal(s.push)
	}
}

func isPlatformKind(kind string) bool {
	return slices.Contains(strings.Split(platformKinds, ","), kind)
}

// Objects returns the objects of a kind that are not deleted.
func (s *Sync) Objects(kind string) []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, o := range s.objects {
		if key.kind == kind && !o.Deleted {
			out = append(out, o)
		}
	}
	return out
}

// IsDeleted reports whether an object is known to be deleted after a version.
func (s *Sync) IsDeleted(kind, name string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[objectKey{kind, name}]
	return o.Deleted && o.Version > version
}

// Fetch serves the objects that the caller has in a lower version or not.
func (s *Sync) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	have := make(map[objectKey]int64, len(req.Have))
	for _, v := range req.Have {
		have[objectKey{v.Kind, v.Name}] = v.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.FetchReply{}
	for key, o := range s.objects {
		if o.Version > have[key] {
			reply.Objects = append(reply.Objects, &peerpb.Object{
				Kind: key.kind, Name: key.name, Version: o.Version, Value: o.Value, Deleted: o.Deleted,
			})
		}
	}
	return reply, nil
}

// Run watches the platform while this instance is a watch reader, and fetches
// from peers that know more. It returns when ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.watch(ctx) })
	fetching := map[string]bool{}
	done := make(chan string)
	for {
		s.mu.Lock()
		for address := range s.behind {
			if !fetching[address] {
				delete(s.behind, address)
				fetching[address] = true
				work.Go(func() {
					s.fetch(ctx, address)
					select {
					case done <- address:
					case <-ctx.Done():
					}
				})
			}
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case address := <-done:
			delete(fetching, address)
		}
	}
}

// fetch gets what a peer knows in higher versions. A failed fetch is repeated
// after the next heartbeat.
func (s *Sync) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := s.peers.Client(address).Fetch(ctx, &peerpb.FetchRequest{Have: s.have()})
	if err != nil {
		s.logger.Debug().Err(err).Str("peer_address", address).Msg("fetch failed")
		return
	}
	for _, o := range reply.Objects {
		s.apply(platform.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: json.RawMessage(o.Value), Deleted: o.Deleted})
	}
}

// have returns the versions that need not be sent again.
func (s *Sync) have() []*peerpb.ObjectVersion {
	versions := s.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, v := range s.rejected {
		versions = append(versions, &peerpb.ObjectVersion{Kind: key.kind, Name: key.name, Version: v})
	}
	return versions
}

// Refresh reads the platform once and confirms the state.
func (s *Sync) Refresh(ctx context.Context) { _, _ = s.list(ctx) }

func (s *Sync) list(ctx context.Context) (int64, error) {
	sentAt := time.Now()
	items, revision, err := s.platform.List(ctx, platformKinds)
	if err != nil {
		return 0, err
	}
	s.applyList(items, revision)
	s.freshness.Confirm(sentAt)
	return revision, nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

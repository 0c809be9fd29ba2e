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
	// watchWait is how long the platform may hold a watch call without changes.
	// A reader makes one call in this time while nothing changes, and each
	// answer confirms the state.
	watchWait = time.Second
	// readersPerZone is the number of instances of a zone that watch the
	// platform.
	readersPerZone = 2
	// backoffMin and backoffMax are the limits of the pause after a failed
	// watch.
	backoffMin = 100 * time.Millisecond
	backoffMax = time.Second
	// fetchTimeout is the timeout of one fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
)

// Platform is the part of the platform client that Sync uses.
type Platform interface {
	List(ctx context.Context, kind string) ([]platform.Object, int64, error)
	Watch(ctx context.Context, kind string, since int64, wait time.Duration) ([]platform.Object, int64, error)
}

type objectKey struct{ kind, name string }

// Sync keeps the shared objects at the highest version that the platform or a
// peer has shown, and publishes them in the Store. It is safe for concurrent
// use.
type Sync struct {
	logger    *log.Logger
	self      Self
	store     *state.Store
	platform  Platform
	peers     Peers
	freshness *Freshness
	pushDue   chan struct{} // see PushDue
	fetchDue  chan struct{} // wakes Run after an addition to peersAhead

	mu             sync.Mutex
	objects        map[objectKey]platform.Object
	versionsDigest uint64 // of the versions in objects
	// rejected holds the versions that could not be decoded. They are neither
	// used nor fetched again.
	rejected   map[objectKey]int64
	peersAhead map[string]bool // addresses of peers that know newer versions
}

// NewSync returns a Sync without any object.
func NewSync(logger *log.Logger, self Self, store *state.Store, p Platform, peers Peers, f *Freshness) *Sync {
	return &Sync{
		logger: logs.OrDiscard(logger), self: self, store: store, platform: p, peers: peers, freshness: f,
		pushDue: make(chan struct{}, 1), fetchDue: make(chan struct{}, 1),
		objects: map[objectKey]platform.Object{}, rejected: map[objectKey]int64{}, peersAhead: map[string]bool{},
	}
}

// PushDue is signalled when a change is to be sent to all peers without waiting
// for the next heartbeat.
func (s *Sync) PushDue() <-chan struct{} { return s.pushDue }

// Apply publishes an object in the Store and to the peers, unless this or a
// higher version is known.
func (s *Sync) Apply(o platform.Object) {
	if s.apply(o) {
		signal(s.pushDue)
	}
}

// apply publishes an object in the Store. It returns false if this or a higher
// version is known, or if the object cannot be decoded.
func (s *Sync) apply(o platform.Object) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{o.Kind, o.Name}
	if o.Version <= max(s.objects[key].Version, s.rejected[key]) {
		return false
	}
	update, err := snapshotChange(o)
	if err != nil {
		s.rejected[key] = o.Version
		s.logger.Error().Err(err).Str("kind", o.Kind).Str("name", o.Name).Int64("version", o.Version).
			Int64("in_force", s.objects[key].Version).Msg("object not taken")
		return false
	}
	o.Value = slices.Clone(o.Value)
	s.versionsDigest += versionHash(key, o.Version) - versionHash(key, s.objects[key].Version)
	s.objects[key] = o
	if update != nil {
		s.store.Update(update)
	}
	if o.Kind == kindConfig {
		s.logger.Info().Int64("version", o.Version).Msg("configuration in force")
	}
	return true
}

// applyList publishes a complete list of the objects of platformKinds at a
// revision. A known object that is missing from the list was deleted, unless
// it is newer than the list.
func (s *Sync) applyList(items []platform.Object, revision int64) {
	listed := map[objectKey]bool{}
	changed := false
	for _, o := range items {
		listed[objectKey{o.Kind, o.Name}] = true
		changed = s.apply(o) || changed
	}
	s.mu.Lock()
	var deleted []objectKey
	for key, o := range s.objects {
		if isPlatformKind(key.kind) && !listed[key] && !o.Deleted && o.Version < revision {
			deleted = append(deleted, key)
		}
	}
	s.mu.Unlock()
	for _, key := range deleted {
		changed = s.apply(platform.Object{Kind: key.kind, Name: key.name, Version: revision, Deleted: true}) || changed
	}
	if changed {
		signal(s.pushDue)
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

// Fetch answers a peer with the objects that it lacks or has in a lower
// version.
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

// Run watches the platform while this instance is a reader, and fetches newer
// versions from the peers that have them. It returns when ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { s.watch(ctx) })
	fetching := map[string]bool{}
	done := make(chan string)
	for {
		s.mu.Lock()
		for address := range s.peersAhead {
			if !fetching[address] {
				delete(s.peersAhead, address)
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
		case <-s.fetchDue:
		case address := <-done:
			delete(fetching, address)
		}
	}
}

// fetch gets the objects that a peer has in higher versions. A failed fetch is
// repeated after the next heartbeat.
func (s *Sync) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := s.peers.Client(address).Fetch(ctx, &peerpb.FetchRequest{Have: s.versionsHeld()})
	if err != nil {
		s.logger.Debug().Err(err).Str("peer_address", address).Msg("fetch failed")
		return
	}
	for _, o := range reply.Objects {
		s.apply(platform.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: json.RawMessage(o.Value), Deleted: o.Deleted})
	}
}

// versionsHeld returns the versions that a peer need not send: the known and
// the rejected ones.
func (s *Sync) versionsHeld() []*peerpb.ObjectVersion {
	versions := s.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, v := range s.rejected {
		versions = append(versions, &peerpb.ObjectVersion{Kind: key.kind, Name: key.name, Version: v})
	}
	return versions
}

// Refresh lists the platform's objects once, which confirms the state.
func (s *Sync) Refresh(ctx context.Context) { _, _ = s.listPlatform(ctx) }

func (s *Sync) listPlatform(ctx context.Context) (int64, error) {
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

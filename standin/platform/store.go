// Package platform is a test stand-in for the users' platform: an in-memory
// object API with conditional updates and watches, and an instance list that
// lags. It is never shipped.
package platform

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"
)

// maxTombstones bounds the number of deleted objects that a watch can still report.
const maxTombstones = 10000

// Errors of the store.
var (
	errConflict = errors.New("version conflict")
	errNotFound = errors.New("not found")
	errGone     = errors.New("revision is too old")
)

// Object is a stored object. Its version is the revision of its last change.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

type objectKey struct{ kind, name string }

// store keeps the objects. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision int64 // number of changes so far
	// oldestWatchable is the oldest revision after which no change is missing.
	oldestWatchable int64
	objects         map[objectKey]Object
	deleted         []objectKey   // in order of deletion
	changed         chan struct{} // closed and replaced by wakeWatchesLocked
}

func newStore() *store {
	return &store{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok || o.Deleted {
		return Object{}, errNotFound
	}
	return o, nil
}

// put stores the value if the object is at ifVersion, where 0 means that it
// must not exist. It returns the new version, or errConflict and the current one.
func (s *store) put(kind, name string, value json.RawMessage, ifVersion int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{kind, name}
	if current := s.versionLocked(k); current != ifVersion {
		return current, errConflict
	}
	s.revision++
	s.objects[k] = Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.wakeWatchesLocked()
	return s.revision, nil
}

func (s *store) remove(kind, name string, ifVersion int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{kind, name}
	current := s.versionLocked(k)
	if current == 0 {
		return 0, errNotFound
	}
	if current != ifVersion {
		return current, errConflict
	}
	s.revision++
	s.objects[k] = Object{Kind: kind, Name: name, Version: s.revision, Deleted: true}
	s.deleted = append(s.deleted, k)
	if len(s.deleted) > maxTombstones {
		s.dropTombstonesLocked(len(s.deleted) - maxTombstones)
	}
	s.wakeWatchesLocked()
	return s.revision, nil
}

func (s *store) versionLocked(k objectKey) int64 {
	if o, ok := s.objects[k]; ok && !o.Deleted {
		return o.Version
	}
	return 0
}

func (s *store) dropTombstonesLocked(n int) {
	for _, k := range s.deleted[:n] {
		if o := s.objects[k]; o.Deleted {
			s.oldestWatchable = max(s.oldestWatchable, o.Version)
			delete(s.objects, k)
		}
	}
	s.deleted = slices.Clone(s.deleted[n:])
}

// compact makes every revision before the current one too old to watch from.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropTombstonesLocked(len(s.deleted))
	s.oldestWatchable = s.revision
	s.wakeWatchesLocked()
}

func (s *store) list(kinds []string) ([]Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectLocked(kinds, 0, false), s.revision
}

// changesSince returns the changes after a revision, the current revision, and a
// channel that is closed at the next change or wakeWatches.
func (s *store) changesSince(kinds []string, revision int64) ([]Object, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.oldestWatchable || revision > s.revision {
		return nil, s.revision, nil, errGone
	}
	return s.selectLocked(kinds, revision, true), s.revision, s.changed, nil
}

func (s *store) selectLocked(kinds []string, after int64, withDeleted bool) []Object {
	items := []Object{}
	for k, o := range s.objects {
		if slices.Contains(kinds, k.kind) && o.Version > after && (withDeleted || !o.Deleted) {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return int(a.Version - b.Version) })
	return items
}

// wakeWatches makes the waiting watches check the faults again.
func (s *store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWatchesLocked()
}

func (s *store) wakeWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

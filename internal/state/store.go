package state

import (
	"sync"
	"sync/atomic"
)

// Store holds the current Snapshot. Load never blocks; Update serializes
// writers. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewStore returns a Store with an empty Snapshot.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(&Snapshot{
		ShardMaps:  map[string]ShardMap{},
		Targets:    map[string]Target{},
		Instances:  map[string]Instance{},
		Placements: map[string]Placement{},
		Loads:      map[string]Load{},
	})
	return s
}

// Load returns the current Snapshot, which the reader must not change.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Update calls change with a shallow copy of the current Snapshot and makes the
// copy current. change must replace the maps and slices that it alters, since
// readers share the ones that it is given.
func (s *Store) Update(change func(next *Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	change(&next)
	s.current.Store(&next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next Update.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

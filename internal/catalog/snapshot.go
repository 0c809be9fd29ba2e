package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is one consistent view. It is immutable.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config *Config
	// ReplicasKnown is set once the list of replicas was read.
	ReplicasKnown bool
	replicas      map[string]Replica
	byService     map[string][]Replica
	evacuated     map[string]bool
	// Daemons are the names of the daemons that share the replicas; nil until
	// their list was read.
	Daemons []string
	// Registered are the daemons by name.
	Registered map[string]Daemon
	// PeakDaemons is the largest number of daemons that were listed at once. An
	// instance that stops for a restart is back within seconds.
	PeakDaemons int
}

// Replicas returns the listed replicas of a service, in the order of their IDs.
func (s *Snapshot) Replicas(service string) []Replica { return s.byService[service] }

// Replica returns a listed replica.
func (s *Snapshot) Replica(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// Count returns the number of listed replicas.
func (s *Snapshot) Count() int { return len(s.replicas) }

// IsEvacuated reports whether nothing may be sent to a zone.
func (s *Snapshot) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// Evacuated returns the evacuated zones in their order.
func (s *Snapshot) Evacuated() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// Store publishes snapshots. Load never blocks; writers exclude each other.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// returned holds the replicas of a zone as cold for a while after its
	// evacuation, until their reports tell whether they are.
	returnHold time.Duration
}

// NewStore returns a Store with an empty Snapshot. returnHold is how long the
// replicas of a zone count as cold after its evacuation has ended.
func NewStore(returnHold time.Duration) *Store {
	s := &Store{returnHold: returnHold}
	s.current.Store(&Snapshot{replicas: map[string]Replica{}, evacuated: map[string]bool{}})
	return s
}

// Load returns the current Snapshot.
func (s *Store) Load() *Snapshot { return s.current.Load() }

func (s *Store) update(change func(next *Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	change(&next)
	s.current.Store(&next)
}

// SetConfig puts a configuration in force if its version is newer than the
// present one, and reports whether it did.
func (s *Store) SetConfig(c *Config) bool {
	applied := false
	s.update(func(next *Snapshot) {
		if next.Config == nil || c.Version > next.Config.Version {
			next.Config, applied = c, true
		}
	})
	return applied
}

// UpdateReplicas changes the set of replicas. The function gets a copy that it
// may change; its reports are to be merged with Merge.
func (s *Store) UpdateReplicas(change func(replicas map[string]Replica)) {
	s.update(func(next *Snapshot) {
		replicas := maps.Clone(next.replicas)
		change(replicas)
		next.setReplicas(replicas)
		next.ReplicasKnown = true
	})
}

// Merge adds a report to a set of replicas and reports whether it changed.
func Merge(replicas map[string]Replica, report Replica) bool {
	old, known := replicas[report.ID]
	if !known {
		replicas[report.ID] = report
		return true
	}
	merged := old.merge(report)
	replicas[report.ID] = merged
	return merged != old
}

func (s *Snapshot) setReplicas(replicas map[string]Replica) {
	s.replicas = replicas
	s.byService = map[string][]Replica{}
	for _, id := range slices.Sorted(maps.Keys(replicas)) {
		r := replicas[id]
		s.byService[r.Service] = append(s.byService[r.Service], r)
	}
}

// SetEvacuated replaces the set of evacuated zones.
func (s *Store) SetEvacuated(zones map[string]bool, now time.Time) {
	s.update(func(next *Snapshot) {
		old := next.evacuated
		next.evacuated = maps.Clone(zones)
		replicas := maps.Clone(next.replicas)
		for id, r := range replicas {
			if until := now.Add(s.returnHold); old[r.Zone] && !zones[r.Zone] && r.ColdUntil.Before(until) {
				r.ColdUntil = until
				replicas[id] = r
			}
		}
		next.setReplicas(replicas)
	})
}

// Daemon is one instance as it has registered.
type Daemon struct {
	// Address is that for other instances, IP:port.
	Address string
	Zone    string
}

// SetDaemons replaces the list of daemons.
func (s *Store) SetDaemons(daemons map[string]Daemon) {
	s.update(func(next *Snapshot) {
		next.Registered = maps.Clone(daemons)
		next.Daemons = slices.Sorted(maps.Keys(daemons))
		next.PeakDaemons = max(next.PeakDaemons, len(daemons))
	})
}

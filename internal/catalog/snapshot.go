package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Snapshot is a consistent view of the configuration, the replicas, the evacuated
// zones and the instances. It is immutable; a Store replaces it as a whole.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config *Config
	// ReplicasKnown is set once the list of replicas has been read.
	ReplicasKnown bool
	replicas      map[string]Replica
	byService     map[string][]Replica
	departed      map[string]departedReplica // by ID
	evacuated     map[string]bool
	// InstanceNames are the sorted names of the instances that share the replicas; nil
	// until their list has been read.
	InstanceNames []string
	// Instances are the same instances by name, with what they registered.
	Instances map[string]Instance
	// PeakInstances is the largest number of instances that were listed at once.
	// Shares are computed from it, because an instance that stops for a restart
	// is back within seconds.
	PeakInstances int
}

// Replicas returns the listed replicas of a service, in the order of their IDs.
func (s *Snapshot) Replicas(service string) []Replica { return s.byService[service] }

// Replica returns a listed replica.
func (s *Snapshot) Replica(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// departedReplica is a replica that is no longer listed, since a time.
type departedReplica struct {
	Replica
	since time.Time
}

// departedMemory is how long replicas are remembered that are no longer listed. It is
// longer than instances differ in what they know of the list.
const departedMemory = 5 * time.Second

// RecentReplicas returns the replicas of a service that are listed or were until shortly
// before now.
func (s *Snapshot) RecentReplicas(service string, now time.Time) []Replica {
	list := slices.Clone(s.byService[service])
	for _, d := range s.departed {
		if _, listed := s.replicas[d.ID]; !listed && d.Service == service && now.Sub(d.since) < departedMemory {
			list = append(list, d.Replica)
		}
	}
	return list
}

// ReplicaCount returns the number of listed replicas.
func (s *Snapshot) ReplicaCount() int { return len(s.replicas) }

// IsEvacuated reports whether a zone is evacuated, so that nothing may be sent to it.
func (s *Snapshot) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// Evacuated returns the evacuated zones, sorted.
func (s *Snapshot) Evacuated() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// Store holds the current Snapshot. It is safe for concurrent use: Load never blocks,
// and changes are made one at a time.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// returnColdTime is how long the replicas of a zone count as cold after its
	// evacuation. By then, their reports say whether they are.
	returnColdTime time.Duration
}

// NewStore returns a Store with an empty Snapshot. returnColdTime is how long the
// replicas of a zone count as cold after its evacuation has ended.
func NewStore(returnColdTime time.Duration) *Store {
	s := &Store{returnColdTime: returnColdTime}
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

// SetConfig puts a configuration in force if its version is newer than that of the
// current one, and reports whether it did.
func (s *Store) SetConfig(c *Config) bool {
	applied := false
	s.update(func(next *Snapshot) {
		if next.Config == nil || c.Version > next.Config.Version {
			next.Config, applied = c, true
		}
	})
	return applied
}

// UpdateReplicas changes the set of replicas. change gets a copy of the set, by ID,
// and may modify it. It has to add reports with Merge.
func (s *Store) UpdateReplicas(change func(replicas map[string]Replica)) {
	s.update(func(next *Snapshot) {
		replicas := maps.Clone(next.replicas)
		change(replicas)
		next.rememberDeparted(replicas, time.Now())
		next.setReplicas(replicas)
		next.ReplicasKnown = true
	})
}

// rememberDeparted records which of the listed replicas are not in the next list.
func (s *Snapshot) rememberDeparted(next map[string]Replica, now time.Time) {
	departed := maps.Clone(s.departed)
	maps.DeleteFunc(departed, func(_ string, d departedReplica) bool { return now.Sub(d.since) >= departedMemory })
	for id, r := range s.replicas {
		if _, listed := next[id]; !listed {
			if departed == nil {
				departed = map[string]departedReplica{}
			}
			departed[id] = departedReplica{r, now}
		}
	}
	s.departed = departed
}

// Merge merges a report into a set of replicas and reports whether the set changed.
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

// SetEvacuated replaces the set of evacuated zones. Replicas in zones that are no
// longer evacuated count as cold until their reports say whether they are.
func (s *Store) SetEvacuated(zones map[string]bool, now time.Time) {
	s.update(func(next *Snapshot) {
		old := next.evacuated
		next.evacuated = maps.Clone(zones)
		replicas := maps.Clone(next.replicas)
		for id, r := range replicas {
			if until := now.Add(s.returnColdTime); old[r.Zone] && !zones[r.Zone] && r.ColdUntil.Before(until) {
				r.ColdUntil = until
				replicas[id] = r
			}
		}
		next.setReplicas(replicas)
	})
}

// Instance is what one instance has registered in the store.
type Instance struct {
	// Address is where other instances reach it, IP:port.
	Address string
	Zone    string
	// Capacity is the processor time that the instance has, in cores; 0 if unknown.
	Capacity float64
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(instances map[string]Instance) {
	s.update(func(next *Snapshot) {
		next.Instances = maps.Clone(instances)
		next.InstanceNames = slices.Sorted(maps.Keys(instances))
		next.PeakInstances = max(next.PeakInstances, len(instances))
	})
}

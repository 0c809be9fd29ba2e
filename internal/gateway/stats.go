package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// replyLoadValidity is how long a load that came with a reply replaces the
	// one in the snapshot, which lags by up to a few heartbeats.
	replyLoadValidity = 500 * time.Millisecond
	// exploreInterval is how often an entry prefers a cold replica to a warm one.
	// Otherwise a replica that is slow while cold would never get the requests
	// that warm it up.
	exploreInterval = time.Second
	// missingSnapshotValidity is how long a replica that replied that it lacks an
	// index snapshot is assumed to lack it.
	missingSnapshotValidity = 5 * time.Second
)

// Stats are the observations of one entry: latencies by service, and the requests
// in flight, recent load and missing index snapshots of targets. All methods are
// safe for concurrent use, and lock-free for names that are already known.
type Stats struct {
	services         sync.Map // from service name to *Latency
	searches         Latency  // of all search sub-requests
	targets          sync.Map // from target name to *targetStats
	missingSnapshots sync.Map // from missingSnapshotKey to the Unix nanoseconds at which it expires
	roundRobin       atomic.Uint64
}

type missingSnapshotKey struct{ target, incarnation, snapshot string }

type targetStats struct {
	inFlight   atomic.Int64
	exploredAt atomic.Int64 // Unix nanoseconds of the last plan that preferred the target while it was cold
	load       atomic.Pointer[timedLoad]
}

type timedLoad struct {
	load       state.Load
	receivedAt time.Time
}

func (s *Stats) service(name string) *Latency {
	if v, ok := s.services.Load(name); ok {
		return v.(*Latency)
	}
	v, _ := s.services.LoadOrStore(name, &Latency{minSamples: minServiceSamples})
	return v.(*Latency)
}

// record adds the latency of one attempt to that of its service and, for a
// search, to that of all searches.
func (s *Stats) record(service string, isSearch bool, now time.Time, d time.Duration) {
	s.service(service).Record(now, d)
	if isSearch {
		s.searches.Record(now, d)
	}
}

// quantile returns the latency quantile of the service, or that of all searches
// while the service has too few samples. Otherwise an instance that gets only a
// few searches a second would send its hedges too late.
func (s *Stats) quantile(service string, now time.Time) (time.Duration, bool) {
	if d, ok := s.service(service).Quantile(now); ok {
		return d, true
	}
	return s.searches.Quantile(now)
}

func (s *Stats) target(name string) *targetStats {
	if v, ok := s.targets.Load(name); ok {
		return v.(*targetStats)
	}
	v, _ := s.targets.LoadOrStore(name, &targetStats{})
	return v.(*targetStats)
}

// claimExploration reports whether a plan may prefer the cold target now. It
// returns true once per exploreInterval.
func (t *targetStats) claimExploration(now time.Time) bool {
	last := t.exploredAt.Load()
	return now.UnixNano()-last >= int64(exploreInterval) && t.exploredAt.CompareAndSwap(last, now.UnixNano())
}

// isCold reports whether the target is cold or warming by its last known load.
func isCold(snap *state.Snapshot, obs TargetObservation, t state.Target) bool {
	load := snap.Loads[t.Name]
	if obs.Load != nil {
		load = *obs.Load
	}
	return load.Incarnation == t.Incarnation && (load.Phase == state.PhaseCold || load.Phase == state.PhaseWarming)
}

func (s *Stats) recordMissingSnapshot(t state.Target, snapshot string, now time.Time) {
	s.missingSnapshots.Store(missingSnapshotKey{t.Name, t.Incarnation, snapshot}, now.Add(missingSnapshotValidity).UnixNano())
}

// TargetObservation is what an entry knows of a target beyond the snapshot.
type TargetObservation struct {
	InFlight int `json:"in_flight,omitempty"`
	// Load came with a recent reply and replaces the one in the snapshot.
	Load *state.Load `json:"load,omitempty"`
	// Explore is set if the plan should prefer the replica although it is cold.
	Explore bool `json:"explore,omitempty"`
	// MissingSnapshots are the index snapshots that the target does not have.
	MissingSnapshots []string `json:"lacks,omitempty"`
}

// Observed are the statistics that a plan depends on.
type Observed struct {
	Targets map[string]TargetObservation `json:"targets"`
	// RoundTrips are the round trips of heartbeats to other instances, by name.
	RoundTrips map[string]time.Duration `json:"round_trips,omitempty"`
	// RoundRobinPosition is the position of the round-robin order.
	RoundRobinPosition uint64 `json:"turn"`
}

// observe copies the statistics of the targets of the services. It advances the
// round-robin position, claims explorations and removes expired entries.
func (s *Stats) observe(v *view, services map[string]bool, now time.Time) Observed {
	o := Observed{Targets: map[string]TargetObservation{}, RoundRobinPosition: s.roundRobin.Add(1)}
	for service := range services {
		for _, r := range v.byService[service] {
			t := s.target(r.target.Name)
			obs := TargetObservation{InFlight: int(t.inFlight.Load())}
			if l := t.load.Load(); l != nil && now.Sub(l.receivedAt) < replyLoadValidity && l.load.Incarnation == r.target.Incarnation {
				obs.Load = &l.load
			}
			obs.Explore = isCold(v.snap, obs, r.target) && t.claimExploration(now)
			o.Targets[r.target.Name] = obs
		}
	}
	s.missingSnapshots.Range(func(k, until any) bool {
		key := k.(missingSnapshotKey)
		if until.(int64) <= now.UnixNano() {
			s.missingSnapshots.CompareAndDelete(k, until)
			return true
		}
		obs, ok := o.Targets[key.target]
		if ok && v.incarnation[key.target] == key.incarnation {
			obs.MissingSnapshots = append(obs.MissingSnapshots, key.snapshot)
			o.Targets[key.target] = obs
		}
		return true
	})
	return o
}

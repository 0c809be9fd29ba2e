package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// replyLoadLife is how long a load that came with a reply replaces the
	// one in the snapshot, which lags by up to a few heartbeats.
	replyLoadLife = 500 * time.Millisecond
	// exploreInterval is how often an entry prefers a cold replica to a warm one.
	// Without it a replica that answers slowly while cold never gets the
	// requests that warm it.
	exploreInterval = time.Second
	// lackingLife is how long a replica is known to lack an index snapshot.
	lackingLife = 5 * time.Second
)

// Stats are the observations of one entry. All methods are lock-free on
// entries that exist and safe for concurrent use.
type Stats struct {
	services sync.Map // service name to *Latency
	searches Latency  // of all search sub-requests
	targets  sync.Map // target name to *targetStats
	lacking  sync.Map // lackKey to Unix nanoseconds of its end
	turn     atomic.Uint64
}

type lackKey struct{ target, incarnation, snapshot string }

type targetStats struct {
	inFlight atomic.Int64
	explored atomic.Int64 // Unix nanoseconds of the last plan that preferred it while cold
	load     atomic.Pointer[timedLoad]
}

type timedLoad struct {
	load state.Load
	at   time.Time
}

func (s *Stats) service(name string) *Latency {
	if v, ok := s.services.Load(name); ok {
		return v.(*Latency)
	}
	v, _ := s.services.LoadOrStore(name, &Latency{minSamples: minServiceSamples})
	return v.(*Latency)
}

// record adds the latency of one attempt.
func (s *Stats) record(service string, isSearch bool, now time.Time, d time.Duration) {
	s.service(service).Record(now, d)
	if isSearch {
		s.searches.Record(now, d)
	}
}

// quantile returns the quantile of the service, or that of all searches while the
// service has too few samples: an instance that gets a few searches a second
// would otherwise send no hedge in time.
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

// explore reports whether it is time to try the cold target, once per interval.
func (t *targetStats) explore(now time.Time) bool {
	last := t.explored.Load()
	return now.UnixNano()-last >= int64(exploreInterval) && t.explored.CompareAndSwap(last, now.UnixNano())
}

// isCold reports whether the last known load of the target says that it is
// cold or warming.
func isCold(snap *state.Snapshot, obs TargetObservation, t state.Target) bool {
	load := snap.Loads[t.Name]
	if obs.Load != nil {
		load = *obs.Load
	}
	return load.Incarnation == t.Incarnation && (load.Phase == state.PhaseCold || load.Phase == state.PhaseWarming)
}

func (s *Stats) noteLacking(t state.Target, snapshot string, now time.Time) {
	s.lacking.Store(lackKey{t.Name, t.Incarnation, snapshot}, now.Add(lackingLife).UnixNano())
}

// TargetObservation is what an entry knows of a target beside the snapshot.
type TargetObservation struct {
	InFlight int `json:"in_flight,omitempty"`
	// Load came with a recent reply and replaces the one in the snapshot.
	Load *state.Load `json:"load,omitempty"`
	// Explore is set if it is time to try the replica while it is cold.
	Explore bool `json:"explore,omitempty"`
	// Lacks are the index snapshots that the target does not have.
	Lacks []string `json:"lacks,omitempty"`
}

// Observed are the statistics that a plan depends on.
type Observed struct {
	Targets map[string]TargetObservation `json:"targets"`
	// RoundTrips are those of heartbeats to other instances, by name.
	RoundTrips map[string]time.Duration `json:"round_trips,omitempty"`
	// Turn is the position of round-robin.
	Turn uint64 `json:"turn"`
}

// observe copies the statistics of the targets.
func (s *Stats) observe(v *view, services map[string]bool, now time.Time) Observed {
	o := Observed{Targets: map[string]TargetObservation{}, Turn: s.turn.Add(1)}
	for service := range services {
		for _, r := range v.byService[service] {
			t := s.target(r.target.Name)
			obs := TargetObservation{InFlight: int(t.inFlight.Load())}
			if l := t.load.Load(); l != nil && now.Sub(l.at) < replyLoadLife && l.load.Incarnation == r.target.Incarnation {
				obs.Load = &l.load
			}
			obs.Explore = isCold(v.snap, obs, r.target) && t.explore(now)
			o.Targets[r.target.Name] = obs
		}
	}
	s.lacking.Range(func(k, until any) bool {
		key := k.(lackKey)
		if until.(int64) <= now.UnixNano() {
			s.lacking.CompareAndDelete(k, until)
			return true
		}
		obs, ok := o.Targets[key.target]
		if ok && v.incarnation[key.target] == key.incarnation {
			obs.Lacks = append(obs.Lacks, key.snapshot)
			o.Targets[key.target] = obs
		}
		return true
	})
	return o
}

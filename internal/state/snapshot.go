// Package state holds the view that an instance has of the system: an immutable
// Snapshot, which requests load without a lock, and a Store in which controllers
// replace it.
package state

import "github.com/baobabsill/baobabsill/declare"

// Snapshot is the complete view at one time. It is immutable once it is in the
// Store. A request uses the same Snapshot throughout, so that its decisions can
// be replayed from a trace.
type Snapshot struct {
	Config        declare.Document     `json:"config"`
	ConfigVersion int64                `json:"config_version"`
	ShardMaps     map[string]ShardMap  `json:"shard_maps"` // by search
	Targets       map[string]Target    `json:"targets"`    // by target name
	Instances     map[string]Instance  `json:"instances"`  // by instance name, without the local one
	Placements    map[string]Placement `json:"placements"` // by availability zone
	Loads         map[string]Load      `json:"loads"`      // by target name
}

// ShardMap is the value of the object shardmap/<search>.
type ShardMap struct {
	Version   int64           `json:"-"`
	Snapshots []IndexSnapshot `json:"snapshots"` // oldest first
}

// IndexSnapshot is one version of an index and its shards.
type IndexSnapshot struct {
	ID     string  `json:"id"`
	Shards []Shard `json:"shards"`
}

// Shard is one key range [From, To) of an index, held by a service.
type Shard struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Target is one replica of a service, as the instance list shows it.
type Target struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Leaving is never reset for the same incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// Liveness is the state of an instance according to its heartbeats. Membership
// in package control sets it.
type Liveness string

// Liveness of an instance.
const (
	Alive    Liveness = "alive"
	Suspect  Liveness = "suspect" // unresponsive, not yet ready, or stopping
	Draining Liveness = "draining"
)

// Instance describes another instance of baobabsill.
type Instance struct {
	Name          string   `json:"name"`
	Incarnation   string   `json:"incarnation"`
	Zone          string   `json:"zone"`
	PeerAddress   string   `json:"peer_address"`
	CallerAddress string   `json:"caller_address"`
	Liveness      Liveness `json:"liveness"`
	ConfigVersion int64    `json:"config_version"`
}

// Placement is the value of the object placement/<zone>.
type Placement struct {
	// Epoch is the platform's version of the object.
	Epoch   int64             `json:"-"`
	Zone    string            `json:"zone"`
	Members []string          `json:"members"`
	Holders map[string]string `json:"holders"` // target name to instance name
	// Previous maps the targets that moved with this epoch to their holders in
	// the preceding one.
	Previous map[string]string `json:"previous,omitempty"`
	// PreviousMembers are the members of the preceding epoch. The list is empty
	// in a placement that took over a zone whose members were all gone.
	PreviousMembers []string `json:"previous_members,omitempty"`
	// Released is set when the last member stopped gracefully.
	Released bool `json:"released,omitempty"`
}

// Phase is the state of a target as its holder sees it.
type Phase string

// Phases of a target.
const (
	PhaseCold    Phase = "cold"    // gets only the few requests that a cold target bears
	PhaseWarming Phase = "warming" // its limit rises with good answers
	PhaseWarm    Phase = "warm"    // has reached its full limit
	PhaseEjected Phase = "ejected" // avoided for a limited time after repeated failures
	PhaseLeaving Phase = "leaving" // gets no new requests
)

// Load is what the holder of a target last reported about it.
type Load struct {
	Target        string `json:"target"`
	Phase         Phase  `json:"phase"`
	Limit         int    `json:"limit"`
	InFlight      int    `json:"in_flight"`
	Queued        int    `json:"queued"`
	LatencyMicros int64  `json:"latency_micros"`
	Incarnation   string `json:"incarnation"`
}

// IsZoneOut reports whether the operators took the zone out, as the configuration says.
func (s *Snapshot) IsZoneOut(zone string) bool {
	for _, z := range s.Config.Zones {
		if z.Name == zone {
			return z.Out
		}
	}
	return false
}

// IsLeaving reports whether the target gets no new requests, because of the
// instance list, its own drain signal or the configuration.
func (s *Snapshot) IsLeaving(t Target) bool {
	if t.Leaving {
		return true
	}
	if l, ok := s.Loads[t.Name]; ok && l.Phase == PhaseLeaving && l.Incarnation == t.Incarnation {
		return true
	}
	for _, name := range s.Config.RetiredTargets {
		if name == t.Name {
			return true
		}
	}
	return false
}

// Service returns the declaration of a service.
func (s *Snapshot) Service(name string) (declare.Service, bool) {
	for _, svc := range s.Config.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return declare.Service{}, false
}

// Search returns the declaration of a search.
func (s *Snapshot) Search(name string) (declare.Search, bool) {
	for _, q := range s.Config.Searches {
		if q.Name == name {
			return q, true
		}
	}
	return declare.Search{}, false
}

// Operation returns the declaration of an operation.
func (s *Snapshot) Operation(name string) (declare.Operation, bool) {
	for _, o := range s.Config.Operations {
		if o.Name == name {
			return o, true
		}
	}
	return declare.Operation{}, false
}

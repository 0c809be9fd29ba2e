// Package declare is the operators' library of baobabsill. A program declares
// zones, services, searches and operations with it and prints the
// configuration document that baobabsillctl applies.
package declare

// Phase says where a service stands while a new service replaces a retiring one. A
// steady service takes no part in a replacement.
type Phase string

// Phases of a service.
const (
	PhaseSteady   Phase = "steady"
	PhaseRetiring Phase = "retiring"
	PhaseNew      Phase = "new"
)

// Class says whether a search may be answered when shards are missing.
type Class string

// Classes of a search.
const (
	// ClassPartial allows an answer that covers fewer than all shards.
	ClassPartial Class = "partial"
	// ClassComplete refuses an answer that does not cover all shards.
	ClassComplete Class = "complete"
)

// Priority orders searches under overload.
type Priority string

// Priorities of a search. Complete searches and operations are always critical.
const (
	PriorityCritical Priority = "critical"
	PriorityNormal   Priority = "normal"
	PriorityBrowse   Priority = "browse"
)

// Document is the whole configuration, the value of the object config/main.
type Document struct {
	Name           string      `json:"name"`
	Zones          []Zone      `json:"zones"`
	Services       []Service   `json:"services"`
	Searches       []Search    `json:"searches"`
	Operations     []Operation `json:"operations"`
	RetiredTargets []string    `json:"retired_targets,omitempty"`
}

// Zone is one availability zone. Out takes it out of service.
type Zone struct {
	Name string `json:"name"`
	Out  bool   `json:"out,omitempty"`
}

// Service is a group of interchangeable targets (replicas).
type Service struct {
	Name  string `json:"name"`
	Phase Phase  `json:"phase"`
	// Replicas is the number of targets that the operators run.
	Replicas int `json:"replicas"`
	// Slots is the number of requests that a warm target runs at once.
	Slots int `json:"slots"`
	// BearsCold is the number of requests that a cold target runs at once.
	BearsCold int `json:"bears_cold"`
	// Connections is the number of connections that a target accepts.
	Connections int `json:"connections"`
}

// Search is a named search over the shards that its shard map lists.
type Search struct {
	Name     string   `json:"name"`
	Class    Class    `json:"class"`
	Priority Priority `json:"priority"`
	// Services are those that may hold shards of the search.
	Services []string `json:"services"`
}

// Operation is a non-idempotent request that runs at most once on one target
// of one of its services. Services are tried in order.
type Operation struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
}

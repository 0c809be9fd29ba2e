package status

import "github.com/baobabsill/baobabsill/internal/replica"

// EdgeDocument is what an instance of `baobabsill edge` serves: its state, and
// what it knows of the store, the replicas and the registered instances.
type EdgeDocument struct {
	Instance      string           `json:"instance"`
	Zone          string           `json:"zone"`
	Ready         bool             `json:"ready"`
	ConfigVersion int64            `json:"config_version"`
	StoreLost     bool             `json:"store_lost"`
	StoreEra      int64            `json:"store_era"` // see follow.Revision
	Evacuated     []string         `json:"evacuated"`
	InstanceNames []string         `json:"daemons"` // names of the registered instances
	InFlight      int64            `json:"in_flight"`
	Gathering     int              `json:"gathering"` // parts of queries of other instances
	Replicas      []replica.Report `json:"replicas"`
}

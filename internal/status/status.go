// Package status defines the JSON documents that instances serve at /status and
// that baobabsillctl prints.
package status

// Document is what an instance of `baobabsill run` serves: its state and what it knows
// of the other instances, the zones and the targets.
type Document struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// State is "starting", "ready" or "draining".
	State string `json:"state"`
	// CutOff is set while neither the platform nor any peer confirms the state.
	CutOff bool `json:"cut_off"`
	// PlatformReachable says whether the last call to the platform succeeded.
	PlatformReachable bool       `json:"platform_reachable"`
	ConfigVersion     int64      `json:"config_version"`
	Instances         []Instance `json:"instances"`
	Zones             []Zone     `json:"zones"`
	Targets           []Target   `json:"targets"`
}

// Instance is another instance as the serving one sees it.
type Instance struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Liveness      string `json:"liveness"` // a state.Liveness
	ConfigVersion int64  `json:"config_version"`
	CallerAddress string `json:"caller_address"`
}

// Zone is one availability zone with its placement.
type Zone struct {
	Name           string   `json:"name"`
	Out            bool     `json:"out"`
	PlacementEpoch int64    `json:"placement_epoch"`
	Members        []string `json:"members"`
}

// Target is one target with its holder and the state that the holder reports.
type Target struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Holder   string `json:"holder"`
	Phase    string `json:"phase"` // a state.Phase
	Limit    int    `json:"limit"` // bound of InFlight
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
}

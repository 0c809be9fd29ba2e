package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/harness"
)

const (
	// Snapshot is the index snapshot of all deployments.
	Snapshot = "2026-11-01"
	// Timeout is the timeout of searches and operations.
	Timeout = 2 * time.Second

	itemsPerShard = 2
	topologySeed  = 42
	loadSeed      = 7
)

// zoneDelayMS has the one-way delays between zones by deployment, as in section 1.6
// of the design page.
var zoneDelayMS = map[string]float64{"huber": 3, "wrapline": 5}

// Env is what all scenarios of a run share.
type Env struct {
	Bin           string        // directory of the programs
	PhaseDuration time.Duration // duration of a measured load
	Report        *Report
	printed       map[string][]byte // configurations by deployment, as their examples print them
}

// Settings are settings of the instances: section, key, value.
type Settings map[string]map[string]string

// Policy returns the settings of one policy key.
func Policy(key, value string) Settings { return Settings{"policy": {key: value}} }

// Document returns the configuration that the example of a deployment prints.
func (e *Env) Document(ctx context.Context, deployment string) (declare.Document, error) {
	var doc declare.Document
	if e.printed == nil {
		e.printed = map[string][]byte{}
	}
	if e.printed[deployment] == nil {
		out, err := exec.CommandContext(ctx, "go", "run", "github.com/baobabsill/baobabsill/declare/examples/"+deployment).Output()
		if err != nil {
			return doc, fmt.Errorf("print the configuration: %w", err)
		}
		e.printed[deployment] = out
	}
	return doc, json.Unmarshal(e.printed[deployment], &doc)
}

// Topology returns the topology of a deployment, with the sizes of section 1.6 of the
// design page.
func (e *Env) Topology(ctx context.Context, deployment string) (harness.Topology, error) {
	doc, err := e.Document(ctx, deployment)
	return harness.Topology{
		Document: doc, Instances: []int{3, 3, 2}, ZoneDelayMS: zoneDelayMS[deployment], ZoneJitterMS: 1,
		ClientDelayMS: 3, ListLagMS: 500, Behaviour: harness.DefaultBehaviour,
		ItemsPerShard: itemsPerShard, Seed: topologySeed,
	}, err
}

// Rig is a running deployment with a balancer. A scenario starts it with Env.Start
// and has to close it.
type Rig struct {
	*harness.Cluster
	Balancer       *harness.Balancer
	cancel         context.CancelFunc
	cancelBalancer context.CancelFunc
	dir            string
}

// Start starts a deployment. The settings are added to those of the topology and
// override them.
func (e *Env) Start(ctx context.Context, t harness.Topology, settings Settings) (*Rig, error) {
	merged := Settings{}
	for _, source := range []Settings{t.Settings, settings} {
		for section, keys := range source {
			if merged[section] == nil {
				merged[section] = map[string]string{}
			}
			for k, v := range keys {
				merged[section][k] = v
			}
		}
	}
	t.Settings = merged
	dir, err := os.MkdirTemp("", "baobabsill-bench-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Rig{Cluster: harness.NewCluster(t, e.Bin, dir), cancel: cancel, dir: dir}
	if err := r.Cluster.Start(ctx, Snapshot); err != nil {
		r.Close()
		return nil, err
	}
	r.Balancer = harness.NewBalancer(r.Instances, time.Duration(t.ClientDelayMS*float64(time.Millisecond)))
	r.Balancer.Refresh(ctx)
	balancerCtx, cancelBalancer := context.WithCancel(ctx)
	r.cancelBalancer = cancelBalancer
	go r.Balancer.Run(balancerCtx)
	return r, nil
}

// StopBalancer ends the readiness checks, so that instances without load are idle.
func (r *Rig) StopBalancer() { r.cancelBalancer() }

// Close kills all processes and removes their directory.
func (r *Rig) Close() {
	r.cancel()
	r.Cluster.Close()
	_ = os.RemoveAll(r.dir)
}

// Search returns a declared search. An empty name selects the search of class partial
// with the most shards.
func (r *Rig) Search(name string) declare.Search {
	var largest declare.Search
	for _, s := range r.Topology.Document.Searches {
		if s.Name == name {
			return s
		}
		if name == "" && s.Class == declare.ClassPartial && len(s.Services) > len(largest.Services) {
			largest = s
		}
	}
	return largest
}

// Load returns an open-loop load of a search, at a rate per second.
func (r *Rig) Load(search string, rate float64, d time.Duration) harness.Load {
	return harness.Load{Search: r.Search(search), Rate: rate, Duration: d, Deadline: Timeout,
		MaxInFlight: 1000, ItemsPerShard: r.Topology.ItemsPerShard, Seed: loadSeed}
}

// WarmUp sends all declared searches for d, so that the targets become warm, and
// discards the results.
func (r *Rig) WarmUp(ctx context.Context, rate float64, d time.Duration) {
	var loads []harness.Load
	for _, s := range r.Topology.Document.Searches {
		loads = append(loads, r.Load(s.Name, rate, d))
	}
	_, _ = r.RunLoads(ctx, nil, loads...)
}

// RunLoads runs loads, and 300 ms after their start the action, if there is one.
func (r *Rig) RunLoads(ctx context.Context, action func() error, loads ...harness.Load) ([]*harness.Result, error) {
	results := make([]*harness.Result, len(loads))
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { results[i] = l.Run(ctx, l.Search.Name, r.Balancer) })
	}
	var err error
	if action != nil {
		time.Sleep(300 * time.Millisecond)
		err = action()
	}
	wg.Wait()
	if err == nil {
		err = ctx.Err()
	}
	return results, err
}

// ReplicaOf returns the zone and the name of a replica of a service. Replicas count
// from 1.
func (r *Rig) ReplicaOf(service string, replica int) (zone, name string) {
	zones := r.Topology.Document.Zones
	index := slices.IndexFunc(r.Topology.Document.Services, func(s declare.Service) bool { return s.Name == service })
	return zones[(index+replica-1)%len(zones)].Name, fmt.Sprintf("%s-r%d", service, replica)
}

// ArrivedRequests returns the number of requests that the targets have read so far.
func (r *Rig) ArrivedRequests(ctx context.Context) (int64, error) {
	counts, err := r.Counts(ctx)
	var sum int64
	for _, c := range counts {
		sum += c.Arrived
	}
	return sum, err
}

// Service returns a declared service.
func (r *Rig) Service(name string) declare.Service {
	for _, s := range r.Topology.Document.Services {
		if s.Name == name {
			return s
		}
	}
	return declare.Service{}
}

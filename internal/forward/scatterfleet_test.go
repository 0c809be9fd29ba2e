package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/replica"
)

var scatterZones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// leafFault is what happens to the calls to an instance.
type leafFault int

const (
	sound    leafFault = iota
	killed             // connections are refused
	lostWork           // the answer is lost after the replicas have worked
	frozen             // no answer
)

// scatterFleet is a fleet of instances that ask each other for parts of queries. Its
// replicas accept fewer connections than there are instances.
type scatterFleet struct {
	instances map[string]*Forwarder
	stores    map[string]*catalog.Store
	zones     map[string]string // by instance
	replicas  map[string]*fakeReplica
	listed    map[string]catalog.Replica
	shards    []string

	mu       sync.Mutex
	faults   map[string]leafFault
	cutZones map[string]bool // cut off from all others
	calls    map[string]int  // by leaf
}

const (
	scatterConnections = 20
	scatterBudgetRatio = 0.2
	scatterBudgetSlack = 40
)

// newScatterFleet returns a fleet with a number of instances and shards. Each shard has
// replicas in two zones of different regions.
func newScatterFleet(instances, shards int) *scatterFleet {
	f := &scatterFleet{
		instances: map[string]*Forwarder{}, stores: map[string]*catalog.Store{}, zones: map[string]string{}, replicas: map[string]*fakeReplica{},
		listed: map[string]catalog.Replica{}, faults: map[string]leafFault{}, cutZones: map[string]bool{}, calls: map[string]int{},
	}
	zones := slices.Sorted(maps.Keys(scatterZones))
	registered := map[string]catalog.Instance{}
	for i := range instances {
		name := fmt.Sprintf("d%d", i)
		f.zones[name] = zones[i%len(zones)]
		registered[name] = catalog.Instance{Address: name, Zone: f.zones[name], Capacity: 0.2 + 0.6*float64(i%3/2)}
	}
	for i := range shards {
		service := fmt.Sprintf("s%d", i)
		f.shards = append(f.shards, service)
		for _, zone := range []string{zones[i%6], zones[(i+2)%6]} {
			id := service + "/" + zone
			f.replicas[id] = (&fakeReplica{id: id}).answerAfter(10 * time.Millisecond)
			f.listed[id] = catalog.Replica{ID: id, Service: service, Address: id, Zone: zone, Slots: 2, StartedAt: 1}
		}
	}
	for name := range registered {
		f.addInstance(name, registered)
	}
	f.setShards(1, f.shards)
	return f
}

func (f *scatterFleet) addInstance(name string, registered map[string]catalog.Instance) {
	store := catalog.NewStore(time.Second)
	store.UpdateReplicas(func(replicas map[string]catalog.Replica) { maps.Copy(replicas, f.listed) })
	store.SetInstances(registered)
	zone := f.zones[name]
	pool := replica.NewPool(logs.OrDiscard(nil), func(address string) replica.Client { return remoteReplica{f.replicas[address], f, zone} })
	f.stores[name] = store
	f.instances[name] = NewForwarder(logs.OrDiscard(nil), tally.NoopScope, store, pool, &fleetLeaves{f, zone}, Options{
		Location:   Location{Zone: zone, Region: scatterZones[zone], Regions: scatterZones},
		Shares:     Shares{Self: name, ColdOverage: 1, ColdSlack: 2},
		RetryRatio: scatterBudgetRatio, RetrySlack: scatterBudgetSlack, RetryWindow: 10 * time.Second, MaxInFlight: 1000,
	})
}

// setShards puts a configuration in force in the named instances, or in all.
func (f *scatterFleet) setShards(version int64, shards []string, names ...string) {
	route := catalog.Route{
		Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, Timeout: 2 * time.Second, Objective: testObjective, MaxAttempts: 3,
		Shards: shards, TopK: 5, MinShare: 0.9,
	}
	var services []catalog.Service
	for _, s := range shards {
		services = append(services, catalog.Service{Name: s, MaxConnections: scatterConnections})
	}
	config := catalog.NewConfig(version, []catalog.Route{route}, services, catalog.Limits{})
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(f.instances))
	}
	for _, name := range names {
		f.stores[name].SetConfig(config)
	}
}

func (f *scatterFleet) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 200 * time.Microsecond
	case scatterZones[from] == scatterZones[to]:
		return 3 * time.Millisecond
	}
	return 12 * time.Millisecond
}

// isCut reports whether nothing passes between two zones.
func (f *scatterFleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from != to && (f.cutZones[from] || f.cutZones[to])
}

// remoteReplica is a replica as seen from a zone.
type remoteReplica struct {
	*fakeReplica
	fleet *scatterFleet
	zone  string
}

// Send implements replica.Client.
func (r remoteReplica) Send(ctx context.Context, request replica.Request) replica.Result {
	zone := r.id[strings.Index(r.id, "/")+1:]
	if r.fleet.isCut(r.zone, zone) {
		<-ctx.Done()
		return replica.Result{Outcome: replica.Lost, Reason: "given up"}
	}
	delay := r.fleet.delay(r.zone, zone)
	time.Sleep(delay)
	res := r.fakeReplica.Send(ctx, request)
	if res.Outcome == replica.Complete {
		res.Reply.Signature += "@" + request.AttemptID
	}
	time.Sleep(delay)
	return res
}

// fleetLeaves are the calls of the instances in a zone.
type fleetLeaves struct {
	fleet *scatterFleet
	zone  string
}

// Gather implements Leaves.
func (l *fleetLeaves) Gather(ctx context.Context, name string, req *GatherRequest) (GatherReply, error) {
	f := l.fleet
	f.mu.Lock()
	fault := f.faults[name]
	f.calls[name]++
	f.mu.Unlock()
	to := f.zones[name]
	if fault == frozen || f.isCut(l.zone, to) {
		<-ctx.Done()
		return GatherReply{}, ctx.Err()
	}
	time.Sleep(f.delay(l.zone, to))
	if fault == killed {
		return GatherReply{}, fmt.Errorf("%w: connection refused", ErrNotGathered)
	}
	reply, err := f.instances[name].Gather(ctx, req)
	time.Sleep(f.delay(l.zone, to))
	if fault == lostWork {
		return GatherReply{}, errors.New("connection reset")
	}
	return reply, err
}

// callCount returns the number of calls to a leaf.
func (f *scatterFleet) callCount(leaf string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[leaf]
}

// setFault sets what happens to the calls to instances.
func (f *scatterFleet) setFault(fault leafFault, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.faults[name] = fault
	}
}

// query sends one query to an instance, checks the answer and returns it.
func (f *scatterFleet) query(t *testing.T, entry, id string) (Answer, time.Duration) {
	t.Helper()
	start := time.Now()
	a := f.instances[entry].Serve(t.Context(), &Request{
		AttemptID: id, Method: "GET", URI: "/p/x", Path: "/p/x", Host: "h", Arrived: start, CallerTimeout: time.Second,
	})
	f.check(t, a, id)
	return a, time.Since(start)
}

// check checks that the parts of an answer are those of the attempt, none twice, and that
// the records are the greatest of the parts.
func (f *scatterFleet) check(t *testing.T, a Answer, id string) {
	t.Helper()
	if a.Code != Merged {
		return
	}
	if got := len(a.Signatures) + a.MissingCount; got != len(f.shards) {
		t.Errorf("%d parts and %d missing of %d shards", len(a.Signatures), a.MissingCount, len(f.shards))
	}
	seen := map[string]bool{}
	top := topRecords{limit: 5}
	for _, s := range a.Signatures {
		replicaID, attempt, _ := strings.Cut(strings.TrimPrefix(s, "sig-"), "@")
		service := replicaID[:strings.Index(replicaID, "/")]
		if seen[service] || attempt != id {
			t.Errorf("signature %s in the answer to attempt %s", s, id)
		}
		seen[service] = true
		top.add([]byte(fmt.Sprintf("%016s", replicaID)))
	}
	if want := string(top.descending()); string(a.Records) != want {
		t.Errorf("records %q, want %q", a.Records, want)
	}
}

// warmUp sends queries to all instances.
func (f *scatterFleet) warmUp(t *testing.T) {
	t.Helper()
	for n := range 3 {
		for name := range f.instances {
			f.query(t, name, fmt.Sprintf("w%d-%s", n, name))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// firstLeaf returns the leaf that an entry asks first for most shards.
func (f *scatterFleet) firstLeaf(entry string) string {
	counts := map[string]int{}
	fw := f.instances[entry]
	for _, g := range fw.currentView().plan(fw.store.Load().Config.Match("h", "/p/x")).groups {
		counts[g.leaves[0].Name] += len(g.shards)
	}
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// exchanges returns the exchanges with all replicas.
func (f *scatterFleet) exchanges() (n int) {
	for _, r := range f.replicas {
		n += r.exchangeCount()
	}
	return n
}

const fleetSize, fleetShards = 60, 60

// runFleet runs f with a warm fleet in a synctest bubble.
func runFleet(t *testing.T, f func(t *testing.T, fleet *scatterFleet)) {
	t.Helper()
	runInBubble(t, func(t *testing.T) {
		fleet := newScatterFleet(fleetSize, fleetShards)
		fleet.warmUp(t)
		f(t, fleet)
	})
}

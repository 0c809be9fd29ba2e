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
	"testing/synctest"
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

// With fewer connections to a replica than instances, an instance that sends to all shards
// itself reaches only some of them: queries were refused. Guards also against an entry
// that makes about as many calls as there are shards, and against shards that are asked
// twice without need.
func TestQueryIsGatheredByLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		before := f.exchanges()
		for name := range f.instances {
			a, took := f.query(t, name, "q-"+name)
			if a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
				t.Errorf("%s: %s with %d missing after %v: %v", name, a.Code, a.MissingCount, took, a.MissingDetails)
			}
			if a.LeafCalls > fleetShards/4 {
				t.Errorf("%s made %d calls for %d shards", name, a.LeafCalls, fleetShards)
			}
		}
		if n, want := f.exchanges()-before, fleetSize*fleetShards; n > want*11/10 {
			t.Errorf("%d exchanges, want about %d", n, want)
		}
	})
}

// Guards against queries that fail or are late with a leaf that is killed, that loses its
// answer or that is frozen, and against entries that go on asking it first.
func TestLeafIsLost(t *testing.T) {
	for _, fault := range []leafFault{killed, lostWork, frozen} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *scatterFleet) {
				const entry = "d5"
				leaf := f.firstLeaf(entry)
				f.setFault(fault, leaf)
				for n := range 20 {
					a, took := f.query(t, entry, fmt.Sprint("q", n))
					if a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
						t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := f.callCount(leaf); n > 3*fleetSize+10 {
					t.Errorf("the lost leaf was asked %d times", n)
				}
				f.setFault(sound, leaf)
				time.Sleep(suspectProbeInterval)
				f.instances[entry].PrepareLeaves(t.Context())
				time.Sleep(suspectProbeInterval)
				before := f.callCount(leaf)
				f.query(t, entry, "after")
				if f.callCount(leaf) == before {
					t.Error("the leaf is not asked again after its return")
				}
			})
		})
	}
}

// Guards against an entry that asks a leaf which is about to stop, or that has no
// configuration yet, until its calls fail.
func TestLeafThatStopsOrStarts(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const entry = "d5"
		leaf := f.firstLeaf(entry)
		f.instances[leaf].SetLeaving()
		f.query(t, entry, "last")
		before := f.callCount(leaf)
		for n := range 10 {
			if a, _ := f.query(t, entry, fmt.Sprint("q", n)); a.Code != Merged || a.MissingCount > 0 {
				t.Errorf("%s with %d missing", a.Code, a.MissingCount)
			}
		}
		if f.callCount(leaf) != before {
			t.Errorf("a stopping leaf was asked %d more times", f.callCount(leaf)-before)
		}
		second := f.firstLeaf("d7")
		f.stores[second] = catalog.NewStore(0)
		f.instances[second] = NewForwarder(logs.OrDiscard(nil), tally.NoopScope, f.stores[second], nil, nil, Options{MaxInFlight: 10})
		if a, took := f.query(t, "d7", "started"); a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
			t.Errorf("%s with %d missing after %v with a leaf that has just started", a.Code, a.MissingCount, took)
		}
	})
}

// A shard without an answer must not make the answers of its group late or lose them: the
// leaf has to answer in time for the entry to answer its caller.
func TestPartialAnswerOfLeafIsInTime(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for id, r := range f.replicas {
			if strings.HasPrefix(id, "s7/") || strings.HasPrefix(id, "s23/") {
				r.answerAfter(time.Minute)
			}
		}
		for name := range f.instances {
			if a, took := f.query(t, name, "q-"+name); a.Code != Merged || a.MissingCount != 2 || took >= testObjective {
				t.Errorf("%s: %s with %d missing after %v: %v", name, a.Code, a.MissingCount, took, a.MissingDetails)
			}
		}
	})
}

// If more shards are slow than an answer may lack, the answer is late, but it has to come,
// and the shards must not be asked again and again.
func TestLateAnswerThroughLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for id, r := range f.replicas {
			if id[1] <= '3' { // 41 of the 60 shards
				r.answerAfter(testObjective + 50*time.Millisecond)
			}
		}
		before := f.exchanges()
		a, took := f.query(t, "d3", "slow")
		if a.Code != Merged || took > 2*testObjective {
			t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
		if n := f.exchanges() - before; n > 3*fleetShards {
			t.Errorf("%d exchanges for %d shards", n, fleetShards)
		}
	})
}

// A zone that is cut off has to go on serving what it can, and the others too: half of the
// zone's shards have no replica that it reaches.
func TestZoneIsCutOff(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		f.mu.Lock()
		f.cutZones["c2"] = true
		f.mu.Unlock()
		served := 0
		for n := range 5 {
			for name, zone := range f.zones {
				a, took := f.query(t, name, fmt.Sprint("q", n, name))
				if zone == "c2" && a.Code != Merged && took > time.Second {
					t.Errorf("%s in the zone: %s after %v", name, a.Code, took)
				}
				if zone != "c2" && a.Code == Merged && took < testObjective {
					served++
				}
			}
			time.Sleep(time.Second)
			for _, fw := range f.instances {
				fw.PrepareLeaves(t.Context())
			}
		}
		if want := 5 * 50 * 9 / 10; served < want {
			t.Errorf("%d queries outside of the zone served in time, want %d", served, want)
		}
	})
}

// Guards against leaves that send to a zone that their entry knows to be evacuated.
func TestLeafHeedsEvacuationOfItsEntry(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		f.stores["d1"].SetEvacuated(map[string]bool{"b2": true}, time.Now())
		before := map[string]int{}
		for id, r := range f.replicas {
			before[id] = r.exchangeCount()
		}
		a, _ := f.query(t, "d1", "q")
		if a.Code != Merged || a.MissingCount > 0 {
			t.Errorf("%s with %d missing: %v", a.Code, a.MissingCount, a.MissingDetails)
		}
		for id, r := range f.replicas {
			if strings.HasSuffix(id, "/b2") && r.exchangeCount() > before[id] {
				t.Errorf("%s got a request in an evacuated zone", id)
			}
		}
	})
}

// Half a second after a caller has left, replicas must no longer work for it, and get
// nothing more: its entry cancels the calls, and the leaves end their exchanges.
func TestLeavingCallerCancelsLeaves(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for _, r := range f.replicas {
			r.answerAfter(10 * time.Second)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		f.instances["d2"].Serve(ctx, &Request{
			AttemptID: "q", Method: "GET", URI: "/p/x", Path: "/p/x", Host: "h", Arrived: time.Now(), CallerTimeout: 5 * time.Second,
		})
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		before := f.exchanges()
		for name, fw := range f.instances {
			if n := fw.Gathering(); n > 0 {
				t.Errorf("%s still gathers for %d callers", name, n)
			}
			for _, report := range fw.pool.Reports(time.Now()) {
				if report.InFlight > 0 {
					t.Errorf("%s has %d exchanges in flight with %s", name, report.InFlight, report.ID)
				}
			}
		}
		time.Sleep(5 * time.Second)
		if n := f.exchanges() - before; n > 0 {
			t.Errorf("%d exchanges began half a second after the caller had left", n)
		}
	})
}

// Entries and leaves may both ask once more. Guards against repeats beyond the budget of
// the fleet when all replicas are slow.
func TestRepeatsOfLeavesStayWithinBudget(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		for _, r := range f.replicas {
			r.answerAfter(150 * time.Millisecond)
		}
		before := map[string]int{}
		count := func(service string) (n int) {
			for id, r := range f.replicas {
				if strings.HasPrefix(id, service+"/") {
					n += r.exchangeCount()
				}
			}
			return n
		}
		for _, s := range f.shards {
			before[s] = count(s)
		}
		const queries = 300
		var wg sync.WaitGroup
		for n := range queries {
			wg.Go(func() { f.query(t, fmt.Sprintf("d%d", n%fleetSize), fmt.Sprint("q", n)) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		for _, s := range f.shards {
			if n, limit := count(s)-before[s]-queries, int(scatterBudgetRatio*queries)+scatterBudgetSlack; n > limit {
				t.Errorf("%d repeats to %s, want %d at most", n, s, limit)
			}
		}
	})
}

// Around a change of the shards, an entry may know a configuration that its leaves do not
// know yet, or no longer. Guards against queries that fail then.
func TestEntryAndLeafKnowDifferentConfigurations(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		half := f.shards[:fleetShards/2]
		rest := slices.DeleteFunc(slices.Collect(maps.Keys(f.instances)), func(name string) bool { return name == "d4" })
		f.setShards(2, half, rest...)
		if a, took := f.query(t, "d4", "old"); a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
			t.Errorf("old entry: %s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
		all := f.shards
		f.shards = half
		f.setShards(2, half)
		f.warmUp(t)
		f.shards = all
		f.setShards(3, all, "d4")
		if a, took := f.query(t, "d4", "new"); a.Code != Merged || a.MissingCount > 0 || took >= testObjective {
			t.Errorf("new entry: %s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
		}
	})
}

// Guards against a leaf without room that holds the request instead of turning it away.
func TestOverloadedLeafRefusesAtOnce(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const entry = "d5"
		leaf := f.firstLeaf(entry)
		options := *f.instances[leaf].options.Load()
		options.MaxInFlight = 0
		f.instances[leaf].Configure(options)
		for n := range 5 {
			if a, took := f.query(t, entry, fmt.Sprint("q", n)); a.Code != Merged || a.MissingCount > 0 || took > testObjective/2 {
				t.Errorf("%s with %d missing after %v: %v", a.Code, a.MissingCount, took, a.MissingDetails)
			}
		}
	})
}

// Leaves that are asked for one shard must not together send to more replicas than the
// route allows, whatever each believes of them: one leaf may know that a replica leaves,
// or that another has joined, and the other not yet.
func TestLeavesChooseTheSameReplicas(t *testing.T) {
	runFleet(t, func(t *testing.T, f *scatterFleet) {
		const service = "s1"
		replicas := []catalog.Replica{
			{ID: "s1/a1", Zone: "a1", StartedAt: 3}, {ID: "s1/b1", Zone: "b1", StartedAt: 1}, {ID: "s1/c1", Zone: "c1", StartedAt: 2},
			{ID: "s1/a2", Zone: "a2", StartedAt: 9},
		}
		chosen := func(known []catalog.Replica, draining, departed string) map[string]bool {
			store := catalog.NewStore(0)
			store.UpdateReplicas(func(all map[string]catalog.Replica) {
				for _, r := range known {
					r.Service, r.Address, r.Draining = service, r.ID, r.ID == draining
					all[r.ID] = r
				}
			})
			store.UpdateReplicas(func(all map[string]catalog.Replica) { delete(all, departed) })
			store.SetConfig(f.stores["d1"].Load().Config)
			f.replicas["s1/c1"] = f.replicas["s1/b1"]
			f.replicas["s1/a2"] = f.replicas["s1/b1"]
			pool := replica.NewPool(logs.OrDiscard(nil), func(address string) replica.Client { return f.replicas[address] })
			fw := NewForwarder(logs.OrDiscard(nil), tally.NoopScope, store, pool, nil, *f.instances["d1"].options.Load())
			p := fw.newPart(&GatherRequest{
				Query: &Request{AttemptID: "a"}, Home: "a1", Within: time.Second,
				Route: &catalog.Route{Name: "r", Objective: testObjective, MaxAttempts: 2, Shards: []string{service}},
			}, time.Now())
			ids := map[string]bool{}
			for _, c := range p.candidates(service, time.Now()) {
				ids[c.replica.ID] = true
			}
			return ids
		}
		union := map[string]bool{}
		for _, ids := range []map[string]bool{
			chosen(replicas[:3], "", ""), chosen(replicas[:3], "s1/a1", ""), chosen(replicas, "s1/b1", ""), chosen(replicas, "", ""),
			chosen(replicas[:3], "", "s1/b1"), chosen(replicas, "", "s1/a1"),
		} {
			if len(ids) == 0 {
				t.Error("no replica is chosen")
			}
			maps.Copy(union, ids)
		}
		if len(union) != 2 || !union["s1/a1"] {
			t.Errorf("the leaves choose %v, want two with that of the home zone", union)
		}
	})
}

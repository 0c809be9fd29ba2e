package forward

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/policy"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// view holds the usable replicas of each service and the placement of queries, computed
// from one snapshot of the catalog and the options in force. It is shared by all requests
// until one of the two changes. It is immutable, but for what it computes on first use.
type view struct {
	snap    *catalog.Snapshot
	options *Options
	pool    *replica.Pool
	ranks   ranking
	fleet   *policy.Fleet
	buckets int // of shards, see policy.Bucket
	// services holds the services that routes use.
	services map[string]*serviceView

	mu     sync.Mutex
	others map[string]*serviceView         // services that no route uses, on first use
	plans  map[*catalog.Route]*scatterPlan // on first use
}

// serviceView is what this instance knows of one service.
type serviceView struct {
	// listed are the replicas that instances may send to.
	listed []listedReplica
	// usable are those that this instance sends to, if the route allows their region.
	usable  []usableReplica
	senders senders
}

// listedReplica is where a replica runs that is neither draining nor evacuated.
type listedReplica struct {
	zone, region string
	distance     int
}

// usableReplica is a replica that this instance may send to.
type usableReplica struct {
	replica   catalog.Replica
	backend   *replica.Backend
	region    string
	distance  int
	coldLimit int // requests in any second while it is cold
}

// currentView returns the view of the current snapshot and options. It computes it
// if one of them has changed.
func (f *Forwarder) currentView() *view {
	snap, options := f.store.Load(), f.options.Load()
	v := f.view.Load()
	if v == nil || v.snap != snap || v.options != options {
		v = f.newView(snap, options)
		f.view.Store(v)
	}
	return v
}

func (f *Forwarder) newView(snap *catalog.Snapshot, options *Options) *view {
	v := &view{
		snap: snap, options: options, pool: f.pool, services: map[string]*serviceView{},
		others: map[string]*serviceView{}, plans: map[*catalog.Route]*scatterPlan{},
	}
	if snap.Config == nil {
		return v
	}
	v.ranks = newRanking(options.Shares.Self, snap.InstanceNames)
	v.fleet = fleetOf(snap, options.Location)
	v.buckets = bucketCount(snap)
	members := newMemberships(v)
	for name, route := range snap.Config.RouteByService() {
		v.services[name] = v.newServiceView(name, members.of(name, route))
	}
	return v
}

// bucketCount returns the number of buckets in each zone. It is that of the route with
// most shards.
func bucketCount(snap *catalog.Snapshot) int {
	shards := snap.Config.MostShards()
	replicas, zones := 0, map[string]bool{}
	for _, s := range shards {
		for _, r := range snap.Replicas(s) {
			replicas++
			zones[r.Zone] = true
		}
	}
	return policy.BucketCount(len(shards), replicas, len(zones))
}

func (v *view) newServiceView(name string, by senders) *serviceView {
	s := &serviceView{senders: by}
	shares, location := v.options.Shares, v.options.Location
	for _, r := range v.snap.Replicas(name) {
		if r.Draining || v.snap.IsEvacuated(r.Zone) {
			continue
		}
		at := listedReplica{zone: r.Zone, region: location.Regions[r.Zone], distance: location.distance(r.Zone)}
		s.listed = append(s.listed, at)
		if !shares.sendsTo(v, by, r) {
			continue
		}
		s.usable = append(s.usable, usableReplica{
			replica: r, backend: v.pool.Backend(r, shares.connectionLimits(v.snap, by, r)),
			region: at.region, distance: at.distance, coldLimit: shares.coldLimit(v.snap, by, r),
		})
	}
	return s
}

// service returns the view of a service. If this instance does not usually send to its
// replicas, it may still have one connection to each: other instances may believe that it
// is a sender, or know a configuration with other shards.
func (v *view) service(name string) *serviceView {
	if s := v.services[name]; s != nil && len(s.usable) > 0 {
		return s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.others[name]
	if s == nil {
		s = v.newServiceView(name, senders{count: 1, outsider: true})
		v.others[name] = s
	}
	return s
}

// rateShare returns this instance's place among the senders of a replica.
func (v *view) rateShare(r catalog.Replica) replica.RateShare {
	by := v.sendersOf(r.Service)
	return replica.RateShare{Rank: by.rank(v, r), Senders: by.number(v, r)}
}

// sendersOf returns the senders of a service; all instances if no route uses it.
func (v *view) sendersOf(service string) senders {
	if s := v.services[service]; s != nil {
		return s.senders
	}
	return senders{count: instanceCount(v.snap)}
}

// ranking ranks the instances for each replica by rendezvous hashing.
type ranking struct {
	ownHash uint64
	hashes  []uint64
}

func newRanking(self string, instances []string) ranking {
	r := ranking{ownHash: xxhash.Sum64String(self), hashes: make([]uint64, len(instances))}
	for i, name := range instances {
		r.hashes[i] = xxhash.Sum64String(name)
	}
	return r
}

// countBefore returns the number of instances that rank before this one for a
// replica.
func (r ranking) countBefore(replicaID string) (n int) {
	replicaHash := xxhash.Sum64String(replicaID)
	own := policy.Mix(r.ownHash ^ replicaHash)
	for _, h := range r.hashes {
		if policy.Mix(h^replicaHash) < own {
			n++
		}
	}
	return n
}

// order returns the names, which have to be those of the ranking, in the order of a
// replica.
func (r ranking) order(replicaID string, names []string) []string {
	replicaHash := xxhash.Sum64String(replicaID)
	byHash := make(map[string]uint64, len(names))
	for i, name := range names {
		byHash[name] = policy.Mix(r.hashes[i] ^ replicaHash)
	}
	return slices.SortedFunc(maps.Keys(byHash), func(a, b string) int { return cmp.Compare(byHash[a], byHash[b]) })
}

package forward

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// view holds the usable replicas of each service, computed from one snapshot of the
// catalog and the options in force. It is immutable and shared by all requests
// until one of the two changes.
type view struct {
	snap     *catalog.Snapshot
	options  *Options
	ranks    ranking
	services map[string][]usableReplica // by service; only those that routes use
}

// usableReplica is a replica that this instance may send to, if the route allows its
// region.
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
	v := &view{snap: snap, options: options, services: map[string][]usableReplica{}}
	if snap.Config == nil {
		return v
	}
	shares := options.Shares
	v.ranks = newRanking(shares.Self, snap.InstanceNames)
	for name := range snap.Config.RouteByService() {
		var list []usableReplica
		for _, r := range snap.Replicas(name) {
			if r.Draining || snap.IsEvacuated(r.Zone) || !shares.sendsTo(snap, v.ranks, r) {
				continue
			}
			list = append(list, usableReplica{
				replica: r, backend: f.pool.Backend(r, shares.connectionLimits(snap, r)),
				region: options.Location.Regions[r.Zone], distance: options.Location.distance(r.Zone), coldLimit: shares.coldLimit(snap, r),
			})
		}
		v.services[name] = list
	}
	return v
}

// rateShare returns this instance's place among the senders of a replica.
func (v *view) rateShare(r catalog.Replica) replica.RateShare {
	return replica.RateShare{Rank: v.ranks.countBefore(r.ID), Senders: v.options.Shares.senders(v.snap, r)}
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
	own := mix(r.ownHash ^ replicaHash)
	for _, h := range r.hashes {
		if mix(h^replicaHash) < own {
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
		byHash[name] = mix(r.hashes[i] ^ replicaHash)
	}
	return slices.SortedFunc(maps.Keys(byHash), func(a, b string) int { return cmp.Compare(byHash[a], byHash[b]) })
}

// mix is the finalizer of SplitMix64: a change of one bit of x changes on average
// half of the bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

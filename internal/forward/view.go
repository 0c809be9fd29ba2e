package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// view is what one snapshot of the catalog means under the options in force. It
// is immutable, and made once for all requests that use the snapshot.
type view struct {
	snap     *catalog.Snapshot
	options  *Options
	services map[string][]sendable // of the services that routes use
}

// sendable is a replica that this daemon may send to, if the route allows it.
type sendable struct {
	replica   catalog.Replica
	backend   *replica.Backend
	region    string
	distance  int
	coldLimit int // requests in any second while it is cold
}

// current returns the view of the snapshot in force.
func (f *Forwarder) current() *view {
	snap, options := f.store.Load(), f.options.Load()
	v := f.view.Load()
	if v == nil || v.snap != snap || v.options != options {
		v = f.newView(snap, options)
		f.view.Store(v)
	}
	return v
}

func (f *Forwarder) newView(snap *catalog.Snapshot, options *Options) *view {
	v := &view{snap: snap, options: options, services: map[string][]sendable{}}
	if snap.Config == nil {
		return v
	}
	shares := options.Shares
	ranks := newRanking(shares.Self, snap.Daemons)
	for name := range snap.Config.Users() {
		var list []sendable
		for _, r := range snap.Replicas(name) {
			if r.Draining || snap.IsEvacuated(r.Zone) || !shares.admits(snap, ranks, r) {
				continue
			}
			list = append(list, sendable{
				replica: r, backend: f.pool.Backend(r, shares.connections(snap, r)),
				region: options.Place.Regions[r.Zone], distance: options.Place.distance(r.Zone), coldLimit: shares.coldLimit(snap, r),
			})
		}
		v.services[name] = list
	}
	return v
}

// ranking orders the daemons for each replica by rendezvous hashing.
type ranking struct {
	self uint64
	all  []uint64
}

func newRanking(self string, daemons []string) ranking {
	r := ranking{self: xxhash.Sum64String(self), all: make([]uint64, len(daemons))}
	for i, d := range daemons {
		r.all[i] = xxhash.Sum64String(d)
	}
	return r
}

// before returns the number of daemons that rank before this one for a replica.
func (r ranking) before(id string) (n int) {
	of := xxhash.Sum64String(id)
	own := mix(r.self ^ of)
	for _, d := range r.all {
		if mix(d^of) < own {
			n++
		}
	}
	return n
}

// mix is the finalizer of SplitMix64: each bit of x changes half of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

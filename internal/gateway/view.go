package gateway

import (
	"sort"

	"github.com/baobabsill/baobabsill/internal/state"
)

// RouteFunc returns the instance that holds a target, or "" if there is none. It
// depends only on the snapshot.
type RouteFunc func(snap *state.Snapshot, target string) (instance string)

// view holds the usable replicas of a snapshot by service. It is immutable and
// computed once for each snapshot.
type view struct {
	snap        *state.Snapshot
	byService   map[string][]replica
	incarnation map[string]string // by target
}

// replica is a target that may get new requests, with its holder and the slots
// and cold limit of its service.
type replica struct {
	target    state.Target
	instance  string
	slots     int
	coldLimit int
}

// newView returns the view of a snapshot. It leaves out targets in zones
// that are out, leaving targets and targets that no instance holds.
func newView(snap *state.Snapshot, route RouteFunc) *view {
	v := &view{snap: snap, byService: map[string][]replica{}, incarnation: map[string]string{}}
	for _, t := range snap.Targets {
		if !isUsable(snap, t) {
			continue
		}
		instance := route(snap, t.Name)
		if instance == "" {
			continue
		}
		r := replica{target: t, instance: instance, slots: 1, coldLimit: 1}
		if svc, ok := snap.Service(t.Service); ok {
			r.slots, r.coldLimit = max(svc.Slots, 1), max(svc.BearsCold, 1)
		}
		v.byService[t.Service] = append(v.byService[t.Service], r)
		v.incarnation[t.Name] = t.Incarnation
	}
	for _, rs := range v.byService {
		sort.Slice(rs, func(i, j int) bool { return rs[i].target.Name < rs[j].target.Name })
	}
	return v
}

// isUsable reports whether a target may get new requests: neither is its zone
// out nor is it leaving.
func isUsable(snap *state.Snapshot, t state.Target) bool {
	return !snap.IsZoneOut(t.Zone) && !snap.IsLeaving(t)
}

// view returns the view of a snapshot and caches the latest one.
func (g *Gateway) view(snap *state.Snapshot) *view {
	if v := g.latestView.Load(); v != nil && v.snap == snap {
		return v
	}
	v := newView(snap, g.route)
	g.latestView.Store(v)
	return v
}

package placement

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

// Leases collects the evidence for the leases of the local instance and decides
// on them. It is safe for concurrent use; Lease takes no lock.
type Leases struct {
	self, zone string
	store      *state.Store

	mu       sync.Mutex
	evidence atomic.Pointer[Evidence]
	// ownReleases has the targets that this instance released, with the epoch
	// of the placement that moved them.
	ownReleases map[string]int64
}

// NewLeases returns the leases of the instance self, which is in zone.
func NewLeases(self, zone string, store *state.Store) *Leases {
	r := &Leases{self: self, zone: zone, store: store, ownReleases: map[string]int64{}}
	r.evidence.Store(&Evidence{})
	return r
}

// Lease returns the local instance's lease on a target at the local time now.
func (r *Leases) Lease(target string, now time.Time) Lease {
	return DecideLease(r.store.Load(), r.evidence.Load(), r.self, r.zone, target, now)
}

// Evidence returns the current evidence, which the caller must not change.
func (r *Leases) Evidence() *Evidence { return r.evidence.Load() }

func (r *Leases) update(f func(e *Evidence)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.evidence.Load()
	f(&next)
	r.evidence.Store(&next)
}

// Grant decides whether this instance confirms the leases of a member at an
// epoch, and records the time if it does. A process that has not read the
// placement from the platform grants nothing, because before a restart it may
// have granted at a later epoch.
func (r *Leases) Grant(from string, epoch int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence.Load()
	p := r.store.Load().Placements[r.zone]
	if e.Platform.At.IsZero() || e.Platform.Epoch > epoch || p.Epoch != epoch ||
		!slices.Contains(p.Members, r.self) || !slices.Contains(p.Members, from) {
		return false
	}
	next := *e
	next.Granted = withEntry(e.Granted, from, now)
	r.evidence.Store(&next)
	return true
}

// ObserveAnswer records the grant with which an instance of the zone answered a
// heartbeat that was sent at sentAt. An answer without a grant changes nothing.
func (r *Leases) ObserveAnswer(from string, epoch int64, granted bool, sentAt time.Time) {
	if !granted {
		return
	}
	r.update(func(e *Evidence) {
		if g := e.ReceivedGrants[from]; epoch > g.Epoch || epoch == g.Epoch && sentAt.After(g.At) {
			e.ReceivedGrants = withEntry(e.ReceivedGrants, from, EpochTime{epoch, sentAt})
		}
	})
}

// ObserveEpoch records the epoch that an instance of the zone has adopted and the
// targets that it released because the placement of that epoch moved them.
func (r *Leases) ObserveEpoch(from string, epoch int64, released []string, now time.Time) {
	r.update(func(e *Evidence) {
		if epoch > e.PeerEpochs[from].Epoch {
			e.PeerEpochs = withEntry(e.PeerEpochs, from, EpochTime{epoch, now})
		}
		p := r.store.Load().Placements[r.zone]
		for _, t := range released {
			if p.Epoch == epoch && p.Previous[t] == from && e.Released[t] < epoch {
				e.Released = withEntry(e.Released, t, epoch)
			}
		}
	})
}

// ObserveLoads records the loads of targets that an instance reports, which may
// be the local one.
func (r *Leases) ObserveLoads(from string, loads []state.Load, now time.Time) {
	r.update(func(e *Evidence) {
		report := LoadReport{HeardAt: now, Loads: make(map[string]ReportedLoad, len(loads))}
		for t, l := range e.Reports[from].Loads {
			if now.Sub(l.At) <= warmReportAge {
				report.Loads[t] = l
			}
		}
		for _, l := range loads {
			report.Loads[l.Target] = ReportedLoad{l, now}
		}
		e.Reports = withEntry(e.Reports, from, report)
	})
}

// ObservePlatform records the epoch with which the platform answered a read of
// the placement that was sent at sentAt. Epoch 0 means that it has no placement.
func (r *Leases) ObservePlatform(epoch int64, sentAt time.Time) {
	r.update(func(e *Evidence) {
		if epoch > e.Platform.Epoch || epoch == e.Platform.Epoch && sentAt.After(e.Platform.At) {
			e.Platform = EpochTime{epoch, sentAt}
		}
	})
}

// ObserveAdoptedEpoch records that this instance has adopted an epoch.
func (r *Leases) ObserveAdoptedEpoch(epoch int64, now time.Time) {
	if r.evidence.Load().Adopted.Epoch >= epoch {
		return
	}
	r.update(func(e *Evidence) {
		if epoch > e.Adopted.Epoch {
			e.Adopted = EpochTime{epoch, now}
			e.Released = maps.Clone(e.Released)
			maps.DeleteFunc(e.Released, func(_ string, moveEpoch int64) bool { return moveEpoch < epoch })
		}
	})
}

// ObserveHandover records that the previous holder released a target.
func (r *Leases) ObserveHandover(target string, epoch int64) {
	r.update(func(e *Evidence) { e.Released = withEntry(e.Released, target, epoch) })
}

// MarkReleased records that this instance released a target that the placement
// at epoch moved away from it.
func (r *Leases) MarkReleased(target string, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownReleases[target] = epoch
}

// IsReleased reports whether MarkReleased was called for the target at epoch.
func (r *Leases) IsReleased(target string, epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownReleases[target] == epoch
}

// Released returns the epoch of the zone's placement and the targets that this
// instance released with it, for heartbeats.
func (r *Leases) Released() (epoch int64, targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch = r.store.Load().Placements[r.zone].Epoch
	for t, moveEpoch := range r.ownReleases {
		switch {
		case moveEpoch == epoch:
			targets = append(targets, t)
		case moveEpoch < epoch:
			delete(r.ownReleases, t)
		}
	}
	slices.Sort(targets)
	return epoch, targets
}

// Close ends all leases of this instance.
func (r *Leases) Close() { r.update(func(e *Evidence) { e.Closed = true }) }

// withEntry returns a copy of m with the entry key.
func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

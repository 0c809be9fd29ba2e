package placement

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/state"
)

// Rights collects the evidence for the local leases and answers what the
// instance may send. It is safe for concurrent use; Right takes no lock.
type Rights struct {
	self, zone string
	store      *state.Store

	mu       sync.Mutex
	evidence atomic.Pointer[Evidence]
	// releasing holds what this instance released, at the epoch of the move.
	releasing map[string]int64
}

// NewRights returns the rights of the instance self of a zone.
func NewRights(self, zone string, store *state.Store) *Rights {
	r := &Rights{self: self, zone: zone, store: store, releasing: map[string]int64{}}
	r.evidence.Store(&Evidence{})
	return r
}

// Right returns the right to send to a target.
func (r *Rights) Right(target string, now time.Time) Right {
	return Decide(r.store.Load(), r.evidence.Load(), r.self, r.zone, target, now)
}

// Evidence returns the current evidence, which the caller must not change.
func (r *Rights) Evidence() *Evidence { return r.evidence.Load() }

func (r *Rights) change(f func(e *Evidence)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.evidence.Load()
	f(&next)
	r.evidence.Store(&next)
}

// Grant decides whether this instance grants the lease of another member at an
// epoch. A process that has not read the placement from the platform grants
// nothing, since it may have granted at a later epoch before it restarted.
func (r *Rights) Grant(from string, epoch int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence.Load()
	p := r.store.Load().Placements[r.zone]
	if e.Platform.At.IsZero() || e.Platform.Epoch > epoch || p.Epoch != epoch ||
		!slices.Contains(p.Members, r.self) || !slices.Contains(p.Members, from) {
		return false
	}
	next := *e
	next.Granted = put(e.Granted, from, now)
	r.evidence.Store(&next)
	return true
}

// ObserveAnswer notes the answer of an instance of the zone to a heartbeat
// that was sent at sentAt.
func (r *Rights) ObserveAnswer(from string, epoch int64, granted bool, sentAt time.Time) {
	if !granted {
		return
	}
	r.change(func(e *Evidence) {
		if g := e.Grants[from]; epoch > g.Epoch || epoch == g.Epoch && sentAt.After(g.At) {
			e.Grants = put(e.Grants, from, Mark{epoch, sentAt})
		}
	})
}

// ObserveEpoch notes the epoch at which an instance of the zone is, and the
// targets that it released with that epoch.
func (r *Rights) ObserveEpoch(from string, epoch int64, released []string, now time.Time) {
	r.change(func(e *Evidence) {
		if epoch > e.Seen[from].Epoch {
			e.Seen = put(e.Seen, from, Mark{epoch, now})
		}
		p := r.store.Load().Placements[r.zone]
		for _, t := range released {
			if p.Epoch == epoch && p.Previous[t] == from && e.Released[t] < epoch {
				e.Released = put(e.Released, t, epoch)
			}
		}
	})
}

// ObserveLoads notes what an instance, or the local one, reports of targets.
func (r *Rights) ObserveLoads(from string, loads []state.Load, now time.Time) {
	r.change(func(e *Evidence) {
		report := LoadReport{HeardAt: now, Loads: make(map[string]ReportedLoad, len(loads))}
		for t, l := range e.Reports[from].Loads {
			if now.Sub(l.At) <= warmReportAge {
				report.Loads[t] = l
			}
		}
		for _, l := range loads {
			report.Loads[l.Target] = ReportedLoad{l, now}
		}
		e.Reports = put(e.Reports, from, report)
	})
}

// ObservePlatform notes that the platform answered a read of the placement,
// sent at sentAt, with an epoch (0: no such object).
func (r *Rights) ObservePlatform(epoch int64, sentAt time.Time) {
	r.change(func(e *Evidence) {
		if epoch > e.Platform.Epoch || epoch == e.Platform.Epoch && sentAt.After(e.Platform.At) {
			e.Platform = Mark{epoch, sentAt}
		}
	})
}

// ObserveAdopted notes that this instance is at an epoch.
func (r *Rights) ObserveAdopted(epoch int64, now time.Time) {
	if r.evidence.Load().Adopted.Epoch >= epoch {
		return
	}
	r.change(func(e *Evidence) {
		if epoch > e.Adopted.Epoch {
			e.Adopted = Mark{epoch, now}
			e.Released = maps.Clone(e.Released)
			maps.DeleteFunc(e.Released, func(_ string, at int64) bool { return at < epoch })
		}
	})
}

// ObserveHandover notes that the previous holder released a target.
func (r *Rights) ObserveHandover(target string, epoch int64) {
	r.change(func(e *Evidence) { e.Released = put(e.Released, target, epoch) })
}

// MarkReleased notes that this instance released a target that the placement
// at epoch moved away from it.
func (r *Rights) MarkReleased(target string, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releasing[target] = epoch
}

// IsReleased reports whether MarkReleased was called for the target at epoch.
func (r *Rights) IsReleased(target string, epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releasing[target] == epoch
}

// Released returns the epoch of the zone's placement and the targets that this
// instance released with it, for heartbeats.
func (r *Rights) Released() (epoch int64, targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch = r.store.Load().Placements[r.zone].Epoch
	for t, at := range r.releasing {
		switch {
		case at == epoch:
			targets = append(targets, t)
		case at < epoch:
			delete(r.releasing, t)
		}
	}
	slices.Sort(targets)
	return epoch, targets
}

// Close ends all rights of this instance.
func (r *Rights) Close() { r.change(func(e *Evidence) { e.Closed = true }) }

func put[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

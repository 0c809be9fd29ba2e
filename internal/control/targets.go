package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

const (
	// pollEvery is the interval of the first reader of a zone. The others poll
	// every spareEvery, since they get its view at once and are only needed
	// while it is gone. Both are less than pollStale.
	pollEvery  = 500 * time.Millisecond
	spareEvery = time.Second
	mergeEvery = 100 * time.Millisecond
	// absentAfter is how long a target must be missing from the list before
	// it gets no new work. The list lags, and its entries may flap.
	absentAfter = 5 * time.Second
	// dropAfter is when a missing target leaves the Snapshot.
	dropAfter = time.Minute
	// rememberFor is how long the leaving state of a missing target is kept,
	// for a list that shows it again.
	rememberFor = time.Hour
	// pollStale is the age of the last poll after which it counts no more.
	pollStale = 2 * time.Second
	// switchBackAfter is how long the current incarnation must be missing
	// before an earlier one counts again. An instance that starts during a
	// target's restart may see the two in the wrong order.
	switchBackAfter = 2 * time.Second
	pastLimit       = 16

	targetLive    = "live"
	targetLeaving = "leaving"
	targetAbsent  = "absent"
)

// InstanceLister returns the platform's list of target instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]platform.TargetItem, error)
}

type targetEntry struct {
	item    platform.TargetItem
	leaving bool      // sticky for the incarnation
	polled  time.Time // last seen in the local poll
	seen    time.Time // last seen in any source
	past    []pastIncarnation
}

type pastIncarnation struct {
	name    string
	leaving bool
}

type targetView struct {
	version int64
	items   []platform.TargetItem
}

// TargetList merges the instance list as this instance polls it with the views
// that watch readers share, and publishes the targets in the Store. Run is
// called once; there are no other methods.
type TargetList struct {
	logger *log.Logger
	self   Self
	store  *state.Store
	sync   *Sync
	lister InstanceLister

	entries   map[string]*targetEntry
	views     map[string]targetView // decoded views, by reader
	nextPoll  time.Time
	lastPoll  time.Time // last successful poll
	published []byte    // last shared view, nil for none
	version   int64
}

// NewTargetList returns a TargetList.
func NewTargetList(logger *log.Logger, self Self, store *state.Store, s *Sync, lister InstanceLister) *TargetList {
	return &TargetList{logger: logs.OrDiscard(logger), self: self, store: store, sync: s, lister: lister, entries: map[string]*targetEntry{}, views: map[string]targetView{}}
}

// Run polls and merges until ctx ends.
func (l *TargetList) Run(ctx context.Context) error {
	ticker := time.NewTicker(mergeEvery)
	defer ticker.Stop()
	for {
		l.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *TargetList) reconcile(ctx context.Context) {
	rank := readerRank(l.store.Load(), l.self.Name, l.self.Zone)
	reader, every := rank < readersPerZone, pollEvery
	if rank > 0 {
		every = spareEvery
	}
	if now := time.Now(); reader && !now.Before(l.nextPoll) {
		l.nextPoll = now.Add(every)
		items, err := l.lister.Instances(ctx)
		if err != nil {
			l.logger.Debug().Err(err).Msg("instance list not read")
		} else {
			l.takePoll(items, time.Now())
		}
	}
	now := time.Now()
	sources := l.takeViews(now)
	fresh := reader && !l.lastPoll.IsZero() && now.Sub(l.lastPoll) <= pollStale
	l.share(fresh, now)
	l.publish(fresh || sources > 0, now)
}

// takePoll merges the list as the platform shows it.
func (l *TargetList) takePoll(items []platform.TargetItem, now time.Time) {
	if gap := now.Sub(l.lastPoll); !l.lastPoll.IsZero() && gap > pollStale {
		// Time without a list does not count as absence.
		for _, e := range l.entries {
			e.polled, e.seen = e.polled.Add(gap), e.seen.Add(gap)
		}
	}
	l.lastPoll = now
	// Where a list shows two incarnations, the leaving one is the older.
	slices.SortStableFunc(items, func(a, b platform.TargetItem) int {
		return boolInt(a.State != targetLeaving) - boolInt(b.State != targetLeaving)
	})
	for _, item := range items {
		if e := l.take(item, now); e != nil {
			e.polled, e.seen = now, now
		}
	}
}

// takeViews merges the views of the live watch readers and returns their
// number. A view's presence counts as long as its reader is alive.
func (l *TargetList) takeViews(now time.Time) (sources int) {
	snap := l.store.Load()
	for _, o := range l.sync.Objects(kindTargets) {
		i, ok := snap.Instances[o.Name]
		if o.Name == l.self.Name || !ok || i.Liveness == state.Suspect {
			continue
		}
		view, ok := l.views[o.Name]
		if !ok || view.version != o.Version {
			view = targetView{version: o.Version}
			if err := json.Unmarshal(o.Value, &view.items); err != nil {
				l.logger.Error().Err(err).Str("reader", o.Name).Msg("target view not decoded")
			}
			l.views[o.Name] = view
		}
		sources++
		for _, item := range view.items {
			if e := l.take(item, now); e != nil && item.State != targetAbsent {
				e.seen = now
			}
		}
	}
	return sources
}

// take merges one item. It returns nil if the item shows an incarnation that
// was replaced. The leaving state of each incarnation is kept.
func (l *TargetList) take(item platform.TargetItem, now time.Time) *targetEntry {
	if item.Name == "" {
		return nil
	}
	e, ok := l.entries[item.Name]
	if !ok {
		e = &targetEntry{item: item}
		l.entries[item.Name] = e
	}
	if e.item.Incarnation != item.Incarnation {
		at := slices.IndexFunc(e.past, func(p pastIncarnation) bool { return p.name == item.Incarnation })
		leaving := false
		if at >= 0 {
			if now.Sub(e.seen) < switchBackAfter {
				return nil
			}
			leaving = e.past[at].leaving
			e.past = slices.Delete(e.past, at, at+1)
		}
		past := append(e.past, pastIncarnation{e.item.Incarnation, e.leaving})
		*e = targetEntry{leaving: leaving, past: past[max(0, len(past)-pastLimit):]}
	}
	e.item = item
	if item.State == targetLeaving && !e.leaving {
		e.leaving = true
		l.logger.Info().Str("target", item.Name).Str("incarnation", item.Incarnation).
			Str("reason", "instance list").Msg("target leaving")
	}
	return e
}

// share gives the local view to the peers while the local polls succeed, and
// withdraws it otherwise.
func (l *TargetList) share(fresh bool, now time.Time) {
	var value []byte
	if fresh {
		var view []platform.TargetItem
		for _, name := range slices.Sorted(maps.Keys(l.entries)) {
			e := l.entries[name]
			item := e.item
			switch {
			case e.leaving:
				item.State = targetLeaving
			case now.Sub(e.polled) >= dropAfter:
				continue
			case now.Sub(e.polled) >= absentAfter:
				item.State = targetAbsent
			default:
				item.State = targetLive
			}
			view = append(view, item)
		}
		value, _ = json.Marshal(view) // strings only; cannot fail
	}
	if string(value) == string(l.published) {
		return
	}
	l.published = value
	// The version orders the views of one reader, across its restarts too.
	l.version = max(l.version+1, now.UnixMicro())
	l.sync.Apply(platform.Object{Kind: kindTargets, Name: l.self.Name, Version: l.version, Value: value, Deleted: value == nil})
}

// publish puts the targets into the Store. Without a source nothing ages.
func (l *TargetList) publish(sourced bool, now time.Time) {
	targets := make(map[string]state.Target, len(l.entries))
	for name, e := range l.entries {
		if !sourced {
			if t, ok := l.store.Load().Targets[name]; ok {
				targets[name] = t
			}
			continue
		}
		missing := now.Sub(e.seen)
		if missing >= rememberFor {
			delete(l.entries, name)
		}
		if missing >= dropAfter {
			continue
		}
		targets[name] = state.Target{
			Name: name, Service: e.item.Service, Zone: e.item.Zone, Address: e.item.Address,
			Incarnation: e.item.Incarnation, Leaving: e.leaving || missing >= absentAfter,
		}
	}
	if !maps.Equal(targets, l.store.Load().Targets) {
		l.store.Update(func(next *state.Snapshot) { next.Targets = targets })
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

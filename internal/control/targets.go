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
	// pollInterval is the poll interval of the first reader of a zone. The other
	// readers poll at standbyPollInterval: they get the view of the first one at
	// once, and their own poll matters only while that one is gone. Both are
	// less than pollStaleAfter.
	pollInterval        = 500 * time.Millisecond
	standbyPollInterval = time.Second
	mergeInterval       = 100 * time.Millisecond
	// absentAfter is how long a target must be missing from the list before
	// it gets no new requests. The list lags, and its entries may flap.
	absentAfter = 5 * time.Second
	// dropAfter is how long a target must be missing from the list before it is
	// removed from the Snapshot.
	dropAfter = time.Minute
	// entryRetention is how long a missing target and its leaving state are
	// remembered, in case the list shows it again.
	entryRetention = time.Hour
	// pollStaleAfter is the age above which the last poll is ignored.
	pollStaleAfter = 2 * time.Second
	// switchBackAfter is how long the current incarnation must be missing
	// before an earlier one is accepted again. An instance that starts during a
	// target's restart may see the two in the wrong order.
	switchBackAfter = 2 * time.Second
	// maxPastIncarnations is the number of earlier incarnations remembered for
	// a target.
	maxPastIncarnations = 16

	// States of a target in the instance list and in shared views. Only views
	// contain targetAbsent.
	targetLive    = "live"
	targetLeaving = "leaving"
	targetAbsent  = "absent"
)

// InstanceLister returns the platform's list of target instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]platform.TargetItem, error)
}

// targetEntry is what TargetList knows of one target. It describes the current
// incarnation, and replaced ones in pastIncarnations.
type targetEntry struct {
	item             platform.TargetItem
	leaving          bool      // never reset for the same incarnation
	polledAt         time.Time // last seen in a local poll
	seenAt           time.Time // last seen in any source
	pastIncarnations []pastIncarnation
}

type pastIncarnation struct {
	name    string
	leaving bool
}

// targetView is the decoded view that a reader shares, with its version.
type targetView struct {
	version int64
	items   []platform.TargetItem
}

// TargetList maintains the list of targets in the Store. It merges the
// platform's instance list, which it polls while this instance is a reader, with
// the views that other readers share. Only the goroutine of Run uses its fields;
// Run is called once.
type TargetList struct {
	logger *log.Logger
	self   Self
	store  *state.Store
	sync   *Sync
	lister InstanceLister

	entries       map[string]*targetEntry
	views         map[string]targetView // decoded views, by reader
	nextPoll      time.Time
	lastPoll      time.Time // last successful poll
	publishedView []byte    // last shared view, nil for none
	viewVersion   int64
}

// NewTargetList returns a TargetList.
func NewTargetList(logger *log.Logger, self Self, store *state.Store, s *Sync, lister InstanceLister) *TargetList {
	return &TargetList{logger: logs.OrDiscard(logger), self: self, store: store, sync: s, lister: lister, entries: map[string]*targetEntry{}, views: map[string]targetView{}}
}

// Run polls and merges until ctx ends.
func (l *TargetList) Run(ctx context.Context) error {
	ticker := time.NewTicker(mergeInterval)
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

// reconcile polls the instance list if due, merges all sources and publishes
// the result.
func (l *TargetList) reconcile(ctx context.Context) {
	rank := readerRank(l.store.Load(), l.self.Name, l.self.Zone)
	reader, interval := rank < readersPerZone, pollInterval
	if rank > 0 {
		interval = standbyPollInterval
	}
	if now := time.Now(); reader && !now.Before(l.nextPoll) {
		l.nextPoll = now.Add(interval)
		items, err := l.lister.Instances(ctx)
		if err != nil {
			l.logger.Debug().Err(err).Msg("instance list not read")
		} else {
			l.mergePoll(items, time.Now())
		}
	}
	now := time.Now()
	sources := l.mergeViews(now)
	fresh := reader && !l.lastPoll.IsZero() && now.Sub(l.lastPoll) <= pollStaleAfter
	l.shareView(fresh, now)
	l.publish(fresh || sources > 0, now)
}

// mergePoll merges the instance list as the platform returned it.
func (l *TargetList) mergePoll(items []platform.TargetItem, now time.Time) {
	if gap := now.Sub(l.lastPoll); !l.lastPoll.IsZero() && gap > pollStaleAfter {
		// The time in which this instance read no list does not count as absence.
		for _, e := range l.entries {
			e.polledAt, e.seenAt = e.polledAt.Add(gap), e.seenAt.Add(gap)
		}
	}
	l.lastPoll = now
	// If the list contains two incarnations of a target, the leaving one is the
	// older and is merged first.
	slices.SortStableFunc(items, func(a, b platform.TargetItem) int {
		return boolToInt(a.State != targetLeaving) - boolToInt(b.State != targetLeaving)
	})
	for _, item := range items {
		if e := l.mergeItem(item, now); e != nil {
			e.polledAt, e.seenAt = now, now
		}
	}
}

// mergeViews merges the views of the other readers that answer heartbeats and
// returns their number. A target in such a view counts as present for as long as
// the reader answers.
func (l *TargetList) mergeViews(now time.Time) (sources int) {
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
			if e := l.mergeItem(item, now); e != nil && item.State != targetAbsent {
				e.seenAt = now
			}
		}
	}
	return sources
}

// mergeItem merges one item and returns its entry, or nil if the item has no
// name or shows an incarnation that was replaced. The leaving state of each
// incarnation is kept.
func (l *TargetList) mergeItem(item platform.TargetItem, now time.Time) *targetEntry {
	if item.Name == "" {
		return nil
	}
	e, ok := l.entries[item.Name]
	if !ok {
		e = &targetEntry{item: item}
		l.entries[item.Name] = e
	}
	if e.item.Incarnation != item.Incarnation {
		index := slices.IndexFunc(e.pastIncarnations, func(p pastIncarnation) bool { return p.name == item.Incarnation })
		leaving := false
		if index >= 0 {
			if now.Sub(e.seenAt) < switchBackAfter {
				return nil
			}
			leaving = e.pastIncarnations[index].leaving
			e.pastIncarnations = slices.Delete(e.pastIncarnations, index, index+1)
		}
		past := append(e.pastIncarnations, pastIncarnation{e.item.Incarnation, e.leaving})
		*e = targetEntry{leaving: leaving, pastIncarnations: past[max(0, len(past)-maxPastIncarnations):]}
	}
	e.item = item
	if item.State == targetLeaving && !e.leaving {
		e.leaving = true
		l.logger.Info().Str("target", item.Name).Str("incarnation", item.Incarnation).
			Str("reason", "instance list").Msg("target leaving")
	}
	return e
}

// shareView publishes the local view to the peers while the last poll is fresh,
// and deletes it otherwise.
func (l *TargetList) shareView(fresh bool, now time.Time) {
	var value []byte
	if fresh {
		var view []platform.TargetItem
		for _, name := range slices.Sorted(maps.Keys(l.entries)) {
			e := l.entries[name]
			item := e.item
			switch {
			case e.leaving:
				item.State = targetLeaving
			case now.Sub(e.polledAt) >= dropAfter:
				continue
			case now.Sub(e.polledAt) >= absentAfter:
				item.State = targetAbsent
			default:
				item.State = targetLive
			}
			view = append(view, item)
		}
		value, _ = json.Marshal(view) // cannot fail: the fields are strings
	}
	if string(value) == string(l.publishedView) {
		return
	}
	l.publishedView = value
	// The time in the version orders the views of a reader across restarts.
	l.viewVersion = max(l.viewVersion+1, now.UnixMicro())
	l.sync.Apply(platform.Object{Kind: kindTargets, Name: l.self.Name, Version: l.viewVersion, Value: value, Deleted: value == nil})
}

// publish writes the targets to the Store. Without a source, the targets in the
// Store stay, since their age would say nothing.
func (l *TargetList) publish(hasSource bool, now time.Time) {
	targets := make(map[string]state.Target, len(l.entries))
	for name, e := range l.entries {
		if !hasSource {
			if t, ok := l.store.Load().Targets[name]; ok {
				targets[name] = t
			}
			continue
		}
		missing := now.Sub(e.seenAt)
		if missing >= entryRetention {
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

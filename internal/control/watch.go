package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// isReader reports whether an instance is a reader of its zone, that is, one
// that watches the platform. These are the live instances with the lowest names.
func isReader(snap *state.Snapshot, name, zone string) bool {
	return readerRank(snap, name, zone) < readersPerZone
}

// readerRank returns the number of live instances of the zone with lower names.
func readerRank(snap *state.Snapshot, name, zone string) int {
	lower := 0
	for _, i := range snap.Instances {
		if i.Zone == zone && i.Liveness == state.Alive && i.Name < name {
			lower++
		}
	}
	return lower
}

// watch keeps the objects in step with the platform while this instance is a
// reader: it lists them once and then waits for changes. It runs until ctx ends.
func (s *Sync) watch(ctx context.Context) {
	var since int64
	listed := false
	backoff := backoffMin
	for ctx.Err() == nil {
		if !isReader(s.store.Load(), s.self.Name, s.self.Zone) {
			listed = false
			sleep(ctx, backoffMin)
			continue
		}
		var err error
		if !listed {
			since, err = s.listPlatform(ctx)
			listed = err == nil
		} else {
			since, err = s.watchOnce(ctx, since)
			listed = !platform.ErrRevisionGone.Has(err)
		}
		if err == nil {
			backoff = backoffMin
			continue
		}
		if platform.ErrRevisionGone.Has(err) {
			s.logger.Info().Int64("since", since).Str("reason", "revision gone").Msg("platform listed again")
			continue
		}
		s.logger.Debug().Err(err).Msg("watch failed")
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, backoffMax)
	}
}

// watchOnce makes one watch call, applies the changes and returns the revision
// for the next call.
func (s *Sync) watchOnce(ctx context.Context, since int64) (int64, error) {
	sentAt := time.Now()
	items, revision, err := s.platform.Watch(ctx, platformKinds, since, watchWait)
	if err != nil {
		return since, err
	}
	slices.SortFunc(items, func(a, b platform.Object) int { return int(a.Version - b.Version) })
	changed := false
	for _, o := range items {
		changed = s.apply(o) || changed
	}
	if changed {
		signal(s.pushDue)
	}
	// The platform made an empty answer at the end of the wait, so this answer
	// confirms the state as of then.
	if len(items) == 0 && time.Since(sentAt) >= watchWait {
		sentAt = sentAt.Add(watchWait)
	}
	s.freshness.Confirm(sentAt)
	if len(items) == 0 && time.Since(sentAt) < backoffMin && revision <= since {
		// A platform that answers at once without changes must not be polled in
		// a tight loop.
		sleep(ctx, backoffMin)
	}
	return max(since, revision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

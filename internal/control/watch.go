package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// isReader reports whether the instance is among those of its zone that watch
// the platform: the live ones with the lowest names.
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

// watch follows the platform while this instance is a reader.
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
			since, err = s.list(ctx)
			listed = err == nil
		} else {
			since, err = s.follow(ctx, since)
			listed = !platform.ErrGone.Has(err)
		}
		if err == nil {
			backoff = backoffMin
			continue
		}
		if platform.ErrGone.Has(err) {
			s.logger.Info().Int64("since", since).Str("reason", "revision gone").Msg("platform listed again")
			continue
		}
		s.logger.Debug().Err(err).Msg("watch failed")
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, backoffMax)
	}
}

// follow waits for changes once and returns the next revision.
func (s *Sync) follow(ctx context.Context, since int64) (int64, error) {
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
		signal(s.push)
	}
	// An empty answer after the whole wait was made at its end.
	if len(items) == 0 && time.Since(sentAt) >= watchWait {
		sentAt = sentAt.Add(watchWait)
	}
	s.freshness.Confirm(sentAt)
	if len(items) == 0 && time.Since(sentAt) < backoffMin && revision <= since {
		// A platform that answers at once without news must not be polled in
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

package follow

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/lifecycle"
)

// lapseHold is how long after the end of an outage of the store missing entries are
// kept, so that their replicas can report again. The platform promises that within
// about two seconds.
const lapseHold = 2 * time.Second

// lapseCheckInterval is how often the holds are checked for their end.
const lapseCheckInterval = 100 * time.Millisecond

// removalMemory is how long removed replicas are remembered. A copy from which the store
// comes back is some seconds old, and its entries lapse within seconds.
const removalMemory = time.Minute

// ReplicaSink keeps the replicas of the catalog up to date. An entry that is
// removed less than lapseHold after an outage of the store is held until the end of
// that time, because it may have lapsed only while its replica could not report. A
// draining replica is removed at once. An entry that a copy brings back, from which
// the store has come back, is not used until its replica reports again.
type ReplicaSink struct {
	logger *log.Logger
	store  *catalog.Store
	link   *Link

	mu        sync.Mutex
	heldUntil map[string]time.Time // end of the hold of each held entry
	removed   map[string]removal   // by ID
}

// removal is the last report of a replica that was removed.
type removal struct {
	startedAt, sequence int64 // as in catalog.Replica
	at                  time.Time
}

// NewReplicaSink returns a ReplicaSink. Run has to be called, as it ends the holds.
func NewReplicaSink(logger *log.Logger, store *catalog.Store, link *Link) *ReplicaSink {
	return &ReplicaSink{logger: logger, store: store, link: link, heldUntil: map[string]time.Time{}, removed: map[string]removal{}}
}

// Replace implements Sink.
func (s *ReplicaSink) Replace(items []Item[catalog.Replica]) {
	s.update(func(replicas map[string]catalog.Replica) {
		listed := make(map[string]bool, len(items))
		for _, item := range items {
			listed[item.Name] = true
			s.merge(replicas, item)
		}
		for id := range replicas {
			if !listed[id] {
				s.removeOrHold(replicas, id)
			}
		}
	})
}

// Apply implements Sink.
func (s *ReplicaSink) Apply(changes []Change[catalog.Replica]) {
	s.update(func(replicas map[string]catalog.Replica) {
		for _, c := range changes {
			if c.Deleted {
				s.removeOrHold(replicas, c.Name)
			} else {
				s.merge(replicas, c.Item)
			}
		}
	})
}

// Run removes the entries whose hold has ended, until ctx ends.
func (s *ReplicaSink) Run(ctx context.Context) error {
	return lifecycle.Every(ctx, lapseCheckInterval, s.expire)
}

func (s *ReplicaSink) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []string
	for id, until := range s.heldUntil {
		if !now.Before(until) {
			expired = append(expired, id)
			delete(s.heldUntil, id)
		}
	}
	if len(expired) > 0 {
		s.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
			for _, id := range expired {
				delete(replicas, id)
				s.logger.Info().Str("event", "replica gone").Str("replica", id).Str("reason", "missing after outage").Msg("replica removed")
			}
		})
	}
	maps.DeleteFunc(s.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalMemory })
}

func (s *ReplicaSink) update(f func(replicas map[string]catalog.Replica)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.UpdateReplicas(f)
}

func (s *ReplicaSink) merge(replicas map[string]catalog.Replica, item Item[catalog.Replica]) {
	if !item.Valid {
		s.logger.Warn().Str("event", "replica unreadable").Str("replica", item.Name).Int64("revision", item.Revision).
			Msg("replica entry cannot be decoded; replica removed")
		delete(replicas, item.Name)
		return
	}
	report := item.Value
	if report.WarmupLeft > 0 {
		report.ColdUntil = time.Now().Add(report.WarmupLeft)
	}
	if s.isFromCopy(report) {
		s.logger.Info().Str("event", "replica ignored").Str("replica", report.ID).Str("service", report.Service).
			Int64("sequence", report.Sequence).Str("reason", "removed before the store was restored").Msg("replica is not used until it reports again")
		return
	}
	delete(s.heldUntil, report.ID)
	delete(s.removed, report.ID)
	before, known := replicas[report.ID]
	if !catalog.Merge(replicas, report) {
		return
	}
	if now := replicas[report.ID]; !known || before.Draining != now.Draining || before.StartedAt != now.StartedAt {
		s.logger.Info().Str("event", "replica").Str("replica", report.ID).Str("service", report.Service).
			Str("zone", report.Zone).Bool("draining", now.Draining).Dur("warmup_left", report.WarmupLeft).
			Int64("born", now.StartedAt).Int64("revision", item.Revision).Msg("replica reported")
	}
}

// isFromCopy reports whether a report is older than the removal of its replica, and is
// there again only because the store has come back from a copy.
func (s *ReplicaSink) isFromCopy(report catalog.Replica) bool {
	r, removed := s.removed[report.ID]
	return removed && s.link.RestoredAt().After(r.at) && r.startedAt == report.StartedAt && report.Sequence <= r.sequence
}

// removeOrHold removes an entry, or holds it if the last outage of the store ended
// less than lapseHold ago and the replica is not draining.
func (s *ReplicaSink) removeOrHold(replicas map[string]catalog.Replica, id string) {
	r, known := replicas[id]
	if !known {
		return
	}
	if until := s.link.ReturnedAt().Add(lapseHold); !r.Draining && time.Now().Before(until) {
		s.heldUntil[id] = until
		return
	}
	delete(replicas, id)
	delete(s.heldUntil, id)
	s.removed[id] = removal{r.StartedAt, r.Sequence, time.Now()}
	s.logger.Info().Str("event", "replica gone").Str("replica", id).Str("service", r.Service).Msg("replica removed")
}

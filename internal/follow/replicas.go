package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// lapseHold is how long after the end of an outage of the store missing entries are
// kept, so that their replicas can report again. The platform promises that within
// about two seconds.
const lapseHold = 2 * time.Second

// lapseCheckInterval is how often the holds are checked for their end.
const lapseCheckInterval = 100 * time.Millisecond

// ReplicaSink keeps the replicas of the catalog up to date. An entry that is
// removed less than lapseHold after an outage of the store is held until the end of
// that time, because it may have lapsed only while its replica could not report. A
// draining replica is removed at once.
type ReplicaSink struct {
	logger    *log.Logger
	store     *catalog.Store
	link      *Link
	heldUntil chan map[string]time.Time // end of the hold of each held entry; one element, taken out as a lock
}

// NewReplicaSink returns a ReplicaSink. Run has to be called, as it ends the holds.
func NewReplicaSink(logger *log.Logger, store *catalog.Store, link *Link) *ReplicaSink {
	s := &ReplicaSink{logger: logger, store: store, link: link, heldUntil: make(chan map[string]time.Time, 1)}
	s.heldUntil <- map[string]time.Time{}
	return s
}

// Replace implements Sink.
func (s *ReplicaSink) Replace(items []Item[catalog.Replica]) {
	s.update(func(replicas map[string]catalog.Replica, held map[string]time.Time) {
		listed := make(map[string]bool, len(items))
		for _, item := range items {
			listed[item.Name] = true
			s.merge(replicas, held, item)
		}
		for id := range replicas {
			if !listed[id] {
				s.removeOrHold(replicas, held, id)
			}
		}
	})
}

// Apply implements Sink.
func (s *ReplicaSink) Apply(changes []Change[catalog.Replica]) {
	s.update(func(replicas map[string]catalog.Replica, held map[string]time.Time) {
		for _, c := range changes {
			if c.Deleted {
				s.removeOrHold(replicas, held, c.Name)
			} else {
				s.merge(replicas, held, c.Item)
			}
		}
	})
}

// Run removes the entries whose hold has ended, until ctx ends.
func (s *ReplicaSink) Run(ctx context.Context) error {
	ticker := time.NewTicker(lapseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expire(now)
		}
	}
}

func (s *ReplicaSink) expire(now time.Time) {
	held := <-s.heldUntil
	var expired []string
	for id, until := range held {
		if !now.Before(until) {
			expired = append(expired, id)
			delete(held, id)
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
	s.heldUntil <- held
}

func (s *ReplicaSink) update(f func(replicas map[string]catalog.Replica, held map[string]time.Time)) {
	held := <-s.heldUntil
	s.store.UpdateReplicas(func(replicas map[string]catalog.Replica) { f(replicas, held) })
	s.heldUntil <- held
}

func (s *ReplicaSink) merge(replicas map[string]catalog.Replica, held map[string]time.Time, item Item[catalog.Replica]) {
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
	delete(held, report.ID)
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

// removeOrHold removes an entry, or holds it if the last outage of the store ended
// less than lapseHold ago and the replica is not draining.
func (s *ReplicaSink) removeOrHold(replicas map[string]catalog.Replica, held map[string]time.Time, id string) {
	r, known := replicas[id]
	if !known {
		return
	}
	if until := s.link.ReturnedAt().Add(lapseHold); !r.Draining && time.Now().Before(until) {
		held[id] = until
		return
	}
	delete(replicas, id)
	delete(held, id)
	s.logger.Info().Str("event", "replica gone").Str("replica", id).Str("service", r.Service).Msg("replica removed")
}

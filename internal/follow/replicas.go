package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// lapseHold is how long an entry that is missing after an outage of the store
// may still come back. The platform promises about two seconds.
const lapseHold = 2 * time.Second

// lapseTick is how often held entries are looked at.
const lapseTick = 100 * time.Millisecond

// ReplicaSink keeps the set of replicas. Entries that lapsed during an outage of
// the store are kept until their replicas had time to report again.
type ReplicaSink struct {
	logger *log.Logger
	store  *catalog.Store
	link   *Link
	held   chan map[string]time.Time // entry to the end of its hold; one element
}

// NewReplicaSink returns a ReplicaSink. Its Run removes held entries.
func NewReplicaSink(logger *log.Logger, store *catalog.Store, link *Link) *ReplicaSink {
	s := &ReplicaSink{logger: logger, store: store, link: link, held: make(chan map[string]time.Time, 1)}
	s.held <- map[string]time.Time{}
	return s
}

// Replace implements Sink.
func (s *ReplicaSink) Replace(items []Item[catalog.Replica]) {
	s.change(func(replicas map[string]catalog.Replica, held map[string]time.Time) {
		listed := make(map[string]bool, len(items))
		for _, item := range items {
			listed[item.Name] = true
			s.merge(replicas, held, item)
		}
		for id := range replicas {
			if !listed[id] {
				s.remove(replicas, held, id)
			}
		}
	})
}

// Apply implements Sink.
func (s *ReplicaSink) Apply(changes []Change[catalog.Replica]) {
	s.change(func(replicas map[string]catalog.Replica, held map[string]time.Time) {
		for _, c := range changes {
			if c.Deleted {
				s.remove(replicas, held, c.Name)
			} else {
				s.merge(replicas, held, c.Item)
			}
		}
	})
}

// Run removes held entries whose time is over.
func (s *ReplicaSink) Run(ctx context.Context) error {
	ticker := time.NewTicker(lapseTick)
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
	held := <-s.held
	var over []string
	for id, until := range held {
		if !now.Before(until) {
			over = append(over, id)
			delete(held, id)
		}
	}
	if len(over) > 0 {
		s.store.UpdateReplicas(func(replicas map[string]catalog.Replica) {
			for _, id := range over {
				delete(replicas, id)
				s.logger.Info().Str("event", "replica gone").Str("replica", id).Str("reason", "missing after outage").Msg("replica removed")
			}
		})
	}
	s.held <- held
}

func (s *ReplicaSink) change(f func(replicas map[string]catalog.Replica, held map[string]time.Time)) {
	held := <-s.held
	s.store.UpdateReplicas(func(replicas map[string]catalog.Replica) { f(replicas, held) })
	s.held <- held
}

func (s *ReplicaSink) merge(replicas map[string]catalog.Replica, held map[string]time.Time, item Item[catalog.Replica]) {
	if !item.Valid {
		s.logger.Warn().Str("event", "replica unreadable").Str("replica", item.Name).Int64("revision", item.Revision).
			Msg("entry names no replica")
		delete(replicas, item.Name)
		return
	}
	report := item.Value
	if report.WarmupLeft > 0 {
		report.ColdUntil = time.Now().Add(report.WarmupLeft)
	}
	delete(held, report.ID)
	old, known := replicas[report.ID]
	if !catalog.Merge(replicas, report) {
		return
	}
	if now := replicas[report.ID]; !known || old.Draining != now.Draining || old.Born != now.Born {
		s.logger.Info().Str("event", "replica").Str("replica", report.ID).Str("service", report.Service).
			Str("zone", report.Zone).Bool("draining", now.Draining).Dur("warmup_left", report.WarmupLeft).
			Int64("born", now.Born).Int64("revision", item.Revision).Msg("replica reported")
	}
}

// remove removes an entry, or holds it while the store has only just returned.
func (s *ReplicaSink) remove(replicas map[string]catalog.Replica, held map[string]time.Time, id string) {
	r, known := replicas[id]
	if !known {
		return
	}
	if until := s.link.BackAt().Add(lapseHold); !r.Draining && time.Now().Before(until) {
		held[id] = until
		return
	}
	delete(replicas, id)
	delete(held, id)
	s.logger.Info().Str("event", "replica gone").Str("replica", id).Str("service", r.Service).Msg("replica removed")
}

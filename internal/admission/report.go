package admission

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// reportInterval is the time between two reports.
const reportInterval = time.Second

// Report writes what budgets have given out to scope, and logs that clients gave way or
// found no room, until ctx ends.
func Report(ctx context.Context, logger *log.Logger, scope tally.Scope, budgets ...*Budget) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := make([]Counts, len(budgets))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for i, b := range budgets {
			counts := b.Counts()
			b.report(logger, scope, counts.since(reported[i]))
			reported[i] = counts
		}
	}
}

func (c Counts) since(earlier Counts) Counts {
	return Counts{Evicted: c.Evicted - earlier.Evicted, Refused: c.Refused - earlier.Refused}
}

func (b *Budget) report(logger *log.Logger, scope tally.Scope, counts Counts) {
	used := b.Used()
	scope = scope.Tagged(map[string]string{"listener": b.name})
	scope.Gauge("client_connections").Update(float64(used.Conns))
	scope.Gauge("client_bytes").Update(float64(used.Bytes))
	scope.Counter("clients_evicted").Inc(counts.Evicted)
	scope.Counter("clients_refused").Inc(counts.Refused)
	if counts == (Counts{}) {
		return
	}
	logger.Warn().Str("event", "client limit").Str("listener", b.name).
		Int64("evicted", counts.Evicted).Int64("refused", counts.Refused).
		Int("connections", used.Conns).Int64("bytes", used.Bytes).Msg("clients reach the limits of a listener")
}

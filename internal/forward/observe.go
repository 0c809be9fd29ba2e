package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// metrics are the counters and histograms of the request path. Tagged scopes
// are kept, because tagging allocates.
type metrics struct {
	scope                        tally.Scope
	hedges, retries, budgetEmpty tally.Counter
	missing                      tally.Counter
	latency, exchanges           tally.Histogram

	mu       sync.Mutex
	answers  map[Code]tally.Counter
	outcomes map[replica.Kind]tally.Counter
}

// latencyBuckets go from 1 ms to about 16 s, each twice the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:       scope,
		hedges:      scope.Counter("hedges"),
		retries:     scope.Counter("retries"),
		budgetEmpty: scope.Counter("repeats_without_budget"),
		missing:     scope.Counter("missing_shards"),
		latency:     scope.Histogram("request_seconds", latencyBuckets),
		exchanges:   scope.Histogram("exchange_seconds", latencyBuckets),
		answers:     map[Code]tally.Counter{},
		outcomes:    map[replica.Kind]tally.Counter{},
	}
}

func (m *metrics) request(a Answer, took time.Duration) {
	m.mu.Lock()
	c := m.answers[a.Code]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"outcome": string(a.Code)}).Counter("answers")
		m.answers[a.Code] = c
	}
	m.mu.Unlock()
	c.Inc(1)
	m.missing.Inc(int64(a.Missing))
	m.latency.RecordDuration(took)
}

func (m *metrics) exchange(r replica.Result, took time.Duration) {
	m.mu.Lock()
	c := m.outcomes[r.Kind]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"outcome": r.Kind.String()}).Counter("exchanges")
		m.outcomes[r.Kind] = c
	}
	m.mu.Unlock()
	c.Inc(1)
	m.exchanges.RecordDuration(took)
}

// endLevel returns the level of the line of an answer. When lines are dropped,
// those below warnings go first.
func endLevel(a Answer) log.Level {
	served := a.Code == Forwarded && a.Reply.Status < http.StatusInternalServerError || a.Code == Merged && a.Missing == 0
	if served || a.Code == Abandoned {
		return log.InfoLevel
	}
	return log.WarnLevel
}

// logEnd logs the end of a request with what decided it.
func (f *Forwarder) logEnd(req *Request, route *catalog.Route, snap *catalog.Snapshot, a Answer, took time.Duration) {
	e := f.logger.WithLevel(endLevel(a)).Str("event", "request").Str("request_id", req.AttemptID).Str("outcome", string(a.Code)).
		Dur("took", took).Dur("patience", req.Patience)
	if route != nil {
		e = e.Str("route", route.Name)
	}
	if snap.Config != nil {
		e = e.Int64("version", snap.Config.Version)
	}
	if a.Reason != "" {
		e = e.Str("reason", a.Reason)
	}
	if len(a.Absent) > 0 {
		e = e.Strs("absent", a.Absent)
	}
	if a.Code == Merged {
		e = e.Int("parts", len(a.Signatures)).Int("missing", a.Missing)
	}
	if a.Code == Forwarded {
		e = e.Str("replica", a.Replica).Int("status", a.Reply.Status)
	}
	e.Msg("request ended")
}

// logExchange logs an exchange that did not serve its shard.
func (r *run) logExchange(sh *shard, e event) {
	l := r.f.logger.Warn().Str("event", "exchange").Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Str("replica", e.id).Str("outcome", e.result.Kind.String()).Str("reason", e.result.Reason).Dur("took", e.took)
	if e.result.Kind == replica.Complete {
		l = l.Int("status", e.result.Reply.Status)
	}
	l.Msg("exchange failed")
}

// logSend logs a hedge or a retry with what decided it.
func (r *run) logSend(kind string, sh *shard, c candidate, now time.Time) {
	r.f.logger.Info().Str("event", kind).Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Str("replica", c.replica.ID).Dur("age", now.Sub(r.start)).Dur("expected", c.expected).Dur("cost", c.cost).
		Str("reason", sh.reason).Msg("sent once more")
}

// logNoBudget logs the first time that a repeat for a shard has to wait for the
// budget.
func (r *run) logNoBudget(sh *shard) {
	r.f.logger.Info().Str("event", "no budget").Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Dur("age", time.Since(r.start)).Int("sends", sh.sends).Str("reason", sh.reason).Msg("repeat waits for the budget")
}

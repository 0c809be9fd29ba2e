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

// metrics are the counters and histograms of the request path. The counters of
// tagged scopes are cached, because tagging allocates.
type metrics struct {
	scope                                 tally.Scope
	hedges, retries, repeatsWithoutBudget tally.Counter
	missingShards, loans                  tally.Counter
	// toLimited counts the requests to replicas that have named a rate limit.
	toLimited [3]tally.Counter // by sendKind
	// gathers counts the requests of other instances, gathersRefused those that were
	// refused; leafCalls the calls to leaves, leafRepeats those that ask for what another
	// leaf may have sent, leafRepliesUnusable the replies that were not used.
	gathers, gathersRefused                     tally.Counter
	leafCalls, leafRepeats, leafRepliesUnusable tally.Counter
	leaving, pauses                             tally.Counter // answers that say that their replica leaves, or wants no requests
	latency, exchanges, gatherLatency           tally.Histogram

	mu       sync.Mutex
	answers  map[Code]tally.Counter
	outcomes map[replica.Outcome]tally.Counter
}

// latencyBuckets are 15 buckets from 1 ms to about 16 s, each twice the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:                scope,
		hedges:               scope.Counter("hedges"),
		retries:              scope.Counter("retries"),
		repeatsWithoutBudget: scope.Counter("repeats_without_budget"),
		missingShards:        scope.Counter("missing_shards"),
		loans:                scope.Counter("loans"),
		gathers:              scope.Counter("gathers"),
		gathersRefused:       scope.Counter("gathers_refused"),
		leafCalls:            scope.Counter("leaf_calls"),
		leafRepeats:          scope.Counter("leaf_repeats"),
		leafRepliesUnusable:  scope.Counter("leaf_replies_unusable"),
		gatherLatency:        scope.Histogram("gather_seconds", latencyBuckets),
		leaving:              scope.Counter("answers_of_leaving_replicas"),
		pauses:               scope.Counter("answers_with_retry_after"),
		latency:              scope.Histogram("request_seconds", latencyBuckets),
		exchanges:            scope.Histogram("exchange_seconds", latencyBuckets),
		answers:              map[Code]tally.Counter{},
		outcomes:             map[replica.Outcome]tally.Counter{},
	}
	for kind := range m.toLimited {
		m.toLimited[kind] = scope.Tagged(map[string]string{"kind": sendKind(kind).String()}).Counter("requests_to_limited_replicas")
	}
	return m
}

func (m *metrics) recordRequest(a Answer, took time.Duration) {
	m.mu.Lock()
	c := m.answers[a.Code]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"outcome": string(a.Code)}).Counter("answers")
		m.answers[a.Code] = c
	}
	m.mu.Unlock()
	c.Inc(1)
	m.missingShards.Inc(int64(a.MissingCount))
	m.latency.RecordDuration(took)
}

func (m *metrics) recordExchange(r replica.Result, took time.Duration) {
	m.mu.Lock()
	c := m.outcomes[r.Outcome]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"outcome": r.Outcome.String()}).Counter("exchanges")
		m.outcomes[r.Outcome] = c
	}
	m.mu.Unlock()
	c.Inc(1)
	if r.Leaving {
		m.leaving.Inc(1)
	}
	if r.RetryAfter > 0 {
		m.pauses.Inc(1)
	}
	m.exchanges.RecordDuration(took)
}

func (m *metrics) recordGather(reply GatherReply) {
	m.gathers.Inc(1)
	m.gatherLatency.RecordDuration(reply.Took)
}

// answerLevel returns the log level for an answer. Answers that did not serve the
// caller in full are warnings, because lines below that level are the first to be
// dropped under load.
func answerLevel(a Answer) log.Level {
	served := a.Code == Forwarded && a.Reply.Status < http.StatusInternalServerError || a.Code == Merged && a.MissingCount == 0
	if served || a.Code == Abandoned {
		return log.InfoLevel
	}
	return log.WarnLevel
}

// logRequest logs the end of a request with the facts that explain its outcome.
func (f *Forwarder) logRequest(req *Request, route *catalog.Route, snap *catalog.Snapshot, a Answer, took time.Duration) {
	e := f.logger.WithLevel(answerLevel(a)).Str("event", "request").Str("request_id", req.AttemptID).Str("outcome", string(a.Code)).
		Dur("took", took).Dur("patience", req.CallerTimeout)
	if route != nil {
		e = e.Str("route", route.Name)
	}
	if snap.Config != nil {
		e = e.Int64("version", snap.Config.Version)
	}
	if a.Reason != "" {
		e = e.Str("reason", a.Reason)
	}
	if len(a.MissingDetails) > 0 {
		e = e.Strs("absent", a.MissingDetails)
	}
	if a.Code == Merged {
		e = e.Int("parts", len(a.Signatures)).Int("missing", a.MissingCount).Int("leaf_calls", a.LeafCalls)
	}
	if a.Code == Forwarded {
		e = e.Str("replica", a.Replica).Int("status", a.Reply.Status)
	}
	e.Msg("request ended")
}

// logPart logs the end of a part of a query that this instance gathered for another one.
func (p *part) logPart(req *GatherRequest) {
	missing := 0
	for i := range p.shards {
		if !p.shards[i].answered() {
			missing++
		}
	}
	level := log.DebugLevel
	if missing > 0 {
		level = log.InfoLevel
	}
	e := p.f.logger.WithLevel(level).Str("event", "part").Str("request_id", p.req.AttemptID).Str("from", req.From).Str("route", p.route.Name).
		Bool("repeat", p.repeat).Int("shards", len(p.shards)).Int("missing", missing).Dur("took", time.Since(p.start)).Dur("answer_within", req.AnswerWithin)
	if missing > 0 {
		e = e.Strs("absent", p.describeMissing())
	}
	e.Msg("part of a query gathered for another instance")
}

// logLostCall logs an exchange with a leaf that brought no reply.
func (r *activeRequest) logLostCall(reply *leafReply, reason string, now time.Time) {
	r.f.logger.Warn().Str("event", "leaf").Str("request_id", r.req.AttemptID).Str("leaf", reply.call.leaf.Name).Str("reason", reason).
		Int("shards", len(reply.call.due)).Dur("age", now.Sub(r.start)).Dur("took", now.Sub(reply.started)).Err(reply.err).Msg("leaf did not answer")
}

// logExchange logs an exchange that brought no successful reply.
func (r *activeRequest) logExchange(sh *shard, e exchangeResult) {
	l := r.f.logger.Warn().Str("event", "exchange").Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Str("replica", e.replicaID).Str("outcome", e.result.Outcome.String()).Str("reason", e.result.Reason).Dur("took", e.took)
	if e.result.Outcome == replica.Complete {
		l = l.Int("status", e.result.Reply.Status)
	}
	l.Msg("exchange failed")
}

// logRepeat logs a hedge or a retry with the facts that led to it.
func (r *activeRequest) logRepeat(kind sendKind, sh *shard, c candidate, now time.Time) {
	r.f.logger.Info().Str("event", kind.String()).Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Str("replica", c.replica.ID).Dur("age", now.Sub(r.start)).Dur("expected", c.expected).Dur("cost", c.cost).
		Str("reason", sh.reason).Msg("sent once more")
}

// logBudgetWait logs that a repeat for a shard has to wait for the retry budget.
// It is called once for each shard of a request.
func (r *activeRequest) logBudgetWait(sh *shard) {
	r.f.logger.Info().Str("event", "no budget").Str("request_id", r.req.AttemptID).Str("service", sh.service).
		Dur("age", time.Since(r.start)).Int("sends", sh.sends).Str("reason", sh.reason).Msg("repeat waits for the budget")
}

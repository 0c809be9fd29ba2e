package replica

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

const (
	// healthHalfLife is the half-life with which a replica's slowness and failure
	// rate return to neutral. It makes requests try a replica again about two
	// half-lives after a failure or a slow answer.
	healthHalfLife = 2 * time.Second
	// sampleWeight is the weight of one sample in the moving averages, which
	// reflect about the last five samples.
	sampleWeight = 0.2
	// failurePenalty is added to the cost of a replica whose exchanges all fail
	// or that has stalled, in multiples of the expected latency.
	failurePenalty = 20
	// initialEjection and maxEjection bound the time for which a replica stays
	// ejected. The time doubles with each further consecutive failure.
	initialEjection = 300 * time.Millisecond
	maxEjection     = 3 * time.Second
	// failuresToEject is the number of consecutive failures that eject a replica.
	// A single one may be the fault of one connection, so it ejects the replica
	// only if no connection could be opened.
	failuresToEject = 2
	// stallFactor is the multiple of the expected latency at which an unanswered
	// exchange counts as a sign that the replica has stalled.
	stallFactor = 2.5
	// minStallAge is the least age of a stalled exchange. It keeps scheduling
	// delays of this process from looking like stalls of the replica.
	minStallAge = 15 * time.Millisecond
	// maxSlowness bounds one sample of slowness, in multiples of the expected
	// latency.
	maxSlowness = 50
)

// Backend is what this instance knows of one incarnation of a replica: its
// connections, the exchanges in flight, and the averages by which replicas are
// ranked. A Pool creates it, and replaces it when the replica restarts. An
// ejected replica is used only if no other is left; one whose address was taken
// over by another replica is not used at all. Backend is safe for concurrent use.
type Backend struct {
	ID      string
	Service string
	client  Client
	logger  *log.Logger

	limited   atomic.Bool // a rate limit is in force; mirrors rateLimit
	paused    atomic.Bool // pausedUntil may be in the future
	retired   atomic.Bool // see Retired
	startedAt int64       // start time of the incarnation, in Unix milliseconds

	mu                  sync.Mutex
	connections         ConnectionLimits
	connRamp            connRamp
	inFlight            []exchange
	slowness            float64 // moving average of latency / expected latency
	failureRate         float64 // moving average of the share of failed exchanges
	decayedAt           time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	lastUsed            time.Time // when a request was last sent, or the Backend was created
	warmupEnd           time.Time // as the replica's answers state it
	coldSendTimes       []time.Time
	rateLimit           rateLimit
	pausedUntil         time.Time // the replica wants no requests until then
	leaving             bool      // the replica has said that it leaves
}

// exchange is one exchange in flight, from Acquire to the end of Send.
type exchange struct {
	number   uint64
	started  time.Time
	stallAge time.Duration // age at which the exchange counts as stalled
}

func newBackend(logger *log.Logger, r catalog.Replica, client Client) *Backend {
	return &Backend{ID: r.ID, Service: r.Service, startedAt: r.StartedAt, client: client, logger: logger, slowness: 1, lastUsed: time.Now()}
}

// decay moves the averages towards their neutral values, according to the time
// since the last call.
func (b *Backend) decay(now time.Time) {
	if b.decayedAt.IsZero() {
		b.decayedAt = now
		return
	}
	factor := decayFactor(now.Sub(b.decayedAt))
	b.slowness = 1 + (b.slowness-1)*factor
	b.failureRate *= factor
	b.decayedAt = now
}

// decayFactor returns the share of an average's distance from its neutral value
// that is left after d.
func decayFactor(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(healthHalfLife))
}

// Cost returns the expected latency of an exchange started now, as a multiple
// of the usual latency of its route and zone, plus penalties for failures and
// stalls. loadFactor leaves out the penalties: it is the latency due to a slow
// replica or its queue.
func (b *Backend) Cost(now time.Time) (costFactor, loadFactor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	costFactor = max(b.slowness, 0.5) + failurePenalty*b.failureRate
	if b.hasStalledExchange(now) {
		costFactor += failurePenalty
	}
	return costFactor, b.slowness
}

func (b *Backend) hasStalledExchange(now time.Time) bool {
	return slices.ContainsFunc(b.inFlight, func(e exchange) bool { return now.Sub(e.started) > e.stallAge })
}

// Retired reports whether nothing may be sent to this Backend any more: the replica has
// said that it leaves, or another one answered at its address. The replica gets a new
// Backend when the platform lists a later incarnation of it.
func (b *Backend) Retired() bool { return b.retired.Load() }

// Ejected reports whether the replica is ejected after failures, and should be
// chosen only if no other is left.
func (b *Backend) Ejected(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.ejectedUntil)
}

// coldWindow is the sliding window in which a cold replica gets at most coldLimit
// requests. It is longer than the second for which the limit must hold at the
// replica, because requests differ in how long they take to arrive.
const coldWindow = 1100 * time.Millisecond

// Permit allows one request to be sent to a Backend, and counts it as in flight
// there. Its holder must call Send once.
type Permit struct {
	backend  *Backend
	exchange exchange
	limited  bool // counted against the replica's rate limit
}

// Terms are the conditions for one request to a replica.
type Terms struct {
	// Number is the number of the exchange.
	Number uint64
	// Expected is the usual latency of the exchange.
	Expected time.Duration
	// A replica that is cold until ColdUntil gets at most ColdLimit requests in any
	// second from this instance.
	ColdUntil time.Time
	ColdLimit int
	// RateShare divides a rate limit that the replica has named.
	RateShare RateShare
}

// Reasons of denials that have a time at which they end.
const (
	// ReasonRateLimit is the rate limit of the replica.
	ReasonRateLimit = "rate limit"
	// ReasonPaused is a time for which the replica wants no requests.
	ReasonPaused = "paused"
)

// Denial says why nothing may be sent to a replica now.
type Denial struct {
	Reason string
	// Until is set with ReasonRateLimit and ReasonPaused: the earliest time at which the
	// replica may admit a request.
	Until time.Time
}

// Acquire returns a permit for one request, or a denial.
func (b *Backend) Acquire(now time.Time, t Terms) (*Permit, Denial) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retired.Load() {
		return nil, Denial{Reason: "leaving"}
	}
	if now.Before(b.pausedUntil) {
		return nil, Denial{Reason: ReasonPaused, Until: b.pausedUntil}
	}
	if len(b.inFlight) >= b.connRamp.limit(b.connections.MaxOpen) {
		if b.connRamp.established < b.connections.MaxOpen && b.connRamp.tryStart(now) {
			go b.openConnection(true)
		}
		return nil, Denial{Reason: "connections"}
	}
	if b.rateLimit.named {
		if until := b.rateLimit.nextAt(now, t.RateShare); until.After(now) {
			b.rateLimit.noteDenial(now)
			return nil, Denial{Reason: ReasonRateLimit, Until: until}
		}
	}
	if now.Before(t.ColdUntil) || now.Before(b.warmupEnd) {
		b.coldSendTimes = slices.DeleteFunc(b.coldSendTimes, func(t time.Time) bool { return now.Sub(t) > coldWindow })
		if len(b.coldSendTimes) >= t.ColdLimit {
			return nil, Denial{Reason: "cold"}
		}
		b.coldSendTimes = append(b.coldSendTimes, now)
	}
	stallAge := max(time.Duration(stallFactor*float64(t.Expected)), minStallAge)
	e := exchange{number: t.Number, started: now, stallAge: stallAge}
	b.inFlight = append(b.inFlight, e)
	b.lastUsed = now
	if b.rateLimit.named {
		b.rateLimit.take(now, t.RateShare)
	}
	return &Permit{backend: b, exchange: e, limited: b.rateLimit.named}, Denial{}
}

// Send runs the exchange, records its result with the Backend, and returns the
// result and the time since Acquire. expected is the usual latency.
func (p *Permit) Send(ctx context.Context, request Request, expected time.Duration) (Result, time.Duration) {
	r := p.backend.client.Send(ctx, request)
	now := time.Now()
	took := now.Sub(p.exchange.started)
	p.backend.recordResult(p, ctx, r, took, expected, now)
	return r, took
}

func (b *Backend) recordResult(p *Permit, ctx context.Context, r Result, took, expected time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = slices.DeleteFunc(b.inFlight, func(e exchange) bool { return e.number == p.exchange.number })
	if until := now.Add(r.WarmupLeft); r.WarmupLeft > 0 && until.After(b.warmupEnd) {
		b.warmupEnd = until
	}
	if r.Outcome == NotSent && p.limited {
		b.rateLimit.refund()
	}
	b.observeRateLimit(now, p.exchange.started, r.RateLimit)
	b.observeLeaving(r.Leaving)
	b.observeRetryAfter(now, r.RetryAfter)
	b.decay(now)
	if r.Reset {
		b.connRamp.recordReset(now)
	}
	abandoned := ctx.Err() != nil && r.Outcome != Complete
	switch {
	case abandoned && took < p.exchange.stallAge:
		// Cancelled before it was overdue: this says nothing about the replica.
	case abandoned:
		b.recordLatency(took, expected)
		// A replica that does not answer may have lost its idle connections too.
		b.client.CloseIdle()
	case r.Outcome == Complete && r.Reply.Status < 500:
		b.consecutiveFailures = 0
		b.failureRate += sampleWeight * (0 - b.failureRate)
		b.recordLatency(took, expected)
	case r.Outcome == NotSent && !r.Unreachable:
		// Nothing was sent, for a reason on this side.
	case r.RetryAfter > 0:
		// The replica works. It gets nothing until the time that it named.
	default:
		b.recordFailure(now, r)
	}
}

func (b *Backend) recordLatency(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	s := min(float64(took)/float64(expected), maxSlowness)
	b.slowness += sampleWeight * (s - b.slowness)
	if s > 2*stallFactor && b.slowness < s/2 {
		// One answer far slower than expected raises the average at once: the
		// five samples that the average needs would be five slow queries.
		b.slowness = s / 2
	}
}

func (b *Backend) recordFailure(now time.Time, r Result) {
	if r.Misdirected {
		b.retired.Store(true)
	}
	b.consecutiveFailures++
	b.failureRate += sampleWeight * (1 - b.failureRate)
	if b.consecutiveFailures >= failuresToEject || r.Unreachable {
		d := min(initialEjection<<min(max(b.consecutiveFailures-failuresToEject, 0), 4), maxEjection)
		b.ejectedUntil = now.Add(d)
	}
}

// keepConnectedFor is how long after the last request a connection that the
// replica closed is still replaced. Replicas close idle connections after some
// seconds.
const keepConnectedFor = 30 * time.Second

// Preconnect opens a connection in the background if none is open, so that the next
// request need not wait for it. It does nothing if the last request was more than
// keepConnectedFor ago.
func (b *Backend) Preconnect(now time.Time) {
	if b.Retired() || b.client.Connected() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastUsed) < keepConnectedFor && b.connRamp.tryStart(now) {
		go b.openConnection(b.connRamp.established == 0)
	}
}

// openConnection opens a connection and records whether it was established.
// additional is false for one that replaces another that was closed.
func (b *Backend) openConnection(additional bool) {
	established := b.client.OpenConnection(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connRamp.finish(time.Now(), established, additional)
}

func (b *Backend) setConnections(c ConnectionLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c != b.connections {
		b.connections = c
		b.client.SetConnectionLimits(c)
	}
}

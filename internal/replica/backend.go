package replica

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

const (
	// healthHalfLife is the time in which half of what is held against a replica
	// is forgotten, so that it is tried again about two half-lives after a
	// failure or a slow answer.
	healthHalfLife = 2 * time.Second
	// sampleWeight is the weight of one sample in the moving averages: about
	// five samples make up the present value.
	sampleWeight = 0.2
	// failurePenalty is added to the cost of a replica whose exchanges all fail,
	// in multiples of the expected latency.
	failurePenalty = 20
	// firstEjection and maxEjection bound the time for which a replica is passed
	// over after failures in a row, unless no other is left.
	firstEjection = 300 * time.Millisecond
	maxEjection   = 3 * time.Second
	// failuresToEject is the number of failures in a row that eject a replica.
	// One failure may be that of a connection.
	failuresToEject = 2
	// stallFactor is the multiple of the expected latency after which an
	// outstanding exchange counts as a sign that the replica stands still.
	stallFactor = 2.5
	// minStall keeps scheduling delays of this process from looking like stalls.
	minStall = 15 * time.Millisecond
	// maxSlowness bounds the effect of one sample.
	maxSlowness = 50
)

// Backend is one replica as this daemon sees it. It is safe for concurrent use.
type Backend struct {
	ID      string
	Service string
	client  Client

	born int64 // of the incarnation

	mu          sync.Mutex
	connections Connections
	opening     opening
	outstanding []call
	slowness    float64 // latency as a multiple of the expected one
	failures    float64 // share of failed exchanges
	judgedAt    time.Time
	inRow       int
	ejectedTill time.Time
	moved       bool      // another replica has the address
	usedAt      time.Time // when a request was last sent, or the replica became known
	coldTill    time.Time
	coldSends   []time.Time
}

// call is one exchange in flight.
type call struct {
	number  uint64
	started time.Time
	stall   time.Duration // age at which the replica seems to stand still
}

func newBackend(r catalog.Replica, client Client) *Backend {
	return &Backend{ID: r.ID, Service: r.Service, born: r.Born, client: client, slowness: 1, usedAt: time.Now()}
}

// decay moves the averages towards their neutral values.
func (b *Backend) decay(now time.Time) {
	if b.judgedAt.IsZero() {
		b.judgedAt = now
		return
	}
	keep := halfLives(now.Sub(b.judgedAt))
	b.slowness = 1 + (b.slowness-1)*keep
	b.failures *= keep
	b.judgedAt = now
}

// halfLives returns the share that is left of an average after a time.
func halfLives(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(healthHalfLife))
}

// Cost returns the expected latency of an exchange started now, as a multiple
// of the latency that is usual for its route and zone, with what failures and
// stalls cost. queued is the part of it that a slow replica or its queue takes.
func (b *Backend) Cost(now time.Time) (cost, queued float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	cost = max(b.slowness, 0.5) + failurePenalty*b.failures
	if b.stalled(now) {
		cost += failurePenalty
	}
	return cost, b.slowness
}

func (b *Backend) stalled(now time.Time) bool {
	return slices.ContainsFunc(b.outstanding, func(c call) bool { return now.Sub(c.started) > c.stall })
}

// Moved reports whether another replica was found at the address, so that
// nothing may be sent there until this one is reported anew.
func (b *Backend) Moved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.moved
}

// Ejected reports whether the replica is passed over after failures.
func (b *Backend) Ejected(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.ejectedTill)
}

// coldWindow is the span for which the bound on cold replicas holds, with an
// allowance for requests that take different times to arrive.
const coldWindow = 1100 * time.Millisecond

// Permit is the right to send one request.
type Permit struct {
	backend *Backend
	call    call
}

// Acquire returns a permit, or the reason why nothing may be sent now. A cold
// replica gets at most coldLimit requests in any second from this daemon.
// expected is the usual latency of the exchange.
func (b *Backend) Acquire(now time.Time, number uint64, coldUntil time.Time, coldLimit int, expected time.Duration) (*Permit, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.outstanding) >= b.opening.limit(b.connections.Open) {
		if b.opening.kept < b.connections.Open && b.opening.begin(now) {
			go b.open(true)
		}
		return nil, "connections"
	}
	if now.Before(coldUntil) || now.Before(b.coldTill) {
		b.coldSends = slices.DeleteFunc(b.coldSends, func(t time.Time) bool { return now.Sub(t) > coldWindow })
		if len(b.coldSends) >= coldLimit {
			return nil, "cold"
		}
		b.coldSends = append(b.coldSends, now)
	}
	stall := max(time.Duration(stallFactor*float64(expected)), minStall)
	c := call{number: number, started: now, stall: stall}
	b.outstanding = append(b.outstanding, c)
	b.usedAt = now
	return &Permit{backend: b, call: c}, ""
}

// Send runs one exchange and records its end. expected is the usual latency.
func (p *Permit) Send(ctx context.Context, w Work, expected time.Duration) (Result, time.Duration) {
	r := p.backend.client.Send(ctx, w)
	now := time.Now()
	took := now.Sub(p.call.started)
	p.backend.finish(p, ctx, r, took, expected, now)
	return r, took
}

func (b *Backend) finish(p *Permit, ctx context.Context, r Result, took, expected time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding = slices.DeleteFunc(b.outstanding, func(c call) bool { return c.number == p.call.number })
	if until := now.Add(r.WarmupLeft); r.WarmupLeft > 0 && until.After(b.coldTill) {
		b.coldTill = until
	}
	b.decay(now)
	if r.Reset {
		b.opening.refused(now)
	}
	abandoned := ctx.Err() != nil && r.Kind != Complete
	switch {
	case abandoned && took < p.call.stall:
		// The exchange was given up before it was late; it says nothing.
	case abandoned:
		b.sample(took, expected)
		// Without any answer, the kept connections may be dead.
		b.client.DropIdle()
	case r.Kind == Complete && r.Reply.Status < 500:
		b.inRow = 0
		b.failures += sampleWeight * (0 - b.failures)
		b.sample(took, expected)
	case r.Kind == NotSent && !r.Unreachable:
		// Nothing reached the replica, and not by its doing.
	default:
		b.fail(now, r)
	}
}

func (b *Backend) sample(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	s := min(float64(took)/float64(expected), maxSlowness)
	b.slowness += sampleWeight * (s - b.slowness)
	if s > 2*stallFactor && b.slowness < s/2 {
		// One answer far above the usual weighs more: waiting for five of them
		// costs five slow queries.
		b.slowness = s / 2
	}
}

func (b *Backend) fail(now time.Time, r Result) {
	b.moved = b.moved || r.Misdirected
	b.inRow++
	b.failures += sampleWeight * (1 - b.failures)
	if b.inRow >= failuresToEject || r.Unreachable {
		d := min(firstEjection<<min(max(b.inRow-failuresToEject, 0), 4), maxEjection)
		b.ejectedTill = now.Add(d)
	}
}

// keepFor is how long a connection is kept open without a request. Replicas
// close idle connections after some seconds.
const keepFor = 30 * time.Second

// Warm opens a connection ahead of the next request if none is open, unless the
// last request was long ago.
func (b *Backend) Warm(now time.Time) {
	if b.client.Connected() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.usedAt) < keepFor && b.opening.begin(now) {
		go b.open(b.opening.kept == 0)
	}
}

// open opens a connection: one more, or one in place of another that was closed.
func (b *Backend) open(more bool) {
	kept := b.client.Open(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opening.end(time.Now(), kept, more)
}

func (b *Backend) setConnections(c Connections) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c != b.connections {
		b.connections = c
		b.client.SetConnections(c)
	}
}

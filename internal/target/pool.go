package target

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/exchange"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Options configure a Pool. The zero value has usable defaults.
type Options struct {
	// LocalIP is the source address of connections, nil for any.
	LocalIP net.IP
	// DialTimeout bounds opening a connection, default 1 s.
	DialTimeout time.Duration
	// MaxReplyBytes bounds the body of a reply, default 16 MiB. All large replies that are
	// being read at the same time take up to twice as much together.
	MaxReplyBytes int64
	// Dial replaces the dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	bodies *exchange.BodyReader // set by NewPool
}

func (o Options) dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	if o.Dial != nil {
		return o.Dial(ctx, network, address)
	}
	return d.DialContext(ctx, network, address)
}

type incarnationKey struct{ target, incarnation string }

// pendingHandover is a load that the previous holder reported before this
// instance uses the target.
type pendingHandover struct {
	load       state.Load
	receivedAt time.Time
}

// Pool owns one Backend per held target. It is safe for concurrent use. Its lock
// is taken before that of a Backend, never after it.
type Pool struct {
	log     *log.Logger
	opts    Options
	metrics *metrics

	mu                  sync.RWMutex
	backends            map[string]*Backend
	leavingIncarnations map[incarnationKey]time.Time // with the time when each was recorded
	pendingHandovers    map[string]pendingHandover   // by target
}

// NewPool returns an empty Pool. A nil logger discards log lines; a nil scope
// discards metrics.
func NewPool(logger *log.Logger, scope tally.Scope, opts Options) *Pool {
	logger = logs.OrDiscard(logger)
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = time.Second
	}
	if opts.MaxReplyBytes <= 0 {
		opts.MaxReplyBytes = 16 << 20
	}
	opts.bodies = exchange.NewBodyReader(opts.MaxReplyBytes, 2*opts.MaxReplyBytes)
	return &Pool{
		log: logger, opts: opts, metrics: newMetrics(scope), backends: map[string]*Backend{},
		leavingIncarnations: map[incarnationKey]time.Time{}, pendingHandovers: map[string]pendingHandover{},
	}
}

// Do runs a request on a target within its limit. A result with the code NotRun
// means that no byte of it reached the target or that the target refused it. admit
// is called before the request waits and again, with a slot, just before the send.
func (p *Pool) Do(ctx context.Context, t state.Target, svc declare.Service, request Request, admit Admit) outcome.Result {
	b := p.acquireBackend(t, svc)
	defer b.activeCalls.Add(-1)
	r := b.runRequest(ctx, request, admit)
	p.metrics.results.Count(r)
	return r
}

// acquireBackend returns the up-to-date Backend of a target and adds 1 to its
// activeCalls.
func (p *Pool) acquireBackend(t state.Target, svc declare.Service) *Backend {
	p.mu.RLock()
	b, exists := p.backends[t.Name]
	leaving := p.isLeavingIncarnation(t.Name, t.Incarnation)
	_, hasHandover := p.pendingHandovers[t.Name]
	mustWrite := !exists || hasHandover
	if !mustWrite {
		b.activeCalls.Add(1)
	}
	p.mu.RUnlock()
	var load state.Load
	if mustWrite {
		p.mu.Lock()
		if b, exists = p.backends[t.Name]; !exists {
			b = newBackend(p.log, t.Name, p.opts)
			p.backends[t.Name] = b
		}
		b.activeCalls.Add(1)
		if handover, ok := p.pendingHandovers[t.Name]; ok {
			delete(p.pendingHandovers, t.Name)
			if time.Since(handover.receivedAt) < handoverRetention {
				load = handover.load
			}
		}
		p.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure(t, svc)
	b.released = false
	b.applyHandover(load)
	if (t.Leaving || leaving) && b.incarnation == t.Incarnation {
		b.markLeaving("instance list or configuration")
	}
	return b
}

// isLeavingIncarnation is called with the lock held.
func (p *Pool) isLeavingIncarnation(target, incarnation string) bool {
	_, ok := p.leavingIncarnations[incarnationKey{target, incarnation}]
	return ok
}

func (p *Pool) backend(target string) *Backend {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.backends[target]
}

// LoadOf returns the state of a target and whether this holder uses it.
func (p *Pool) LoadOf(target string) (state.Load, bool) {
	b := p.backend(target)
	if b == nil {
		return state.Load{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.currentLoad(time.Now()), !b.released
}

// Loads returns the state of all held targets and updates their gauges.
func (p *Pool) Loads() []state.Load {
	p.mu.RLock()
	backends := make([]*Backend, 0, len(p.backends))
	for _, b := range p.backends {
		backends = append(backends, b)
	}
	p.mu.RUnlock()
	now := time.Now()
	loads := make([]state.Load, 0, len(backends))
	for _, b := range backends {
		b.mu.Lock()
		l, released := b.currentLoad(now), b.released
		b.mu.Unlock()
		if !released {
			loads = append(loads, l)
			p.metrics.updateGauges(l)
		}
	}
	return loads
}

// AdoptLoad applies the load that the previous holder reported. It never raises the
// limit of a target that has already answered this holder.
func (p *Pool) AdoptLoad(l state.Load) {
	if l.Phase == state.PhaseLeaving {
		p.MarkLeaving(l.Target, l.Incarnation)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[l.Target]; b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.released {
			b.applyHandover(l)
			return
		}
	}
	p.pendingHandovers[l.Target] = pendingHandover{l, time.Now()}
}

// applyHandover applies the load l if it is about the current incarnation. It is
// called with the lock held.
func (b *Backend) applyHandover(l state.Load) {
	if l.Incarnation == "" || l.Incarnation != b.incarnation || b.phase == state.PhaseLeaving {
		return
	}
	now := time.Now()
	if b.answerCount > 0 {
		if l.Phase == state.PhaseCold && (b.phase == state.PhaseWarm || b.phase == state.PhaseWarming) {
			b.turnCold(triggerTurnedCold, "reported cold by the previous holder", now)
		}
		return
	}
	b.setPhase(l.Phase)
	b.latency = time.Duration(l.LatencyMicros) * time.Microsecond
	b.lastStepAt, b.turnedColdAt = now, now
	if l.Phase == state.PhaseEjected {
		b.ejectedUntil, b.ejectionStreak = now.Add(minEjection), 1
	}
	b.setLimit(max(1, min(l.Limit, b.slots)))
	b.log.Info().Str("target", b.name).Str("phase", string(b.phase)).Int("limit", b.limit).Msg("target state taken over")
}

// Release ends the use of a target by this holder and returns its load for the
// next holder. Waiting requests are refused; requests in flight finish.
func (p *Pool) Release(target string) state.Load {
	b := p.backend(target)
	if b == nil {
		return state.Load{Target: target, Phase: state.PhaseCold}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.currentLoad(time.Now())
	if b.released {
		return l
	}
	b.released = true
	b.refuseWaiters(outcome.ReasonNoLease)
	// The state of the target under another holder is unknown here, so a later
	// use starts cold unless a handover gives its state.
	b.evidenceState = evidenceState{generation: b.generation}
	b.setLimit(max(1, b.coldLimit))
	if b.phase != state.PhaseLeaving {
		b.setPhase(state.PhaseCold)
	}
	b.log.Info().Str("target", target).Str("phase", string(l.Phase)).Int("in_flight", l.InFlight).Msg("target released")
	return l
}

// Idle reports whether a target has neither waiting requests nor any in flight.
func (p *Pool) Idle(target string) bool {
	b := p.backend(target)
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight == 0 && b.queue.len() == 0
}

// MarkLeaving permanently stops new requests to an incarnation of a target.
func (p *Pool) MarkLeaving(target, incarnation string) {
	p.mu.Lock()
	p.leavingIncarnations[incarnationKey{target, incarnation}] = time.Now()
	b := p.backends[target]
	p.mu.Unlock()
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation == incarnation {
		b.markLeaving("marked as leaving")
	}
}

// Reconcile applies a changed state: it marks leaving targets, refuses waiting
// requests that are no longer admitted, and removes idle Backends whose target is
// released or no longer listed.
func (p *Pool) Reconcile(snap *state.Snapshot) {
	for _, t := range snap.Targets {
		if b := p.backend(t.Name); b != nil && snap.IsLeaving(t) {
			p.MarkLeaving(t.Name, t.Incarnation)
		}
	}
	p.mu.RLock()
	backends := make([]*Backend, 0, len(p.backends))
	for _, b := range p.backends {
		backends = append(backends, b)
	}
	p.mu.RUnlock()
	for _, b := range backends {
		b.recheckWaiters()
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, handover := range p.pendingHandovers {
		if now.Sub(handover.receivedAt) > handoverRetention {
			delete(p.pendingHandovers, name)
		}
	}
	for key, recordedAt := range p.leavingIncarnations {
		if now.Sub(recordedAt) > leavingRetention {
			delete(p.leavingIncarnations, key)
		}
	}
	for name, b := range p.backends {
		_, listed := snap.Targets[name]
		b.mu.Lock()
		idle := b.inFlight == 0 && b.queue.len() == 0 && b.activeCalls.Load() == 0
		if idle && (!listed || b.released) {
			if b.phase == state.PhaseLeaving {
				p.leavingIncarnations[incarnationKey{name, b.incarnation}] = now
			}
			delete(p.backends, name)
			if b.client != nil {
				b.client.close()
			}
			p.metrics.removeGauges(name)
			p.log.Info().Str("target", name).Bool("listed", listed).Msg("target removed")
		}
		b.mu.Unlock()
	}
}

// Close closes idle connections.
func (p *Pool) Close() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, b := range p.backends {
		b.mu.Lock()
		if b.client != nil {
			b.client.close()
		}
		b.mu.Unlock()
	}
}

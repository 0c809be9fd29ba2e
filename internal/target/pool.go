package target

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/logs"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Options of a Pool. The zero value has usable defaults.
type Options struct {
	// LocalIP is the source address of connections, nil for any.
	LocalIP net.IP
	// DialTimeout bounds opening a connection, default 1 s.
	DialTimeout time.Duration
	// MaxReplyBytes bounds the body of a reply, default 16 MiB.
	MaxReplyBytes int64
	// Dial replaces the dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) dial(ctx context.Context, d *net.Dialer, network, address string) (net.Conn, error) {
	if o.Dial != nil {
		return o.Dial(ctx, network, address)
	}
	return d.DialContext(ctx, network, address)
}

type incarnationKey struct{ target, incarnation string }

type adopted struct {
	load state.Load
	at   time.Time
}

// Pool has one Backend per held target. It is safe for concurrent use. Its lock
// is taken before that of a Backend, never after it.
type Pool struct {
	log     *log.Logger
	opts    Options
	metrics *metrics

	mu       sync.RWMutex
	backends map[string]*Backend
	departed map[incarnationKey]time.Time // leaving incarnations
	adopted  map[string]adopted           // handovers without a backend yet
}

// NewPool returns an empty Pool. A nil logger is silent; a nil scope drops the
// metrics.
func NewPool(logger *log.Logger, scope tally.Scope, opts Options) *Pool {
	logger = logs.OrDiscard(logger)
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = time.Second
	}
	if opts.MaxReplyBytes <= 0 {
		opts.MaxReplyBytes = 16 << 20
	}
	return &Pool{
		log: logger, opts: opts, metrics: newMetrics(scope), backends: map[string]*Backend{},
		departed: map[incarnationKey]time.Time{}, adopted: map[string]adopted{},
	}
}

// Do runs w on a target within its limit. NotRun means that no byte of w
// reached the target or that the target refused it. admit is called before the
// request waits and again just before the send, under the slot.
func (p *Pool) Do(ctx context.Context, t state.Target, svc declare.Service, w Work, admit Admit) outcome.Result {
	b := p.use(t, svc)
	defer b.users.Add(-1)
	r := b.do(ctx, w, admit)
	p.metrics.results.Count(r)
	return r
}

// use returns the backend of a target and counts the caller as its user.
func (p *Pool) use(t state.Target, svc declare.Service) *Backend {
	p.mu.RLock()
	b, known := p.backends[t.Name]
	gone := p.isDeparted(t.Name, t.Incarnation)
	_, waiting := p.adopted[t.Name]
	slow := !known || waiting
	if !slow {
		b.users.Add(1)
	}
	p.mu.RUnlock()
	var load state.Load
	if slow {
		p.mu.Lock()
		if b, known = p.backends[t.Name]; !known {
			b = newBackend(p.log, t.Name, p.opts)
			p.backends[t.Name] = b
		}
		b.users.Add(1)
		if a, ok := p.adopted[t.Name]; ok {
			delete(p.adopted, t.Name)
			if time.Since(a.at) < adoptMemory {
				load = a.load
			}
		}
		p.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure(t, svc)
	b.released = false
	b.adopt(load)
	if (t.Leaving || gone) && b.incarnation == t.Incarnation {
		b.leave("instance list or configuration")
	}
	return b
}

// isDeparted is called with the lock held.
func (p *Pool) isDeparted(target, incarnation string) bool {
	_, ok := p.departed[incarnationKey{target, incarnation}]
	return ok
}

func (p *Pool) get(target string) *Backend {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.backends[target]
}

// Load returns the state of one held target.
func (p *Pool) Load(target string) (state.Load, bool) {
	b := p.get(target)
	if b == nil {
		return state.Load{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(time.Now()), !b.released
}

// Loads returns the state of all held targets and updates their gauges.
func (p *Pool) Loads() []state.Load {
	p.mu.RLock()
	all := make([]*Backend, 0, len(p.backends))
	for _, b := range p.backends {
		all = append(all, b)
	}
	p.mu.RUnlock()
	now := time.Now()
	loads := make([]state.Load, 0, len(all))
	for _, b := range all {
		b.mu.Lock()
		l, released := b.load(now), b.released
		b.mu.Unlock()
		if !released {
			loads = append(loads, l)
			p.metrics.gauge(l)
		}
	}
	return loads
}

// Adopt takes over the state that the previous holder reported. It never
// raises the limit of a target that answered this holder already.
func (p *Pool) Adopt(l state.Load) {
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
			b.adopt(l)
			return
		}
	}
	p.adopted[l.Target] = adopted{l, time.Now()}
}

// adopt applies a handover; the target's present incarnation must be the one
// that the load speaks of.
func (b *Backend) adopt(l state.Load) {
	if l.Incarnation == "" || l.Incarnation != b.incarnation || b.phase == state.PhaseLeaving {
		return
	}
	now := time.Now()
	if b.answers > 0 {
		if l.Phase == state.PhaseCold && (b.phase == state.PhaseWarm || b.phase == state.PhaseWarming) {
			b.turnCold(triggerCold, "reported cold by the previous holder", now)
		}
		return
	}
	b.setPhase(l.Phase)
	b.latency = time.Duration(l.LatencyMicros) * time.Microsecond
	b.lastStep, b.coldFrom = now, now
	if l.Phase == state.PhaseEjected {
		b.ejected, b.ejects = now.Add(ejectMin), 1
	}
	b.setLimit(max(1, min(l.Limit, b.slots)))
	b.log.Info().Str("target", b.name).Str("phase", string(b.phase)).Int("limit", b.limit).Msg("target state taken over")
}

// Release ends this holder's use of a target and returns the state for its
// next holder. Waiting requests are refused; requests in flight finish.
func (p *Pool) Release(target string) state.Load {
	b := p.get(target)
	if b == nil {
		return state.Load{Target: target, Phase: state.PhaseCold}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(time.Now())
	if b.released {
		return l
	}
	b.released = true
	b.flush(outcome.ReasonNoRight)
	// What happens to the target under another holder is not known here, so a
	// later use starts cold unless a handover says otherwise.
	b.evidenceState = evidenceState{generation: b.generation}
	b.setLimit(max(1, b.bearsCold))
	if b.phase != state.PhaseLeaving {
		b.setPhase(state.PhaseCold)
	}
	b.log.Info().Str("target", target).Str("phase", string(l.Phase)).Int("in_flight", l.InFlight).Msg("target released")
	return l
}

// Idle reports whether nothing waits for a target or runs on it.
func (p *Pool) Idle(target string) bool {
	b := p.get(target)
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight == 0 && b.queue.len() == 0
}

// MarkLeaving ends new work for an incarnation of a target, for good.
func (p *Pool) MarkLeaving(target, incarnation string) {
	p.mu.Lock()
	p.departed[incarnationKey{target, incarnation}] = time.Now()
	b := p.backends[target]
	p.mu.Unlock()
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation == incarnation {
		b.leave("marked as leaving")
	}
}

// Reconcile applies a changed state: it marks leaving targets, refuses waiting
// requests that are no longer admitted, and removes backends that are idle and
// whose target is gone or released.
func (p *Pool) Reconcile(snap *state.Snapshot) {
	for _, t := range snap.Targets {
		if b := p.get(t.Name); b != nil && snap.IsLeaving(t) {
			p.MarkLeaving(t.Name, t.Incarnation)
		}
	}
	p.mu.RLock()
	all := make([]*Backend, 0, len(p.backends))
	for _, b := range p.backends {
		all = append(all, b)
	}
	p.mu.RUnlock()
	for _, b := range all {
		b.recheck()
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range p.adopted {
		if now.Sub(a.at) > adoptMemory {
			delete(p.adopted, name)
		}
	}
	for key, at := range p.departed {
		if now.Sub(at) > departedMemory {
			delete(p.departed, key)
		}
	}
	for name, b := range p.backends {
		_, listed := snap.Targets[name]
		b.mu.Lock()
		idle := b.inFlight == 0 && b.queue.len() == 0 && b.users.Load() == 0
		if idle && (!listed || b.released) {
			if b.phase == state.PhaseLeaving {
				p.departed[incarnationKey{name, b.incarnation}] = now
			}
			delete(p.backends, name)
			if b.client != nil {
				b.client.close()
			}
			p.metrics.remove(name)
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

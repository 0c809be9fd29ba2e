package target

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/qmuntal/stateless"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Backend is one target as its holder sees it. Its limit holds over everything
// that this process sends to the target. It is safe for concurrent use.
type Backend struct {
	name string
	log  *log.Logger
	opts Options
	// users counts calls of do; the pool removes a backend only without users.
	users atomic.Int32

	mu          sync.Mutex
	client      *client
	connections int
	slots       int
	bearsCold   int

	machine *stateless.StateMachine
	phase   state.Phase // mirror of machine's state
	// incarnation is the present one; past are those it replaced, which a
	// lagging list must not bring back; listed is the list's last value.
	incarnation, listed string
	past                map[string]bool
	released            bool

	limit      int
	rightLimit int // bound of the holder's right, 0 for none
	inFlight   int
	queue      queue
	seq        uint64

	evidenceState
}

func newBackend(logger *log.Logger, name string, opts Options) *Backend {
	b := &Backend{name: name, log: logger, opts: opts, past: map[string]bool{}}
	b.setPhase(state.PhaseCold)
	return b
}

// setPhase starts a machine in a phase without a transition.
func (b *Backend) setPhase(p state.Phase) {
	b.machine, b.phase = newMachine(p), p
	b.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		b.phase = t.Destination.(state.Phase)
	})
}

// configure takes over what the list and the declaration say.
func (b *Backend) configure(t state.Target, svc declare.Service) {
	slots := max(1, svc.Slots)
	connections := slots + 1
	if svc.Connections > 0 {
		connections = min(connections, svc.Connections)
	}
	if cold := min(max(1, svc.BearsCold), slots); cold != b.bearsCold {
		b.bearsCold = cold
		if b.limit == 0 || b.phase == state.PhaseCold {
			b.setLimit(cold)
		}
	}
	if slots != b.slots {
		// Added slots are reached by good answers, as after a shed.
		b.slots = slots
		b.setLimit(min(b.limit, slots))
	}
	if b.client == nil || b.client.address != t.Address || b.connections != connections {
		if b.client != nil {
			b.client.close()
		}
		b.client, b.connections = newClient(t.Address, connections, b.opts), connections
	}
	if t.Incarnation != b.listed {
		b.listed = t.Incarnation
		b.seeIncarnation(t.Incarnation)
	}
}

// allowed is the present limit over all requests to the target.
func (b *Backend) allowed() int {
	n := b.limit
	if b.phase == state.PhaseEjected || b.probing {
		n = 1
	}
	if b.rightLimit > 0 {
		n = min(n, b.rightLimit)
	}
	return max(1, n)
}

// do runs one request within the limit of the target.
func (b *Backend) do(ctx context.Context, w Work, admit Admit) outcome.Result {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	if _, limit, r := admit(); r != outcome.ReasonNone {
		return outcome.Refused(r)
	} else {
		b.bound(limit)
	}
	wt := &waiter{priority: w.Priority, deadline: w.Deadline, admit: admit}
	for {
		if r := b.acquire(ctx, wt); r != outcome.ReasonNone {
			return outcome.Refused(r)
		}
		until, limit, r := admit()
		now := time.Now()
		switch {
		case r != outcome.ReasonNone:
		case ctx.Err() != nil || !w.Deadline.After(now):
			r = stopReason(ctx)
		case !until.IsZero() && !until.After(now):
			r = outcome.ReasonNoRight
		}
		if r != outcome.ReasonNone {
			b.unreserve()
			return outcome.Refused(r)
		}
		p, r := b.start(limit, now)
		if r != outcome.ReasonNone {
			return outcome.Refused(r)
		}
		if p == nil {
			continue // the limit fell since the slot was granted
		}
		return b.run(ctx, w, until, p)
	}
}

// run sends under a started permit and records what the exchange showed.
func (b *Backend) run(ctx context.Context, w Work, until time.Time, p *permit) outcome.Result {
	deadline, cut := w.Deadline, false
	if w.Idempotent && !until.IsZero() && until.Before(deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
		deadline, cut = until, true
	}
	r := p.client.send(ctx, w, deadline)
	if cut && r.evidence == evidenceTimeout {
		r.evidence = evidenceNone // the end of the right says nothing of the target
	}
	b.finish(p, r)
	return r.result
}

func stopReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.ReasonCancelled
	}
	return outcome.ReasonExpired
}

func (b *Backend) bound(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit != b.rightLimit {
		b.rightLimit = limit
		b.pump(time.Now())
	}
}

// acquire waits for a slot. It returns ReasonNone with the slot reserved.
func (b *Backend) acquire(ctx context.Context, wt *waiter) outcome.Reason {
	now := time.Now()
	b.mu.Lock()
	b.refresh(now)
	if b.phase == state.PhaseLeaving {
		b.mu.Unlock()
		return outcome.ReasonLeaving
	}
	if b.released {
		b.mu.Unlock()
		return outcome.ReasonNoRight
	}
	if !wt.deadline.After(now) {
		b.mu.Unlock()
		return outcome.ReasonExpired
	}
	if b.queue.len() == 0 && b.inFlight < b.allowed() {
		b.inFlight++
		b.mu.Unlock()
		return outcome.ReasonNone
	}
	if wt.seq == 0 {
		b.seq++
		wt.seq = b.seq
	}
	ahead := b.queue.position(wt)
	if b.hopeless(wt, ahead, now) {
		b.mu.Unlock()
		return outcome.ReasonOverload
	}
	if b.queue.len() >= 4*b.slots+8 {
		if ahead == b.queue.len() {
			b.mu.Unlock()
			return outcome.ReasonOverload
		}
		b.queue.popLast().verdict <- outcome.ReasonOverload
	}
	wt.verdict = make(chan outcome.Reason, 1)
	b.queue.push(wt)
	b.pump(now)
	b.mu.Unlock()

	select {
	case r := <-wt.verdict:
		return r
	case <-ctx.Done():
	}
	b.mu.Lock()
	queued := b.queue.remove(wt)
	b.mu.Unlock()
	if !queued {
		if r := <-wt.verdict; r != outcome.ReasonNone {
			return r
		}
		b.unreserve()
	}
	return stopReason(ctx)
}

// hopeless reports whether a request behind ahead others cannot be answered in
// time. With nothing in flight a request always goes through, so that an old
// estimate cannot keep the target unused.
func (b *Backend) hopeless(wt *waiter, ahead int, now time.Time) bool {
	if b.inFlight == 0 || b.latency == 0 {
		return false
	}
	// The requests in flight are half done on average.
	wait := b.latency * time.Duration(2*ahead+1) / time.Duration(2*b.allowed())
	return now.Add(wait + b.expected()).After(wt.deadline)
}

// expected is the service time to plan with. The margin above the mean keeps
// requests that would expire at the last moment from taking a slot.
func (b *Backend) expected() time.Duration {
	return b.latency + b.latency/8 + b.deviation
}

// pump gives free slots to the most urgent waiters. It refuses those that can
// no longer be answered in time instead of spending a slot on them.
func (b *Backend) pump(now time.Time) {
	for b.queue.len() > 0 && b.inFlight < b.allowed() {
		wt := b.queue.pop()
		switch {
		case !wt.deadline.After(now):
			wt.verdict <- outcome.ReasonExpired
		case b.inFlight > 0 && now.Add(b.expected()).After(wt.deadline):
			wt.verdict <- outcome.ReasonOverload
		default:
			b.inFlight++
			wt.verdict <- outcome.ReasonNone
		}
	}
}

// unreserve gives a slot back that was not used.
func (b *Backend) unreserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.pump(time.Now())
}

// permit is one started exchange.
type permit struct {
	client     *client
	started    time.Time
	generation uint64
	full       bool // the limit was in full use when the exchange started
}

// start turns a reserved slot into a permit. It returns nil and gives the slot
// back if the limit fell below what is in flight, or a reason to refuse.
func (b *Backend) start(limit int, now time.Time) (*permit, outcome.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rightLimit = limit
	r := outcome.ReasonNone
	if b.phase == state.PhaseLeaving {
		r = outcome.ReasonLeaving
	} else if b.released {
		r = outcome.ReasonNoRight
	}
	if r != outcome.ReasonNone || b.inFlight > b.allowed() {
		b.inFlight--
		b.pump(now)
		return nil, r
	}
	if b.coldSince.IsZero() && b.phase != state.PhaseWarm {
		b.coldSince = now
	}
	return &permit{client: b.client, started: now, generation: b.generation, full: b.inFlight >= b.allowed()}, r
}

// finish records the end of an exchange and frees its slot.
func (b *Backend) finish(p *permit, r reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.observe(p, r, now)
	if p.client != b.client {
		p.client.close()
	}
	if r.aborted {
		time.AfterFunc(abortGrace, b.unreserve)
	} else {
		b.inFlight--
	}
	b.pump(now)
}

// flush refuses all waiters.
func (b *Backend) flush(r outcome.Reason) {
	for b.queue.len() > 0 {
		b.queue.pop().verdict <- r
	}
}

// recheck refuses those waiters that their admit function refuses by now, and
// is used when the configuration, the targets or the rights changed.
func (b *Backend) recheck() {
	b.mu.Lock()
	waiting := append([]*waiter(nil), b.queue.waiters...)
	b.mu.Unlock()
	for _, wt := range waiting {
		_, _, r := wt.admit()
		if r == outcome.ReasonNone {
			continue
		}
		b.mu.Lock()
		if b.queue.remove(wt) {
			wt.verdict <- r
		}
		b.mu.Unlock()
	}
}

// load returns the present state for other instances.
func (b *Backend) load(now time.Time) state.Load {
	b.refresh(now)
	return state.Load{
		Target: b.name, Phase: b.phase, Limit: b.allowed(), InFlight: b.inFlight, Queued: b.queue.len(),
		LatencyMicros: b.latency.Microseconds(), Incarnation: b.incarnation,
	}
}

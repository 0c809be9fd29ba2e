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

// Backend is one target as its holder sees it: its phase, its limit and the
// requests that wait for a slot. The limit covers all requests of this process to
// the target. A Backend belongs to its Pool and is safe for concurrent use.
type Backend struct {
	name string
	log  *log.Logger
	opts Options
	// activeCalls counts calls of Pool.Do; the pool removes a Backend only at 0.
	activeCalls atomic.Int32

	mu          sync.Mutex
	client      *client
	connections int
	slots       int
	coldLimit   int

	machine *stateless.StateMachine
	phase   state.Phase // copy of the machine's state
	// incarnation is the current one. replacedIncarnations are those before it,
	// which a lagging instance list must not bring back. listedIncarnation is the
	// last one that the list had.
	incarnation, listedIncarnation string
	replacedIncarnations           map[string]bool
	released                       bool

	limit       int
	leaseLimit  int // bound of the holder's lease, 0 for none
	inFlight    int
	queue       queue
	lastArrival uint64

	evidenceState
}

func newBackend(logger *log.Logger, name string, opts Options) *Backend {
	b := &Backend{name: name, log: logger, opts: opts, replacedIncarnations: map[string]bool{}}
	b.setPhase(state.PhaseCold)
	return b
}

// setPhase replaces the state machine by one in phase p, without a transition.
func (b *Backend) setPhase(p state.Phase) {
	b.machine, b.phase = newPhaseMachine(p), p
	b.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		b.phase = t.Destination.(state.Phase)
	})
}

// configure applies the listed target and the declaration of its service.
func (b *Backend) configure(t state.Target, svc declare.Service) {
	slots := max(1, svc.Slots)
	connections := slots + 1
	if svc.Connections > 0 {
		connections = min(connections, svc.Connections)
	}
	if cold := min(max(1, svc.BearsCold), slots); cold != b.coldLimit {
		b.coldLimit = cold
		if b.limit == 0 || b.phase == state.PhaseCold {
			b.setLimit(cold)
		}
	}
	if slots != b.slots {
		// The limit reaches added slots through good answers, as after a shed.
		b.slots = slots
		b.setLimit(min(b.limit, slots))
	}
	if b.client == nil || b.client.address != t.Address || b.connections != connections {
		if b.client != nil {
			b.client.close()
		}
		b.client, b.connections = newClient(t.Address, connections, b.opts), connections
	}
	if t.Incarnation != b.listedIncarnation {
		b.listedIncarnation = t.Incarnation
		b.observeIncarnation(t.Incarnation)
	}
}

// currentLimit returns the present bound on requests in flight to the target.
func (b *Backend) currentLimit() int {
	n := b.limit
	if b.phase == state.PhaseEjected || b.probing {
		n = 1
	}
	if b.leaseLimit > 0 {
		n = min(n, b.leaseLimit)
	}
	return max(1, n)
}

// runRequest runs a request once a slot is free and admit still allows it, or
// refuses it.
func (b *Backend) runRequest(ctx context.Context, request Request, admit Admit) outcome.Result {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	if _, limit, r := admit(); r != outcome.ReasonNone {
		return outcome.Refused(r)
	} else {
		b.setLeaseLimit(limit)
	}
	wt := &waiter{priority: request.Priority, deadline: request.Deadline, admit: admit}
	for {
		if r := b.acquireSlot(ctx, wt); r != outcome.ReasonNone {
			return outcome.Refused(r)
		}
		leaseEnd, limit, r := admit()
		now := time.Now()
		switch {
		case r != outcome.ReasonNone:
		case ctx.Err() != nil || !request.Deadline.After(now):
			r = stopReason(ctx)
		case !leaseEnd.IsZero() && !leaseEnd.After(now):
			r = outcome.ReasonNoLease
		}
		if r != outcome.ReasonNone {
			b.releaseSlot()
			return outcome.Refused(r)
		}
		p, r := b.startExchange(limit, now)
		if r != outcome.ReasonNone {
			return outcome.Refused(r)
		}
		if p == nil {
			continue // the limit has fallen since the slot was granted
		}
		return b.runExchange(ctx, request, leaseEnd, p)
	}
}

// runExchange sends a request under the permit p and records the evidence of the reply.
// An idempotent request ends with the lease at the latest.
func (b *Backend) runExchange(ctx context.Context, request Request, leaseEnd time.Time, p *permit) outcome.Result {
	deadline, endsWithLease := request.Deadline, false
	if request.Idempotent && !leaseEnd.IsZero() && leaseEnd.Before(deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, leaseEnd)
		defer cancel()
		deadline, endsWithLease = leaseEnd, true
	}
	r := p.client.send(ctx, request, deadline)
	if endsWithLease && r.evidence == evidenceTimeout {
		r.evidence = evidenceNone // the end of the lease says nothing about the target
	}
	b.finishExchange(p, r)
	return r.result
}

func stopReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.ReasonCancelled
	}
	return outcome.ReasonExpired
}

func (b *Backend) setLeaseLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit != b.leaseLimit {
		b.leaseLimit = limit
		b.grantFreeSlots(time.Now())
	}
}

// acquireSlot waits for a slot and returns ReasonNone with the slot reserved, or
// the reason to refuse.
func (b *Backend) acquireSlot(ctx context.Context, wt *waiter) outcome.Reason {
	now := time.Now()
	b.mu.Lock()
	b.endDueEjection(now)
	if b.phase == state.PhaseLeaving {
		b.mu.Unlock()
		return outcome.ReasonLeaving
	}
	if b.released {
		b.mu.Unlock()
		return outcome.ReasonNoLease
	}
	if !wt.deadline.After(now) {
		b.mu.Unlock()
		return outcome.ReasonExpired
	}
	if b.queue.len() == 0 && b.inFlight < b.currentLimit() {
		b.inFlight++
		b.mu.Unlock()
		return outcome.ReasonNone
	}
	if wt.arrival == 0 {
		b.lastArrival++
		wt.arrival = b.lastArrival
	}
	ahead := b.queue.position(wt)
	if b.cannotMeetDeadline(wt, ahead, now) {
		b.mu.Unlock()
		return outcome.ReasonOverload
	}
	if b.queue.len() >= 4*b.slots+8 {
		if ahead == b.queue.len() {
			b.mu.Unlock()
			return outcome.ReasonOverload
		}
		b.queue.popLast().decision <- outcome.ReasonOverload
	}
	wt.decision = make(chan outcome.Reason, 1)
	b.queue.push(wt)
	b.grantFreeSlots(now)
	b.mu.Unlock()

	select {
	case r := <-wt.decision:
		return r
	case <-ctx.Done():
	}
	b.mu.Lock()
	queued := b.queue.remove(wt)
	b.mu.Unlock()
	if !queued {
		if r := <-wt.decision; r != outcome.ReasonNone {
			return r
		}
		b.releaseSlot()
	}
	return stopReason(ctx)
}

// cannotMeetDeadline reports whether a request with the given number of others
// ahead of it in the queue cannot be answered in time. It is false while nothing
// is in flight, so that an outdated estimate cannot keep the target unused.
func (b *Backend) cannotMeetDeadline(wt *waiter, ahead int, now time.Time) bool {
	if b.inFlight == 0 || b.latency == 0 {
		return false
	}
	// The requests in flight are half done on average.
	wait := b.latency * time.Duration(2*ahead+1) / time.Duration(2*b.currentLimit())
	return now.Add(wait + b.plannedServiceTime()).After(wt.deadline)
}

// plannedServiceTime returns the service time that decisions on deadlines assume.
// Its margin above the mean keeps requests that would expire shortly before their
// answer from taking a slot.
func (b *Backend) plannedServiceTime() time.Duration {
	return b.latency + b.latency/8 + b.deviation
}

// grantFreeSlots gives free slots to the most urgent waiters and refuses those
// that can no longer be answered in time.
func (b *Backend) grantFreeSlots(now time.Time) {
	for b.queue.len() > 0 && b.inFlight < b.currentLimit() {
		wt := b.queue.pop()
		switch {
		case !wt.deadline.After(now):
			wt.decision <- outcome.ReasonExpired
		case b.inFlight > 0 && now.Add(b.plannedServiceTime()).After(wt.deadline):
			wt.decision <- outcome.ReasonOverload
		default:
			b.inFlight++
			wt.decision <- outcome.ReasonNone
		}
	}
}

// releaseSlot frees a slot that was reserved but not used, or whose exchange was
// aborted.
func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.grantFreeSlots(time.Now())
}

// permit allows one exchange and records the state of the Backend at its start.
type permit struct {
	client      *client
	started     time.Time
	generation  uint64
	atFullLimit bool // whether the exchange filled the last slot
}

// startExchange turns a reserved slot into a permit. It frees the slot and returns
// no permit if there is a reason to refuse, which it returns, or if the limit has
// fallen below the number of requests in flight.
func (b *Backend) startExchange(limit int, now time.Time) (*permit, outcome.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaseLimit = limit
	r := outcome.ReasonNone
	if b.phase == state.PhaseLeaving {
		r = outcome.ReasonLeaving
	} else if b.released {
		r = outcome.ReasonNoLease
	}
	if r != outcome.ReasonNone || b.inFlight > b.currentLimit() {
		b.inFlight--
		b.grantFreeSlots(now)
		return nil, r
	}
	if b.firstColdSend.IsZero() && b.phase != state.PhaseWarm {
		b.firstColdSend = now
	}
	return &permit{client: b.client, started: now, generation: b.generation, atFullLimit: b.inFlight >= b.currentLimit()}, r
}

// finishExchange records the reply of an exchange and frees its slot, after
// abortGrace if the target may still be running the request.
func (b *Backend) finishExchange(p *permit, r reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.observeReply(p, r, now)
	if p.client != b.client {
		p.client.close()
	}
	if r.aborted {
		time.AfterFunc(abortGrace, b.releaseSlot)
	} else {
		b.inFlight--
	}
	b.grantFreeSlots(now)
}

// refuseWaiters empties the queue. It is called with the lock held.
func (b *Backend) refuseWaiters(r outcome.Reason) {
	for b.queue.len() > 0 {
		b.queue.pop().decision <- r
	}
}

// recheckWaiters refuses the waiters that are no longer admitted. It is called
// after a change of the configuration, the targets or the leases.
func (b *Backend) recheckWaiters() {
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
			wt.decision <- r
		}
		b.mu.Unlock()
	}
}

// currentLoad returns the state that other instances get. It is called with
// the lock held.
func (b *Backend) currentLoad(now time.Time) state.Load {
	b.endDueEjection(now)
	return state.Load{
		Target: b.name, Phase: b.phase, Limit: b.currentLimit(), InFlight: b.inFlight, Queued: b.queue.len(),
		LatencyMicros: b.latency.Microseconds(), Incarnation: b.incarnation,
	}
}

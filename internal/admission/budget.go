// Package admission bounds the connections and the memory that a listener holds for its
// clients. A client that has been waited for the longest gives way to a new one.
package admission

import (
	"container/list"
	"sync"
)

// Limits bound what a Budget gives out.
type Limits struct {
	Conns int   // open connections
	Bytes int64 // memory held for all clients together
}

// evictionSlack is the share, 1/evictionSlack, of its limits that a Budget may exceed
// while evicted clients are still being closed.
const evictionSlack = 4

// Budget is what a listener may hold for all its clients together. It is safe for
// concurrent use.
type Budget struct {
	name   string // of the listener, in logs and metrics
	limits Limits

	mu      sync.Mutex
	used    Limits    // by leases that are not evicted
	closing Limits    // by leases that are evicted and not yet released
	waiting list.List // of *Lease, the one that waits for its client the longest first
	counts  Counts
}

// Counts are how often a Budget had to act since its start.
type Counts struct {
	Evicted int64 // clients that gave way to others
	Refused int64 // clients that found no room
}

// NewBudget returns the Budget of the listener called name.
func NewBudget(name string, limits Limits) *Budget { return &Budget{name: name, limits: limits} }

// Name returns the name of the listener.
func (b *Budget) Name() string { return b.name }

// Limits returns the limits of the Budget.
func (b *Budget) Limits() Limits { return b.limits }

// Counts returns how often the Budget had to act since its start.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Used returns what all leases hold that are not evicted.
func (b *Budget) Used() Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// AdmitConn returns the lease of a new connection that holds bytes, or false if there is
// no room and no client that could give way. evict is called at most once, when the
// connection has to give way; it must not block, and Release has to follow soon.
func (b *Budget) AdmitConn(bytes int64, evict func()) (*Lease, bool) {
	return b.admit(Limits{Conns: 1, Bytes: bytes}, evict)
}

// AdmitRequest is AdmitConn for a request that has a lease besides that of its
// connection.
func (b *Budget) AdmitRequest(bytes int64, evict func()) (*Lease, bool) {
	return b.admit(Limits{Bytes: bytes}, evict)
}

func (b *Budget) admit(need Limits, evict func()) (*Lease, bool) {
	l := &Lease{budget: b, evict: evict, conns: need.Conns, initial: need.Bytes}
	b.mu.Lock()
	evicted, ok := b.makeRoom(l, need)
	if ok {
		l.held = need.Bytes
		l.element = b.waiting.PushBack(l)
		b.used.Conns += need.Conns
		b.used.Bytes += need.Bytes
	} else {
		b.counts.Refused++
	}
	b.mu.Unlock()
	evictAll(evicted)
	return l, ok
}

// EvictConn makes the connection give way that has waited for its client the longest. It
// returns false if none waits.
func (b *Budget) EvictConn() bool {
	b.mu.Lock()
	l := b.victim(true)
	if l != nil {
		b.remove(l)
	}
	b.mu.Unlock()
	if l == nil {
		return false
	}
	l.evict()
	return true
}

// longestWaiting returns the lease among those that match that has waited for its client
// the longest, or nil.
func (b *Budget) longestWaiting(match func(*Lease) bool) *Lease {
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*Lease); match(l) {
			return l
		}
	}
	return nil
}

// victim returns the lease that gives way next, or nil. When memory is short, those that
// hold more than at their start go first, so that idle connections stay.
func (b *Budget) victim(shortOfConns bool) *Lease {
	if shortOfConns {
		return b.longestWaiting((*Lease).isConn)
	}
	if l := b.longestWaiting((*Lease).hasGrown); l != nil {
		return l
	}
	return b.longestWaiting(func(*Lease) bool { return true })
}

// makeRoom takes out leases until need fits, and returns them. Their evict functions
// have to be called without the lock. It fails if the next one to give way is l itself,
// if none is left, or if too many are still being closed.
func (b *Budget) makeRoom(l *Lease, need Limits) (evicted []*Lease, ok bool) {
	for {
		shortOfConns := b.used.Conns+need.Conns > b.limits.Conns
		if !shortOfConns && b.used.Bytes+need.Bytes <= b.limits.Bytes {
			return evicted, true
		}
		victim := b.victim(shortOfConns)
		if victim == nil || victim == l || b.isClosingTooMany() {
			return evicted, false
		}
		b.remove(victim)
		evicted = append(evicted, victim)
	}
}

func (b *Budget) isClosingTooMany() bool {
	return b.closing.Conns > b.limits.Conns/evictionSlack || b.closing.Bytes > b.limits.Bytes/evictionSlack
}

// remove takes out a lease that is waiting.
func (b *Budget) remove(l *Lease) {
	b.waiting.Remove(l.element)
	l.element, l.evicted = nil, true
	b.used.Conns -= l.conns
	b.used.Bytes -= l.held
	b.closing.Conns += l.conns
	b.closing.Bytes += l.held
	b.counts.Evicted++
}

func evictAll(leases []*Lease) {
	for _, l := range leases {
		l.evict()
	}
}

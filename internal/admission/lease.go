package admission

import "container/list"

// Lease is the part of a Budget that one client holds. Its methods are safe for
// concurrent use.
type Lease struct {
	budget  *Budget
	evict   func()
	conns   int
	initial int64 // bytes held at the start

	// Guarded by the mutex of the budget.
	held     int64         // bytes
	serving  int           // requests that are whole and not answered
	element  *list.Element // in the waiting list; nil if serving or evicted
	evicted  bool
	released bool
}

func (l *Lease) isConn() bool   { return l.conns > 0 }
func (l *Lease) hasGrown() bool { return l.held > l.initial }

// Resize sets what the lease holds, in bytes. It returns false and leaves the lease as it
// is if there is no room for more, or if the lease has been evicted.
func (l *Lease) Resize(bytes int64) bool {
	b := l.budget
	b.mu.Lock()
	var evicted []*Lease
	ok := !l.evicted && !l.released
	if ok && bytes > l.held {
		if evicted, ok = b.makeRoom(l, Limits{Bytes: bytes - l.held}); !ok {
			b.counts.Refused++
		}
	}
	if ok {
		b.used.Bytes += bytes - l.held
		l.held = bytes
	}
	b.mu.Unlock()
	evictAll(evicted)
	return ok
}

// Renew makes the client the last one to give way, because it has begun a request or its
// request was answered.
func (l *Lease) Renew() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.element != nil {
		l.budget.waiting.MoveToBack(l.element)
	}
}

// BeginServing keeps the client from being evicted while its request is served. It
// returns false if the client has been evicted.
func (l *Lease) BeginServing() bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.evicted || l.released {
		return false
	}
	l.serving++
	if l.element != nil {
		l.budget.waiting.Remove(l.element)
		l.element = nil
	}
	return true
}

// EndServing ends what BeginServing began.
func (l *Lease) EndServing() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.serving--
	if l.serving == 0 && !l.released {
		l.element = l.budget.waiting.PushBack(l)
	}
}

// Release gives everything back. Further calls have no effect.
func (l *Lease) Release() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	from := &b.used
	if l.evicted {
		from = &b.closing
	}
	from.Conns -= l.conns
	from.Bytes -= l.held
	if l.element != nil {
		b.waiting.Remove(l.element)
		l.element = nil
	}
}

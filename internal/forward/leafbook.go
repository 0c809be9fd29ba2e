package forward

import (
	"sync"
	"time"
)

const (
	// initialLeafEjection and maxLeafEjection bound the time for which a leaf is asked
	// only if no other is left. It doubles with each further consecutive failure.
	initialLeafEjection = 500 * time.Millisecond
	maxLeafEjection     = 8 * time.Second
	// leavingEjection is that time after a leaf has said that it is about to stop. Until
	// its end, the list of instances no longer has the leaf, or its successor runs.
	leavingEjection = 3 * time.Second
	// stalledLeafAge is the age of an unanswered call from which on other leaves are asked
	// first.
	stalledLeafAge = 400 * time.Millisecond
	// maxLeaves bounds the leaves that are remembered. All are forgotten when it is reached.
	maxLeaves = 8192
)

// leafBook keeps how calls to leaves have ended. It is safe for concurrent use.
type leafBook struct {
	mu     sync.Mutex
	leaves map[string]*leafRecord // by instance name
}

type leafRecord struct {
	failures     int // consecutive
	ejectedUntil time.Time
	calls        []time.Time // starts of the calls in flight
	lastUsed     time.Time
}

func newLeafBook() *leafBook { return &leafBook{leaves: map[string]*leafRecord{}} }

// record returns the record of a leaf. b.mu is held.
func (b *leafBook) record(name string) *leafRecord {
	l := b.leaves[name]
	if l == nil {
		if len(b.leaves) >= maxLeaves {
			clear(b.leaves)
		}
		l = &leafRecord{}
		b.leaves[name] = l
	}
	return l
}

// ejected reports whether a leaf should be asked only if no other is left.
func (b *leafBook) ejected(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leaves[name]
	if l == nil {
		return false
	}
	return now.Before(l.ejectedUntil) || len(l.calls) > 0 && now.Sub(l.calls[0]) > stalledLeafAge
}

// start records the start of a call.
func (b *leafBook) start(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(name)
	l.calls = append(l.calls, now)
	l.lastUsed = now
}

// finish records the end of a call. abandoned is set if this instance no longer waited
// for it.
func (b *leafBook) finish(call *leafCall, abandoned bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(call.leaf.Name)
	for i, started := range l.calls {
		if started.Equal(call.started) {
			l.calls = append(l.calls[:i], l.calls[i+1:]...)
			break
		}
	}
	overdue := now.Sub(call.started) > stalledLeafAge
	if call.err != nil && abandoned && !overdue {
		return // this says nothing about the leaf
	}
	l.note(call.reply.Leaving, call.err, now)
}

// note takes in how an exchange with a leaf ended.
func (l *leafRecord) note(leaving bool, err error, now time.Time) {
	switch {
	case err != nil:
		l.ejectedUntil = now.Add(min(initialLeafEjection<<min(l.failures, 8), maxLeafEjection))
		l.failures++
	case leaving:
		l.ejectedUntil = now.Add(leavingEjection)
	default:
		l.failures, l.ejectedUntil = 0, time.Time{}
	}
}

// startPreparing reports whether a connection to a leaf has to be opened or used, because
// it has carried no call for an interval. If so, the caller calls finishPreparing.
func (b *leafBook) startPreparing(name string, now time.Time, interval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(name)
	if !l.lastUsed.IsZero() && now.Sub(l.lastUsed) < interval {
		return false
	}
	l.lastUsed = now
	return true
}

func (b *leafBook) finishPreparing(name string, leaving bool, err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(name)
	l.note(leaving, err, now)
	if err != nil {
		l.lastUsed = time.Time{} // tried again soon
	}
}

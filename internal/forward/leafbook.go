package forward

import (
	"sync"
	"time"
)

const (
	// leavingTime is how long a leaf is asked last that has said that it is about to stop.
	// Until its end, the list of instances no longer has the leaf, or its successor runs.
	leavingTime = 3 * time.Second
	// stalledLeafAge is the age of an unanswered request from which on other leaves are
	// asked first.
	stalledLeafAge = 400 * time.Millisecond
	// suspectProbeInterval is how often a leaf that did not answer is tried again. Queries
	// of one instance may be seconds apart, so that they would notice its return late, and
	// a failure that is forgotten after a time would meet each of them.
	suspectProbeInterval = time.Second
	// maxLeaves bounds the leaves that are remembered. All are forgotten when it is reached.
	maxLeaves = 8192
)

// leafBook keeps how exchanges with leaves have ended. It is safe for concurrent use.
type leafBook struct {
	mu     sync.Mutex
	leaves map[string]*leafRecord // by instance name
}

type leafRecord struct {
	// suspect is set from a request without a reply until the next reply.
	suspect      bool
	leavingUntil time.Time
	requests     []time.Time // starts of those in flight
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

// askLast reports whether a leaf should be asked only if no other is left.
func (b *leafBook) askLast(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leaves[name]
	if l == nil {
		return false
	}
	return l.suspect || now.Before(l.leavingUntil) || len(l.requests) > 0 && now.Sub(l.requests[0]) > stalledLeafAge
}

// start records the start of an exchange.
func (b *leafBook) start(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(name)
	l.requests = append(l.requests, now)
	l.lastUsed = now
}

// finish records the end of an exchange. abandoned is set if this instance no longer
// waited for it.
func (b *leafBook) finish(reply *leafReply, abandoned bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.record(reply.call.leaf.Name)
	for i, started := range l.requests {
		if started.Equal(reply.started) {
			l.requests = append(l.requests[:i], l.requests[i+1:]...)
			break
		}
	}
	overdue := now.Sub(reply.started) > stalledLeafAge
	if reply.err != nil && abandoned && !overdue {
		return // this says nothing about the leaf
	}
	l.note(reply.Leaving, reply.err, now)
}

// note takes in how an exchange with a leaf ended.
func (l *leafRecord) note(leaving bool, err error, now time.Time) {
	l.suspect = err != nil
	if leaving {
		l.leavingUntil = now.Add(leavingTime)
	}
}

// startPreparing reports whether a connection to a leaf has to be used or tried: it has
// carried nothing for an interval, or the leaf is suspect. If so, the caller calls
// finishPreparing. Leaves that are not preferred are tried only if they are suspect.
func (b *leafBook) startPreparing(name string, preferred bool, now time.Time, interval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.leaves[name]
	if l != nil && l.suspect {
		interval = suspectProbeInterval
	} else if !preferred {
		return false
	}
	if l == nil {
		l = b.record(name)
	} else if now.Sub(l.lastUsed) < interval {
		return false
	}
	l.lastUsed = now
	return true
}

func (b *leafBook) finishPreparing(name string, leaving bool, err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(name).note(leaving, err, now)
}

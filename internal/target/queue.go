package target

import (
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/outcome"
)

// waiter is a request that waits for a slot. decision has capacity 1 and receives
// ReasonNone with a reserved slot, or the reason of the refusal.
type waiter struct {
	priority int
	deadline time.Time
	arrival  uint64
	admit    Admit
	decision chan outcome.Reason
}

// isMoreUrgent compares by priority, then deadline, then arrival.
func (w *waiter) isMoreUrgent(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.arrival < o.arrival
}

// queue keeps its waiters sorted, most urgent first. It holds a few dozen at most,
// for which a sorted slice is as fast as a heap and also gives positions.
type queue struct{ waiters []*waiter }

func (q *queue) position(w *waiter) int {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.isMoreUrgent(b) {
			return -1
		}
		if b.isMoreUrgent(a) {
			return 1
		}
		return 0
	})
	return i
}

func (q *queue) push(w *waiter) { q.waiters = slices.Insert(q.waiters, q.position(w), w) }

func (q *queue) pop() *waiter {
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// popLast removes the least urgent waiter.
func (q *queue) popLast() *waiter {
	n := len(q.waiters) - 1
	w := q.waiters[n]
	q.waiters[n] = nil
	q.waiters = q.waiters[:n]
	return w
}

// remove reports whether w was still queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

func (q *queue) len() int { return len(q.waiters) }

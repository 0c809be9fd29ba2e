package logs

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a reader: a few seconds of a busy
	// instance. One has some hundred bytes.
	queueLines = 4096
	// ordinaryShare is the part of the queue for lines below warnings, so that a
	// reader that falls behind loses successes before failures.
	ordinaryShare = queueLines / 2
	// linesPerSecond bounds the lines below warnings, and the warnings and errors,
	// of an instance. The largest deployment has about 200 requests a second for
	// each instance (docs/CAPACITY.md), with a line or two each.
	linesPerSecond = 1000
	// closeTimeout bounds the wait for a reader that stands still.
	closeTimeout = 500 * time.Millisecond
	// reportInterval is how often dropped lines are counted.
	reportInterval = time.Second
)

// Queue writes lines to a reader that may fall behind or stand still. Whoever
// logs never waits: lines that do not fit are dropped and counted. It implements
// log.Writer and is safe for concurrent use.
//
// It replaces log.AsyncWriter, which neither counts nor tells levels apart, and
// reads an entry after it has handed it over.
type Queue struct {
	ordinary, urgent  *rate.Limiter
	into              log.IOWriter // copies an entry into the queue
	dropped, failures atomic.Int64

	mu     sync.RWMutex // held for writing by Close only
	closed bool
	lines  chan []byte
	done   chan struct{} // closed when all lines were written
}

// NewQueue returns a Queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		ordinary: rate.NewLimiter(linesPerSecond, linesPerSecond),
		urgent:   rate.NewLimiter(linesPerSecond, linesPerSecond),
		lines:    make(chan []byte, queueLines),
		done:     make(chan struct{}),
	}
	q.into.Writer = enqueue(q.lines)
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if _, err := out.Write(line); err != nil {
				q.drop(log.WarnLevel) // there is nowhere to say so
			}
		}
	}()
	return q
}

var errFull = errors.New("log: the queue is full")

// enqueue is the writing end of a queue.
type enqueue chan<- []byte

// Write implements io.Writer. It does not block.
func (e enqueue) Write(line []byte) (int, error) {
	select {
	case e <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, errFull
	}
}

// WriteEntry implements log.Writer. A line that is dropped is not an error.
func (q *Queue) WriteEntry(e *log.Entry) (int, error) {
	limiter, room := q.ordinary, ordinaryShare
	if e.Level >= log.WarnLevel {
		limiter, room = q.urgent, queueLines
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed || len(q.lines) >= room || !limiter.Allow() {
		q.drop(e.Level)
		return 0, nil
	}
	n, err := q.into.WriteEntry(e)
	if err != nil {
		q.drop(e.Level)
	}
	return n, nil
}

func (q *Queue) drop(level log.Level) {
	q.dropped.Add(1)
	if level >= log.WarnLevel {
		q.failures.Add(1)
	}
}

// Dropped returns the lines that were dropped, and how many of them were
// warnings or errors.
func (q *Queue) Dropped() (lines, failures int64) { return q.dropped.Load(), q.failures.Load() }

// Run counts and logs what was dropped until ctx ends.
func (q *Queue) Run(ctx context.Context, logger *log.Logger, scope tally.Scope) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	counter := scope.Counter("log_lines_dropped")
	var seen, seenFailures int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		lines, failures := q.Dropped()
		if lines == seen {
			continue
		}
		counter.Inc(lines - seen)
		logger.Warn().Str("event", "lines dropped").Int64("lines", lines-seen).Int64("failures", failures-seenFailures).
			Msg("the log's reader is behind, or there were too many lines")
		seen, seenFailures = lines, failures
	}
}

// Close writes the lines that wait, as far as the reader takes them in time.
// Later lines are dropped.
func (q *Queue) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
		return nil
	case <-time.After(closeTimeout):
		return errors.New("log: the reader stands still")
	}
}

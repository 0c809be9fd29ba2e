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
	// queueLines bounds the lines that wait for the output: a few seconds of a busy
	// instance. A line has a few hundred bytes.
	queueLines = 4096
	// ordinaryLines is the queue length from which lines below the level warn are
	// dropped. The rest is for warnings and errors, so that a slow output loses
	// successes before failures.
	ordinaryLines = queueLines / 2
	// linesPerSecond bounds the rate of lines below the level warn and, separately,
	// that of warnings and errors. In the largest deployment each instance has about
	// 200 requests per second (docs/CAPACITY.md), with one or two lines each.
	linesPerSecond = 1000
	// closeTimeout bounds how long Close waits for a blocked output.
	closeTimeout = 500 * time.Millisecond
	// reportInterval is the interval at which dropped lines are counted and logged.
	reportInterval = time.Second
)

// Queue passes log lines to an output that may be slow or blocked. A goroutine that
// logs never waits: lines that do not fit are dropped and counted. Queue implements
// log.Writer and is safe for concurrent use.
//
// It is used instead of log.AsyncWriter, which does not count dropped lines or treat
// levels differently, and reads an entry after it has passed it on.
type Queue struct {
	ordinary, urgent  *rate.Limiter
	entryWriter       log.IOWriter // copies an entry into the queue
	dropped, failures atomic.Int64 // dropped lines; those of them that are warnings or errors

	mu     sync.RWMutex // locked for writing only by Close
	closed bool
	lines  chan []byte
	done   chan struct{} // closed when all lines were written
}

// NewQueue returns a Queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		ordinary: rate.NewLimiter(linesPerSecond, linesPerSecond),
		urgent:   rate.NewLimiter(linesPerSecond, linesPerSecond),
		lines:    make(chan []byte, queueLines),
		done:     make(chan struct{}),
	}
	q.entryWriter.Writer = lineSender(q.lines)
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if _, err := out.Write(line); err != nil {
				// The level is not known here, and the error cannot be logged.
				q.countDropped(log.WarnLevel)
			}
		}
	}()
	return q
}

var errFull = errors.New("log: queue is full")

// lineSender sends what is written to it to the lines of a Queue.
type lineSender chan<- []byte

// Write implements io.Writer. It does not block.
func (e lineSender) Write(line []byte) (int, error) {
	select {
	case e <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, errFull
	}
}

// WriteEntry implements log.Writer. A line that is dropped is not an error.
func (q *Queue) WriteEntry(e *log.Entry) (int, error) {
	limiter, maxQueued := q.ordinary, ordinaryLines
	if e.Level >= log.WarnLevel {
		limiter, maxQueued = q.urgent, queueLines
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed || len(q.lines) >= maxQueued || !limiter.Allow() {
		q.countDropped(e.Level)
		return 0, nil
	}
	n, err := q.entryWriter.WriteEntry(e)
	if err != nil {
		q.countDropped(e.Level)
	}
	return n, nil
}

func (q *Queue) countDropped(level log.Level) {
	q.dropped.Add(1)
	if level >= log.WarnLevel {
		q.failures.Add(1)
	}
}

// Dropped returns the number of lines that were dropped, and how many of them were
// warnings or errors.
func (q *Queue) Dropped() (lines, failures int64) { return q.dropped.Load(), q.failures.Load() }

// ReportDropped counts dropped lines in scope and logs them until ctx ends.
func (q *Queue) ReportDropped(ctx context.Context, logger *log.Logger, scope tally.Scope) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	counter := scope.Counter("log_lines_dropped")
	var reported, reportedFailures int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		lines, failures := q.Dropped()
		if lines == reported {
			continue
		}
		counter.Inc(lines - reported)
		logger.Warn().Str("event", "lines dropped").Int64("lines", lines-reported).Int64("failures", failures-reportedFailures).
			Msg("log output is too slow, or the rate of log lines is above its limit")
		reported, reportedFailures = lines, failures
	}
}

// Close waits until the queued lines are written, at most for closeTimeout. Later
// lines are dropped.
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
		return errors.New("log: output is blocked; queued lines may be lost")
	}
}

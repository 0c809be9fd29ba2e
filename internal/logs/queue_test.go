package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

func logger(q *Queue) *log.Logger { return &log.Logger{Level: log.InfoLevel, Writer: q} }

// Guards against a blocked output of the log that makes requests wait, and against
// successes that fill the queue so that failures are dropped.
func TestBlockedOutputDropsOnlySuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		q := NewQueue(out)
		l := logger(q)
		for second := range 20 {
			for range 900 {
				l.Info().Msg("served")
			}
			for range 50 {
				l.Warn().Int("second", second).Msg("failed")
			}
			time.Sleep(time.Second)
		}
		lines, failures := q.Dropped()
		if failures != 0 || lines == 0 {
			t.Errorf("dropped %d lines, %d of them failures, want no failure", lines, failures)
		}
		close(out.release)
		if err := q.Close(); err != nil {
			t.Error(err)
		}
		if n := strings.Count(out.text(), "failed"); n != 1000 {
			t.Errorf("%d of 1000 failures written", n)
		}
		if n := strings.Count(out.text(), "\n"); int64(n) != 19000-lines {
			t.Errorf("%d lines written, %d dropped, of 19000", n, lines)
		}
	})
}

// Guards against a stop that never ends because the output of the log is blocked.
func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		q := NewQueue(out)
		logger(q).Info().Msg("x")
		start := time.Now()
		if err := q.Close(); err == nil || time.Since(start) > time.Second {
			t.Errorf("closed after %v: %v", time.Since(start), err)
		}
		close(out.release)
		synctest.Wait()
	})
}

// Guards against a log that grows without bound under overload, and against dropped
// lines that are not counted and reported.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out blockedWriter
		out.release = make(chan struct{})
		close(out.release)
		q := NewQueue(&out)
		l := logger(q)
		scope := tally.NewTestScope("", nil)
		go func() { _ = q.ReportDropped(t.Context(), l, scope) }()
		for range 50 {
			for range 500 {
				l.Warn().Msg("refused")
				l.Info().Msg("served")
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		lines, _ := q.Dropped()
		if n := strings.Count(out.text(), "\n"); n > 2*linesPerSecond*6+10 {
			t.Errorf("%d lines in 5 s", n)
		}
		counted := scope.Snapshot().Counters()["log_lines_dropped+"]
		if counted == nil || counted.Value() != lines || !strings.Contains(out.text(), "lines dropped") {
			t.Errorf("counted %v of %d dropped lines", counted, lines)
		}
		if err := q.Close(); err != nil {
			t.Error(err)
		}
	})
}

// BenchmarkLine measures the CPU time that the log line of a request costs.
func BenchmarkLine(b *testing.B) {
	q := NewQueue(io.Discard)
	q.urgent.SetLimit(rate.Inf)
	for name, l := range map[string]*log.Logger{"discarded": OrDiscard(nil), "queued": logger(q)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				l.Warn().Str("event", "request").Str("request_id", "9792774850b570cc").Str("outcome", "merged").
					Dur("took", time.Second).Dur("patience", time.Second).Str("route", "r").Int64("version", 2).Msg("request ended")
			}
		})
	}
}

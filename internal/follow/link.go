package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// firstBackoff and maxBackoff bound the pause between calls to a store that
	// does not answer. Each call has a price; maxBackoff is the most that an
	// outage is prolonged.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = time.Second
	// probeTimeout bounds a call that tries a lost link, so that the return of a
	// store that was silent is seen soon. It is well above the answers of a slow
	// store, some hundred milliseconds.
	probeTimeout = 800 * time.Millisecond
	// staleGrace is how long a watch may take to report a change after another
	// answer named its revision. After it, the watch is armed again: a store that
	// drops its history may leave a watch waiting that hears nothing any more.
	staleGrace = time.Second
)

// Link is the state of the connection to the store, shared by all followers of
// a process. While it is lost, one follower calls the store and the others
// wait. It is safe for concurrent use.
type Link struct {
	logger *log.Logger
	probe  chan struct{} // holds one token

	mu       sync.Mutex
	lost     bool
	lostAt   time.Time
	backAt   time.Time
	failures int
	changed  chan struct{} // closed when lost changes
	revision int64         // the latest that any answer named
	advanced chan struct{} // closed when revision grows
	// confirmedAt is when the store last answered, or another instance that had
	// its answer; restUntil is how long the latter lets the store alone.
	confirmedAt time.Time
	restUntil   time.Time
}

// NewLink returns a Link that counts as connected.
func NewLink(logger *log.Logger) *Link {
	l := &Link{logger: logger, probe: make(chan struct{}, 1), changed: make(chan struct{}), advanced: make(chan struct{})}
	l.probe <- struct{}{}
	return l
}

// Lost reports whether the last call failed.
func (l *Link) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// BackAt returns when the store last answered after an outage; the zero time
// if there was none.
func (l *Link) BackAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backAt
}

// Revision returns the latest revision of the store that any answer named.
func (l *Link) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// note records the store's revision of an answer.
func (l *Link) note(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.revision {
		l.revision = revision
		close(l.advanced)
		l.advanced = make(chan struct{})
	}
}

// behind waits until the store has a later revision than since, and then for
// staleGrace.
func (l *Link) behind(done <-chan struct{}, since int64) bool {
	for {
		l.mu.Lock()
		later, advanced := l.revision > since, l.advanced
		l.mu.Unlock()
		if later {
			t := time.NewTimer(staleGrace)
			defer t.Stop()
			select {
			case <-t.C:
				return true
			case <-done:
				return false
			}
		}
		select {
		case <-advanced:
		case <-done:
			return false
		}
	}
}

// noteBack records that the store returned after an outage, as another instance
// has seen it.
func (l *Link) noteBack(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.backAt) {
		l.backAt = at
	}
}

// rest lets the store alone until a time, because another instance has its
// answers up to confirmed.
func (l *Link) rest(confirmed, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if confirmed.After(l.confirmedAt) {
		l.confirmedAt = confirmed
	}
	l.restUntil = until
}

// unknownAge is the age of what was never confirmed.
const unknownAge = time.Hour

// ages returns the time since the store last answered, and since it returned
// after an outage; 0 if there was none.
func (l *Link) ages() (confirmed, back time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	confirmed = unknownAge
	if !l.confirmedAt.IsZero() {
		confirmed = now.Sub(l.confirmedAt)
	}
	if !l.backAt.IsZero() {
		back = now.Sub(l.backAt)
	}
	return confirmed, back
}

// awake waits while the store is let alone.
func (l *Link) awake(ctx context.Context) error {
	for {
		l.mu.Lock()
		left := time.Until(l.restUntil)
		l.mu.Unlock()
		if left <= 0 {
			return nil
		}
		if !sleep(ctx, left) {
			return ctx.Err()
		}
	}
}

func (l *Link) state() (lost bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.changed
}

// report records the end of a call.
func (l *Link) report(kind string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err != nil {
		l.failures++
		if !l.lost {
			l.lost, l.lostAt = true, now
			l.flip()
			l.logger.Warn().Str("event", "store lost").Str("kind", kind).Err(err).Msg("the store does not answer")
		}
		return
	}
	l.failures, l.confirmedAt = 0, now
	if l.lost {
		l.lost, l.backAt = false, now
		l.flip()
		l.logger.Info().Str("event", "store regained").Str("kind", kind).Dur("away", now.Sub(l.lostAt)).
			Msg("the store answers again")
	}
}

func (l *Link) flip() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// backoff returns the pause before the next call, with up to half of it drawn
// at random, so that the daemons do not call together.
func (l *Link) backoff() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := min(firstBackoff<<min(max(l.failures-1, 0), 4), maxBackoff)
	return d/2 + rand.N(d/2)
}

// call runs f when no other instance reads for this one, and when the link is up, or when it is this follower's turn to try
// the lost link. A call that waits is given up when another one finds the link
// lost, because a silent store would hold it for its whole wait.
func (l *Link) call(ctx context.Context, kind string, f func(ctx context.Context) error) error {
	if err := l.awake(ctx); err != nil {
		return err
	}
	lost, changed := l.state()
	if !lost {
		callCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-done:
			}
		}()
		err := f(callCtx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil || !isOutage(err) {
			l.report(kind, nil)
			return err
		}
		if callCtx.Err() == nil {
			l.report(kind, err)
		}
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return errRetry
	case <-l.probe:
	}
	defer func() { l.probe <- struct{}{} }()
	if !sleep(ctx, l.backoff()) {
		return ctx.Err()
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := f(probeCtx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !isOutage(err) {
		l.report(kind, nil)
		return err
	}
	l.report(kind, err)
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// minBackoff and maxBackoff bound the pause between calls to a store that
	// does not answer. Each call has a cost. maxBackoff also bounds how long the
	// return of the store stays unnoticed.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// maxRelayedBackoff is maxBackoff for instances that have readers, which notice the
	// return first and tell them.
	maxRelayedBackoff = 3 * time.Second
	// probeTimeout bounds a call that probes a lost link, so that the return of an
	// unresponsive store is noticed soon. It is well above the answer time of a
	// slow store, some hundred milliseconds.
	probeTimeout = 800 * time.Millisecond
	// watchLagLimit is how long a watch may take to report a change after another
	// answer named its revision. A watch that takes longer is cancelled and made
	// again: a store that drops its history may leave watches open on which it
	// reports no further changes.
	watchLagLimit = time.Second
)

// Link is the state of the connection to the store, shared by all followers of
// an instance. It is lost when a call fails and regained when one succeeds; while
// it is lost, one follower at a time probes the store and the others wait. It is
// paused while another instance relays the store's answers. It is safe for
// concurrent use.
type Link struct {
	logger     *log.Logger
	probeToken chan struct{} // holds the token that allows one call while the link is lost

	mu               sync.Mutex
	lost             bool
	lostAt           time.Time
	returnedAt       time.Time
	failures         int
	relayed          bool          // this instance has readers
	lostChanged      chan struct{} // closed when lost changes
	revision         Revision      // latest that any answer of the store named
	revisionAdvanced chan struct{} // closed when revision grows
	restoredAt       time.Time     // when a later era was first noticed
	// confirmedAt is when the store last answered this instance, or another one
	// that relayed the answer.
	confirmedAt time.Time
	// pausedUntil is the end of the time in which this instance does not call the
	// store, because relayed answers are recent enough.
	pausedUntil time.Time
}

// NewLink returns a Link that is not lost.
func NewLink(logger *log.Logger) *Link {
	l := &Link{logger: logger, probeToken: make(chan struct{}, 1), lostChanged: make(chan struct{}), revisionAdvanced: make(chan struct{})}
	l.probeToken <- struct{}{}
	return l
}

// Lost reports whether the last call to the store failed.
func (l *Link) Lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// ReturnedAt returns when the last outage of the store ended; the zero time if there
// was none.
func (l *Link) ReturnedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnedAt
}

// Revision returns the latest revision of the store that any answer named.
func (l *Link) Revision() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// RestoredAt returns when this instance noticed that the store has come back from a
// copy; the zero time if it has not.
func (l *Link) RestoredAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restoredAt
}

// Era returns the latest era of the store that any answer named.
func (l *Link) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision.Era
}

// noteRevision records the revision that an answer of the store named.
func (l *Link) noteRevision(revision Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.revision.Before(revision) {
		return
	}
	if revision.Era > l.revision.Era && !l.revision.IsZero() {
		l.returnedAt, l.restoredAt = time.Now(), time.Now()
		l.logger.Warn().Str("event", "store restored").Int64("era", revision.Era).Int64("revision", revision.Number).
			Str("known", l.revision.String()).Msg("the store has come back from a copy; its revisions start again")
	}
	l.revision = revision
	close(l.revisionAdvanced)
	l.revisionAdvanced = make(chan struct{})
}

// awaitMissedRevision waits until an answer has named a later revision than since,
// and then for watchLagLimit, unless the revision is of a later era. It reports false
// if done is closed before that.
func (l *Link) awaitMissedRevision(done <-chan struct{}, since Revision) bool {
	for {
		l.mu.Lock()
		missed, advanced, restored := since.Before(l.revision), l.revisionAdvanced, since.Era < l.revision.Era
		l.mu.Unlock()
		if restored {
			return true
		}
		if missed {
			t := time.NewTimer(watchLagLimit)
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

// noteReturn records the end of an outage that another instance has observed.
func (l *Link) noteReturn(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.returnedAt) {
		l.returnedAt = at
	}
}

// pause stops calls to the store until a time, because another instance relays
// its answers. confirmed is when the store last answered that instance.
func (l *Link) pause(confirmed, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if confirmed.After(l.confirmedAt) {
		l.confirmedAt = confirmed
	}
	l.pausedUntil = until
}

// setRelayed records whether other instances read from the store for this one.
func (l *Link) setRelayed(relayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relayed = relayed
}

// unconfirmedAge is the age that is reported if the store has never answered.
const unconfirmedAge = time.Hour

// ages returns the time since the store last answered, and the time since its
// last outage ended; the latter is 0 if there was none.
func (l *Link) ages() (sinceAnswer, sinceReturn time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	sinceAnswer = unconfirmedAge
	if !l.confirmedAt.IsZero() {
		sinceAnswer = now.Sub(l.confirmedAt)
	}
	if !l.returnedAt.IsZero() {
		sinceReturn = now.Sub(l.returnedAt)
	}
	return sinceAnswer, sinceReturn
}

// awaitResume waits until calls to the store are no longer paused.
func (l *Link) awaitResume(ctx context.Context) error {
	for {
		l.mu.Lock()
		left := time.Until(l.pausedUntil)
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
	return l.lost, l.lostChanged
}

// recordResult updates the state of the link by the result of a call.
func (l *Link) recordResult(kind string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if err != nil {
		l.failures++
		if !l.lost {
			l.lost, l.lostAt = true, now
			l.signalLostChanged()
			l.logger.Warn().Str("event", "store lost").Str("kind", kind).Err(err).Msg("the store does not answer")
		}
		return
	}
	l.failures, l.confirmedAt = 0, now
	if l.lost {
		l.lost, l.returnedAt = false, now
		l.signalLostChanged()
		l.logger.Info().Str("event", "store regained").Str("kind", kind).Dur("away", now.Sub(l.lostAt)).
			Msg("the store answers again")
	}
}

// signalLostChanged wakes those who wait for a change of lost. l.mu is held.
func (l *Link) signalLostChanged() {
	close(l.lostChanged)
	l.lostChanged = make(chan struct{})
}

// backoff returns the pause before the next call. Up to half of it is random, so
// that the instances do not call the store at the same time.
func (l *Link) backoff() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := maxBackoff
	if l.relayed {
		longest = maxRelayedBackoff
	}
	d := min(minBackoff<<min(max(l.failures-1, 0), 4), longest)
	return d/2 + rand.N(d/2)
}

// call runs f like callUnpaused, but waits first while calls are paused.
func (l *Link) call(ctx context.Context, kind string, f func(ctx context.Context) error) error {
	if err := l.awaitResume(ctx); err != nil {
		return err
	}
	return l.callUnpaused(ctx, kind, f)
}

// callUnpaused runs f, which calls the store. If the link is lost, it waits for the
// probe token and the backoff, and runs f with probeTimeout; if the link changes before
// it has the token, it returns errLinkChanged. If the link is not lost, it cancels f
// when another call finds the link lost, because an unresponsive store would hold f for
// its whole wait.
func (l *Link) callUnpaused(ctx context.Context, kind string, f func(ctx context.Context) error) error {
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
			l.recordResult(kind, nil)
			return err
		}
		if callCtx.Err() == nil {
			l.recordResult(kind, err)
		}
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return errLinkChanged
	case <-l.probeToken:
	}
	defer func() { l.probeToken <- struct{}{} }()
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
		l.recordResult(kind, nil)
		return err
	}
	l.recordResult(kind, err)
	return err
}

// sleep waits for d. It reports false if ctx ended first.
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

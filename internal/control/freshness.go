package control

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/singleflight"

	"github.com/baobabsill/baobabsill/internal/logs"
)

const (
	// freshFor is how old the last confirmation may be.
	freshFor = 2 * time.Second
	// refreshTimeout bounds how long a request waits for a refresh.
	refreshTimeout = 300 * time.Millisecond
	// retryRefresh is the interval of refreshes while the instance is cut off.
	retryRefresh = 500 * time.Millisecond
)

// Freshness is the gate of requests against a state that is too old. It is
// safe for concurrent use.
type Freshness struct {
	logger *log.Logger
	flight singleflight.Group

	mu          sync.Mutex
	refreshers  []func(ctx context.Context)
	confirmed   time.Time
	lastAttempt time.Time
	cutOff      bool
}

// NewFreshness returns a gate without any confirmation.
func NewFreshness(logger *log.Logger) *Freshness {
	return &Freshness{logger: logs.OrDiscard(logger)}
}

// OnRefresh adds a function that asks somebody to confirm the state; it calls
// Confirm on success and returns when ctx ends. It is called before Ensure.
func (f *Freshness) OnRefresh(refresh func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshers = append(f.refreshers, refresh)
}

// Confirm notes that the state was confirmed as of a time.
func (f *Freshness) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	if f.cutOff && time.Since(f.confirmed) <= freshFor {
		f.cutOff = false
		f.logger.Info().Msg("state is confirmed again")
	}
}

// Age returns the time since the last confirmation.
func (f *Freshness) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed)
}

// CutOff reports whether neither the platform nor a peer confirms the state,
// also while no request asks.
func (f *Freshness) CutOff() bool { return f.Age() > freshFor }

// Stale reports whether the state is too old and nobody was asked lately. It
// is true after a pause until Ensure ran, and false while the instance is known
// to be cut off and goes on with its last state.
func (f *Freshness) Stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return now.Sub(f.confirmed) > freshFor && !(f.cutOff && now.Sub(f.lastAttempt) <= freshFor)
}

// Ensure returns at once when the state is fresh. Otherwise it waits for one
// refresh that all requests share, and reports whether the instance is cut
// off. While the instance stays cut off, refreshes run in the background, so
// that only the first request after a pause or a cut waits.
func (f *Freshness) Ensure(ctx context.Context) (cutOff bool) {
	f.mu.Lock()
	now := time.Now()
	if now.Sub(f.confirmed) <= freshFor {
		f.mu.Unlock()
		return false
	}
	background := f.cutOff && now.Sub(f.lastAttempt) <= freshFor
	due := now.Sub(f.lastAttempt) >= retryRefresh
	f.mu.Unlock()
	if background && !due {
		return true
	}
	done := f.flight.DoChan("refresh", func() (any, error) {
		f.refresh()
		return nil, nil
	})
	if background {
		return true
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return f.Age() > freshFor
}

// refresh asks all sources and returns when the state is fresh or at the
// timeout.
func (f *Freshness) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	f.mu.Lock()
	f.lastAttempt = time.Now()
	refreshers := f.refreshers
	f.mu.Unlock()
	finished := make(chan struct{}, len(refreshers))
	for _, refresh := range refreshers {
		go func() {
			refresh(ctx)
			finished <- struct{}{}
		}()
	}
	for range refreshers {
		select {
		case <-finished:
		case <-ctx.Done():
		}
		if f.Age() <= freshFor {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cutOff && time.Since(f.confirmed) > freshFor {
		f.cutOff = true
		f.logger.Warn().Dur("age", time.Since(f.confirmed)).
			Str("reason", "neither the platform nor a peer confirmed the state").Msg("cut off")
	}
}

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
	// freshFor is the age of the last confirmation up to which the state is
	// fresh.
	freshFor = 2 * time.Second
	// refreshTimeout is the longest time that a request waits for a refresh.
	refreshTimeout = 300 * time.Millisecond
	// refreshRetryInterval is the interval of refreshes while the instance is
	// cut off and receives requests.
	refreshRetryInterval = 500 * time.Millisecond
)

// Freshness tracks when the platform, directly or through a peer, last
// confirmed the state of this instance, and has requests wait for a refresh
// when the state is stale. Its states are fresh, stale, and cut off: a refresh
// got no confirmation, and requests go on with the last state. It is safe for
// concurrent use.
type Freshness struct {
	logger       *log.Logger
	refreshGroup singleflight.Group

	mu          sync.Mutex
	refreshers  []func(ctx context.Context)
	confirmedAt time.Time
	lastRefresh time.Time
	cutOff      bool
}

// NewFreshness returns a Freshness without any confirmation.
func NewFreshness(logger *log.Logger) *Freshness {
	return &Freshness{logger: logs.OrDiscard(logger)}
}

// OnRefresh adds a source of confirmations, such as the platform. refresh asks
// it, calls Confirm on success and returns when ctx ends. All sources must be
// added before the first call of Ensure.
func (f *Freshness) OnRefresh(refresh func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshers = append(f.refreshers, refresh)
}

// Confirm records that the state was up to date at a point in time.
func (f *Freshness) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	if f.cutOff && time.Since(f.confirmedAt) <= freshFor {
		f.cutOff = false
		f.logger.Info().Msg("state is confirmed again")
	}
}

// Age returns the time since the last confirmation.
func (f *Freshness) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// CutOff reports whether neither the platform nor a peer has confirmed the
// state recently. Unlike the result of Ensure, it needs no request.
func (f *Freshness) CutOff() bool { return f.Age() > freshFor }

// NeedsRefresh reports whether the state is too old and a refresh is needed before
// using it. This is the case after a pause of the process until Ensure ran. It
// is false while the instance is known to be cut off and goes on with its last
// state.
func (f *Freshness) NeedsRefresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return now.Sub(f.confirmedAt) > freshFor && !(f.cutOff && now.Sub(f.lastRefresh) <= freshFor)
}

// Ensure returns at once when the state is fresh. Otherwise it waits for a
// refresh, which concurrent requests share, and reports whether the instance is
// cut off. While the instance stays cut off, refreshes run in the background,
// so that only the first request after a pause or a lost connection waits.
func (f *Freshness) Ensure(ctx context.Context) (cutOff bool) {
	f.mu.Lock()
	now := time.Now()
	if now.Sub(f.confirmedAt) <= freshFor {
		f.mu.Unlock()
		return false
	}
	inBackground := f.cutOff && now.Sub(f.lastRefresh) <= freshFor
	due := now.Sub(f.lastRefresh) >= refreshRetryInterval
	f.mu.Unlock()
	if inBackground && !due {
		return true
	}
	done := f.refreshGroup.DoChan("refresh", func() (any, error) {
		f.refresh()
		return nil, nil
	})
	if inBackground {
		return true
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return f.Age() > freshFor
}

// refresh asks all sources at the same time and returns as soon as the state is
// fresh, or after refreshTimeout. Without a confirmation, the instance becomes
// cut off.
func (f *Freshness) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	f.mu.Lock()
	f.lastRefresh = time.Now()
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
	if !f.cutOff && time.Since(f.confirmedAt) > freshFor {
		f.cutOff = true
		f.logger.Warn().Dur("age", time.Since(f.confirmedAt)).
			Str("reason", "neither the platform nor a peer confirmed the state").Msg("cut off")
	}
}

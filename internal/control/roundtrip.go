package control

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// roundTrips holds the smoothed round-trip times of heartbeats by instance name.
// Membership updates it; readers take no lock.
type roundTrips struct {
	mu      sync.Mutex
	current atomic.Pointer[map[string]time.Duration]
}

// observe moves the smoothed value by a quarter of the difference towards a new
// measurement.
func (r *roundTrips) observe(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(r.load())
	if next == nil {
		next = map[string]time.Duration{}
	}
	if old, ok := next[name]; ok {
		d = old + (d-old)/4
	}
	next[name] = d
	r.current.Store(&next)
}

// forget removes an instance that is no longer a member.
func (r *roundTrips) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(r.load())
	delete(next, name)
	r.current.Store(&next)
}

func (r *roundTrips) load() map[string]time.Duration {
	if m := r.current.Load(); m != nil {
		return *m
	}
	return nil
}

// RoundTrips returns the smoothed round-trip times of heartbeats by instance.
// The caller must not change the map.
func (m *Membership) RoundTrips() map[string]time.Duration { return m.roundTrips.load() }

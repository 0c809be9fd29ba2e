package replica

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Pool holds the Backend of each replica that the platform lists. It is safe for
// concurrent use.
type Pool struct {
	logger             *log.Logger
	newClient          NewClientFunc
	lastExchangeNumber atomic.Uint64
	// Latencies holds the usual latencies of exchanges.
	Latencies *Latencies

	mu       sync.RWMutex
	backends map[string]*Backend
	delisted map[string]standing // by replica ID; what to remember of replicas without a Backend
}

// NewPool returns an empty Pool whose backends send through clients that
// newClient returns.
func NewPool(logger *log.Logger, newClient NewClientFunc) *Pool {
	return &Pool{logger: logger, newClient: newClient, Latencies: NewLatencies(), backends: map[string]*Backend{}, delisted: map[string]standing{}}
}

// Backend returns the Backend of a replica and sets the limits of its
// connections. A later incarnation of the replica gets a new Backend, an earlier
// one gets that of the latest.
func (p *Pool) Backend(r catalog.Replica, connections ConnectionLimits) *Backend {
	p.mu.RLock()
	b := p.backends[r.ID]
	p.mu.RUnlock()
	if b == nil || b.startedAt < r.StartedAt {
		b = p.addOrReplace(r)
	}
	b.setConnections(connections)
	return b
}

func (p *Pool) addOrReplace(r catalog.Replica) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.backends[r.ID]
	if old != nil && old.startedAt >= r.StartedAt {
		return old
	}
	if old != nil {
		old.client.CloseIdle()
	}
	b := newBackend(p.logger, r, p.newClient(r.Address))
	if s, remembered := p.delisted[r.ID]; remembered && s.startedAt == r.StartedAt {
		b.restore(s)
	}
	delete(p.delisted, r.ID)
	p.backends[r.ID] = b
	return b
}

// NextExchangeNumber returns the number of the next exchange, unique in the Pool.
func (p *Pool) NextExchangeNumber() uint64 { return p.lastExchangeNumber.Add(1) }

// RemoveUnlisted removes the backends of replicas that are not in the snapshot.
func (p *Pool) RemoveUnlisted(snap *catalog.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for id, b := range p.backends {
		if _, listed := snap.Replica(id); !listed {
			b.client.CloseIdle()
			delete(p.backends, id)
			if s, relevant := b.standing(now); relevant {
				p.delisted[id] = s
			}
		}
	}
	maps.DeleteFunc(p.delisted, func(_ string, s standing) bool { return now.After(s.forgetAt) })
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		b.client.CloseIdle()
	}
}

// Report is the state of one Backend for operators. Slowness is its latency as a
// multiple of the expected one, Failures the share of failed exchanges; both are
// moving averages.
type Report struct {
	ID       string  `json:"replica"`
	Service  string  `json:"service"`
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	Ejected  bool    `json:"ejected"`
	// Leaving is set if the replica has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// PausedMS is how long the replica wants no more requests, in milliseconds.
	PausedMS int64 `json:"paused_ms,omitempty"`
	// RateLimit is nil if the replica has named no limit.
	RateLimit *RateLimitReport `json:"rate_limit,omitempty"`
}

// RateLimitReport is the rate limit of a replica. PerSecond holds for all instances
// together; Sent is the number of requests that this instance has sent since the limit
// is in force.
type RateLimitReport struct {
	PerSecond float64 `json:"per_second"`
	Sent      int     `json:"sent"`
}

// Reports returns the state of all backends, in no particular order.
func (p *Pool) Reports(now time.Time) []Report {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := make([]Report, 0, len(p.backends))
	for _, b := range p.backends {
		b.mu.Lock()
		list = append(list, b.report(now))
		b.mu.Unlock()
	}
	return list
}

// report returns the state of the Backend. b.mu is held.
func (b *Backend) report(now time.Time) Report {
	r := Report{
		ID: b.ID, Service: b.Service, InFlight: len(b.inFlight), Slowness: b.slowness, Failures: b.failureRate, Ejected: now.Before(b.ejectedUntil),
		Leaving: b.leaving, PausedMS: max(b.pausedUntil.Sub(now).Milliseconds(), 0),
	}
	if b.rateLimit.named {
		r.RateLimit = &RateLimitReport{PerSecond: b.rateLimit.perSecond, Sent: b.rateLimit.sent}
	}
	return r
}

package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Pool holds the Backend of each listed replica. It is safe for concurrent use.
type Pool struct {
	dial   Dialer
	number atomic.Uint64
	// Latencies are the usual latencies of exchanges.
	Latencies *Latencies

	mu       sync.RWMutex
	backends map[string]*Backend
}

// NewPool returns an empty Pool.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, Latencies: NewLatencies(), backends: map[string]*Backend{}}
}

// Backend returns the Backend of a replica; a later incarnation gets a new one.
func (p *Pool) Backend(r catalog.Replica, connections Connections) *Backend {
	p.mu.RLock()
	b := p.backends[r.ID]
	p.mu.RUnlock()
	if b == nil || b.born < r.Born {
		b = p.add(r)
	}
	b.setConnections(connections)
	return b
}

func (p *Pool) add(r catalog.Replica) *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.backends[r.ID]
	if old != nil && old.born >= r.Born {
		return old
	}
	if old != nil {
		old.client.DropIdle()
	}
	b := newBackend(r, p.dial(r.Address))
	p.backends[r.ID] = b
	return b
}

// Number returns a number for the next exchange.
func (p *Pool) Number() uint64 { return p.number.Add(1) }

// Retain removes the backends of replicas that are no longer listed.
func (p *Pool) Retain(snap *catalog.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, b := range p.backends {
		if _, listed := snap.Replica(id); !listed {
			b.client.DropIdle()
			delete(p.backends, id)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		b.client.DropIdle()
	}
}

// Report is what this daemon holds of one replica, for operators.
type Report struct {
	ID       string  `json:"replica"`
	Service  string  `json:"service"`
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	Ejected  bool    `json:"ejected"`
}

// Reports returns the state of all backends.
func (p *Pool) Reports(now time.Time) []Report {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := make([]Report, 0, len(p.backends))
	for _, b := range p.backends {
		b.mu.Lock()
		list = append(list, Report{b.ID, b.Service, len(b.outstanding), b.slowness, b.failures, now.Before(b.ejectedTill)})
		b.mu.Unlock()
	}
	return list
}

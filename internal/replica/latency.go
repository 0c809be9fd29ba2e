package replica

import (
	"sync"
	"time"
)

// LatencyClass is what the usual latency of an exchange depends on.
type LatencyClass struct {
	Route string
	Zone  string // of the replica
}

const (
	// latencyWeight is the weight of one sample of a class: about twenty samples
	// make up the present value.
	latencyWeight = 0.05
	// maxOutlier bounds a sample as a multiple of the usual latency, so that
	// paused and slow replicas do not pass for the usual.
	maxOutlier = 3
	// maxClasses bounds the memory for routes that came and went.
	maxClasses = 4096
)

// Latencies holds the usual latency of each class. It is safe for concurrent
// use.
type Latencies struct {
	mu      sync.RWMutex
	classes map[LatencyClass]*usual
}

type usual struct {
	mean, deviation float64 // seconds
}

// NewLatencies returns empty Latencies.
func NewLatencies() *Latencies { return &Latencies{classes: map[LatencyClass]*usual{}} }

// Usual returns the mean latency of a class and its mean deviation, and false
// if none was recorded.
func (l *Latencies) Usual(c LatencyClass) (mean, deviation time.Duration, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	u := l.classes[c]
	if u == nil {
		return 0, 0, false
	}
	return seconds(u.mean), seconds(u.deviation), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Record adds the latency of one complete exchange.
func (l *Latencies) Record(c LatencyClass, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := took.Seconds()
	u := l.classes[c]
	if u == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		l.classes[c] = &usual{mean: s, deviation: s / 2}
		return
	}
	s = min(s, maxOutlier*u.mean)
	u.deviation += latencyWeight * (max(s-u.mean, u.mean-s) - u.deviation)
	u.mean += latencyWeight * (s - u.mean)
}

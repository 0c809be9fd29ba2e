package replica

import (
	"sync"
	"time"
)

// LatencyClass groups exchanges that are expected to take equally long.
type LatencyClass struct {
	Route string
	Zone  string // of the replica
}

const (
	// latencyWeight is the weight of one sample in the moving averages, which
	// reflect about the last twenty samples.
	latencyWeight = 0.05
	// maxOutlierFactor caps a sample, as a multiple of the mean, so that paused
	// and slow replicas hardly raise the usual latency.
	maxOutlierFactor = 3
	// maxClasses bounds the memory, as the classes of removed routes stay. All
	// classes are forgotten when it is reached.
	maxClasses = 4096
)

// Latencies holds moving averages of the latency of each class. It is safe for
// concurrent use.
type Latencies struct {
	mu      sync.RWMutex
	classes map[LatencyClass]*latencyAverage
}

// latencyAverage holds the moving averages of one class, which start with its first
// sample.
type latencyAverage struct {
	mean, deviation float64 // seconds
}

// NewLatencies returns empty Latencies.
func NewLatencies() *Latencies { return &Latencies{classes: map[LatencyClass]*latencyAverage{}} }

// Usual returns the mean latency of a class and its mean deviation; ok is false
// if no exchange of the class was recorded.
func (l *Latencies) Usual(c LatencyClass) (mean, deviation time.Duration, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	avg := l.classes[c]
	if avg == nil {
		return 0, 0, false
	}
	return secondsToDuration(avg.mean), secondsToDuration(avg.deviation), true
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Record adds the latency of one complete exchange.
func (l *Latencies) Record(c LatencyClass, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := took.Seconds()
	avg := l.classes[c]
	if avg == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		l.classes[c] = &latencyAverage{mean: s, deviation: s / 2}
		return
	}
	s = min(s, maxOutlierFactor*avg.mean)
	avg.deviation += latencyWeight * (max(s-avg.mean, avg.mean-s) - avg.deviation)
	avg.mean += latencyWeight * (s - avg.mean)
}

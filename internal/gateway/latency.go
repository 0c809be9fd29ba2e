package gateway

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	windowCount  = 8
	windowLength = 2 * time.Second
	// Eight buckets for each power of two keep the error of a quantile below 13%.
	bucketsPerOctave = 8
	bucketCount      = 28 * bucketsPerOctave
	// quantileCacheTime is how long a computed quantile is used.
	quantileCacheTime = 50 * time.Millisecond
	// hedgePercentile is the percentile of the latency after which a sub-request
	// is hedged. 3 in 100 sub-requests are slower; the retry budget gains 4 tokens
	// per 100, which is enough to hedge all of them.
	hedgePercentile = 97
	// minSamples is the number of samples below which no quantile is given.
	minSamples = 50
	// minServiceSamples replaces minSamples for a single service, which can fall
	// back on the quantile of all searches. With only 50 samples, three
	// stragglers would raise the quantile to their own latency.
	minServiceSamples = 200
)

// Latency is a histogram of the latencies of the last 16 s, kept as a ring of
// windows. Record and Quantile are lock-free. A sample that arrives while its
// window is being cleared for reuse may be lost.
type Latency struct {
	minSamples   uint64 // zero means the constant minSamples
	windows      [windowCount]latencyWindow
	cachedMicros atomic.Int64 // microseconds, -1 for too few samples
	cachedUntil  atomic.Int64 // Unix nanoseconds
}

type latencyWindow struct {
	number atomic.Int64
	counts [bucketCount]atomic.Uint32
}

func bucketOf(micros int64) int {
	if micros < bucketsPerOctave {
		return int(max(micros, 0))
	}
	exp := bits.Len64(uint64(micros)) - 4
	return min((exp+1)*bucketsPerOctave+int(micros>>exp)-bucketsPerOctave, bucketCount-1)
}

// bucketUpperBound returns the first value in microseconds above the bucket.
func bucketUpperBound(b int) int64 {
	if b < bucketsPerOctave {
		return int64(b) + 1
	}
	exp := b/bucketsPerOctave - 1
	return int64(b%bucketsPerOctave+bucketsPerOctave+1) << exp
}

// Record adds one latency.
func (l *Latency) Record(now time.Time, d time.Duration) {
	number := now.UnixNano() / int64(windowLength)
	w := &l.windows[number%windowCount]
	if old := w.number.Load(); old != number && w.number.CompareAndSwap(old, number) {
		for i := range w.counts {
			w.counts[i].Store(0)
		}
	}
	w.counts[bucketOf(d.Microseconds())].Add(1)
}

// Quantile returns the latency at hedgePercentile, or false if there are too few
// samples. The value is computed at most once per quantileCacheTime.
func (l *Latency) Quantile(now time.Time) (time.Duration, bool) {
	nano := now.UnixNano()
	if cachedUntil := l.cachedUntil.Load(); cachedUntil <= nano && l.cachedUntil.CompareAndSwap(cachedUntil, nano+int64(quantileCacheTime)) {
		l.cachedMicros.Store(l.quantile(nano/int64(windowLength), hedgePercentile))
	}
	micros := l.cachedMicros.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}

// quantile computes a percentile in microseconds over the windows that end with
// the given one, or -1 if there are too few samples.
func (l *Latency) quantile(latest int64, percent uint64) int64 {
	var sums [bucketCount]uint64
	var total uint64
	for i := range l.windows {
		w := &l.windows[i]
		if n := w.number.Load(); n > latest || n <= latest-windowCount {
			continue
		}
		for b := range w.counts {
			n := uint64(w.counts[b].Load())
			sums[b] += n
			total += n
		}
	}
	if total < max(l.minSamples, minSamples) {
		return -1
	}
	rank := (total*percent + 99) / 100
	for b, n := range sums {
		if rank <= n {
			return bucketUpperBound(b)
		}
		rank -= n
	}
	return bucketUpperBound(bucketCount - 1)
}

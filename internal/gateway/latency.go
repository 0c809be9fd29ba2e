package gateway

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	latencyWindows = 8
	windowLength   = 2 * time.Second
	// Eight buckets for each power of two keep the error of a quantile below 13%.
	subBuckets   = 8
	bucketCount  = 28 * subBuckets
	quantileLife = 50 * time.Millisecond
	// hedgePercent leaves 3 in 100 sub-requests to be hedged. The budget gives
	// 4 tokens for 100, so it lasts for all of them.
	hedgePercent = 97
	// minSamples is the number of samples below which no quantile is given.
	minSamples = 50
	// minServiceSamples is minSamples for one service, which has the quantile of
	// all services to fall back on. With 50 samples, three stragglers would put
	// the quantile among them.
	minServiceSamples = 200
)

// Latency is a histogram of the latencies of the last 16 s. Record and
// Quantile are lock-free. A sample that arrives while its window is being recycled may
// be lost.
type Latency struct {
	minSamples uint64 // zero means the constant minSamples
	windows    [latencyWindows]latencyWindow
	cached     atomic.Int64 // microseconds, -1 for too few samples
	until      atomic.Int64 // Unix nanoseconds
}

type latencyWindow struct {
	epoch  atomic.Int64
	counts [bucketCount]atomic.Uint32
}

func bucketOf(micros int64) int {
	if micros < subBuckets {
		return int(max(micros, 0))
	}
	exp := bits.Len64(uint64(micros)) - 4
	return min((exp+1)*subBuckets+int(micros>>exp)-subBuckets, bucketCount-1)
}

// bucketTop returns the first value in microseconds above the bucket.
func bucketTop(b int) int64 {
	if b < subBuckets {
		return int64(b) + 1
	}
	exp := b/subBuckets - 1
	return int64(b%subBuckets+subBuckets+1) << exp
}

// Record adds one latency.
func (l *Latency) Record(now time.Time, d time.Duration) {
	epoch := now.UnixNano() / int64(windowLength)
	w := &l.windows[epoch%latencyWindows]
	if old := w.epoch.Load(); old != epoch && w.epoch.CompareAndSwap(old, epoch) {
		for i := range w.counts {
			w.counts[i].Store(0)
		}
	}
	w.counts[bucketOf(d.Microseconds())].Add(1)
}

// Quantile returns the percentile of hedgePercent, and false while there are
// too few samples.
// The value is computed at most once in 50 ms.
func (l *Latency) Quantile(now time.Time) (time.Duration, bool) {
	nano := now.UnixNano()
	if until := l.until.Load(); until <= nano && l.until.CompareAndSwap(until, nano+int64(quantileLife)) {
		l.cached.Store(l.quantile(nano/int64(windowLength), hedgePercent))
	}
	micros := l.cached.Load()
	return time.Duration(micros) * time.Microsecond, micros > 0
}

func (l *Latency) quantile(epoch int64, percent uint64) int64 {
	var sums [bucketCount]uint64
	var total uint64
	for i := range l.windows {
		w := &l.windows[i]
		if e := w.epoch.Load(); e > epoch || e <= epoch-latencyWindows {
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
			return bucketTop(b)
		}
		rank -= n
	}
	return bucketTop(bucketCount - 1)
}

package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabsill/baobabsill/declare"
)

// Load is an open-loop stream of searches: it sends at random intervals, whether
// or not earlier searches were answered.
type Load struct {
	Search   declare.Search
	Rate     float64 // mean number of arrivals per second
	Duration time.Duration
	Deadline time.Duration
	// MaxInFlight bounds the searches in flight, by default 1,000. Arrivals above
	// it are counted as OutcomeNotSent and not sent.
	MaxInFlight int
	// ItemsPerShard is the number of items that each shard finds.
	ItemsPerShard int
	// Shards gives the number of shards by index snapshot, for the snapshots
	// that do not have one shard per service.
	Shards map[string]int
	Seed   uint64
}

// OutcomeNotSent is the outcome of an arrival above Load.MaxInFlight.
const OutcomeNotSent = "not-sent"

// Result is what the callers of a load saw. Latencies are in microseconds from
// the planned arrival, so that the delay of a stalled system counts in full even
// if it holds up the sending.
type Result struct {
	Name string
	// AnsweredLatency is that of the answered searches, AllLatency that of every
	// search sent.
	AnsweredLatency, AllLatency *hdrhistogram.Histogram
	Arrivals                    int            // arrivals, including those of OutcomeNotSent
	Outcomes                    map[string]int // by outcome
	Refusals                    map[string]int // by outcome and reason
	Snapshots                   map[string]int // of answered searches
	Full                        int            // answered searches with full coverage
	Partial                     int            // answered searches with less
	// ShardCount sums the shards of the answered searches, including missing ones.
	ShardCount int
	Faults     Faults
}

// Faults counts the answers that break an invariant. Examples describes the
// first of them.
type Faults struct {
	MixedSnapshots int // items of another snapshot than the stated one
	WrongCoverage  int // the stated coverage differs from that of the items
	Incomplete     int // an answer of a complete search without full coverage
	WrongItems     int // items of another request, or too few or too many items of a shard
	Examples       []string
}

func (f *Faults) record(counter *int, format string, args ...any) {
	*counter++
	if len(f.Examples) < 5 {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// Add adds the counts and examples of o.
func (f *Faults) Add(o Faults) {
	f.MixedSnapshots += o.MixedSnapshots
	f.WrongCoverage += o.WrongCoverage
	f.Incomplete += o.Incomplete
	f.WrongItems += o.WrongItems
	f.Examples = append(f.Examples, o.Examples...)
}

// NewHistogram returns a histogram of microseconds up to one minute.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Run sends the searches and waits for all answers.
func (l Load) Run(ctx context.Context, name string, b *Balancer) *Result {
	res := &Result{Name: name, AnsweredLatency: NewHistogram(), AllLatency: NewHistogram(), Outcomes: map[string]int{},
		Refusals: map[string]int{}, Snapshots: map[string]int{}}
	rng := rand.New(rand.NewPCG(l.Seed, 0x10ad))
	limit := l.MaxInFlight
	if limit <= 0 {
		limit = 1000
	}
	inFlight := make(chan struct{}, limit)
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	end := begin.Add(l.Duration)
	for planned := begin; ctx.Err() == nil; {
		planned = planned.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if planned.After(end) {
			break
		}
		time.Sleep(time.Until(planned))
		res.Arrivals++
		query := fmt.Sprintf("%s-%d-%d", name, l.Seed, res.Arrivals)
		select {
		case inFlight <- struct{}{}:
		default:
			mu.Lock()
			res.Outcomes[OutcomeNotSent]++
			mu.Unlock()
			continue
		}
		arrival := planned
		wg.Go(func() {
			r := b.Search(ctx, l.Search.Name, query, l.Deadline)
			latency := time.Since(arrival)
			<-inFlight
			mu.Lock()
			defer mu.Unlock()
			res.recordReply(l, query, r, latency)
		})
	}
	wg.Wait()
	return res
}

func (res *Result) recordReply(l Load, query string, r Reply, latency time.Duration) {
	// The histogram refuses only values above one minute, which do not occur:
	// the client's timeout is 15 s.
	_ = res.AllLatency.RecordValue(max(1, latency.Microseconds()))
	res.Outcomes[r.Outcome]++
	if r.Outcome != "answered" {
		detail := r.Reason
		if r.Outcome == OutcomeBroken {
			detail = r.Message
		}
		res.Refusals[r.Outcome+" "+detail]++
		return
	}
	_ = res.AnsweredLatency.RecordValue(max(1, latency.Microseconds()))
	res.Snapshots[r.Snapshot]++
	res.ShardCount += r.Coverage.Total
	if r.Coverage.Answered == r.Coverage.Total {
		res.Full++
	} else {
		res.Partial++
	}
	s := l.Search
	if n := l.Shards[r.Snapshot]; n > 0 {
		s.Services = make([]string, n)
	}
	res.Faults.CheckAnswer(s, l.ItemsPerShard, query, r)
}

// CheckAnswer compares an answer with what the target stand-ins send: itemsPerShard
// items from each shard, each of which names its snapshot, shard and query.
func (f *Faults) CheckAnswer(s declare.Search, itemsPerShard int, query string, r Reply) {
	shards := map[string]int{}
	seen := map[string]bool{}
	mixed, foreign := false, false
	for _, item := range r.Items {
		mixed = mixed || item.Snapshot != r.Snapshot
		foreign = foreign || item.Query != query || seen[item.ID]
		seen[item.ID] = true
		shards[item.Shard]++
	}
	for _, n := range shards {
		foreign = foreign || n != itemsPerShard
	}
	if mixed {
		f.record(&f.MixedSnapshots, "%s %s: items of several snapshots", s.Name, r.RequestID)
	}
	if foreign {
		f.record(&f.WrongItems, "%s %s: items of another request, or not all items of a shard", s.Name, r.RequestID)
	}
	if r.Coverage.Total != len(s.Services) || r.Coverage.Answered != len(shards) {
		f.record(&f.WrongCoverage, "%s %s: states %d of %d shards, items of %d of %d", s.Name, r.RequestID,
			r.Coverage.Answered, r.Coverage.Total, len(shards), len(s.Services))
	}
	if s.Class == declare.ClassComplete && len(shards) != len(s.Services) {
		f.record(&f.Incomplete, "%s %s: complete search answered with %d of %d shards", s.Name, r.RequestID, len(shards), len(s.Services))
	}
}

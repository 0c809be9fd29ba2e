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

// Load is an open-loop stream of searches.
type Load struct {
	Search   declare.Search
	Rate     float64 // arrivals per second
	Duration time.Duration
	Deadline time.Duration
	// MaxInFlight bounds the requests at once, by default 1,000. Arrivals above
	// it are counted as OutcomeNotSent and not sent.
	MaxInFlight int
	// ItemsPerShard is what each shard finds.
	ItemsPerShard int
	// Shards gives the number of shards by index snapshot, for those that do
	// not have one shard per service.
	Shards map[string]int
	Seed   uint64
}

// OutcomeNotSent is an arrival above Load.MaxInFlight.
const OutcomeNotSent = "not-sent"

// Result is what callers saw. Latencies are in microseconds from the planned
// arrival, so that a stalled system does not hide its delay by slowing the load.
type Result struct {
	Name string
	// Latency is that of answered searches, All that of every search.
	Latency, All *hdrhistogram.Histogram
	Sent         int
	Outcomes     map[string]int // by outcome
	Refusals     map[string]int // by outcome and reason
	Snapshots    map[string]int // of answered searches
	Full         int            // answered searches with full coverage
	Partial      int
	// ShardAnswers is the number of shards of answered searches.
	ShardAnswers int
	Faults       Faults
}

// Faults counts answers that break an invariant. Examples has the first ones.
type Faults struct {
	Mixed      int // items of several snapshots
	Coverage   int // the stated coverage is not that of the items
	Incomplete int // an answer of a complete search without full coverage
	Foreign    int // items of another request, or too few or too many of them
	Examples   []string
}

func (f *Faults) add(counter *int, format string, args ...any) {
	*counter++
	if len(f.Examples) < 5 {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// Add sums the counts.
func (f *Faults) Add(o Faults) {
	f.Mixed += o.Mixed
	f.Coverage += o.Coverage
	f.Incomplete += o.Incomplete
	f.Foreign += o.Foreign
	f.Examples = append(f.Examples, o.Examples...)
}

// NewHistogram returns a histogram of microseconds up to one minute.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Run sends the load and waits for all answers.
func (l Load) Run(ctx context.Context, name string, b *Balancer) *Result {
	res := &Result{Name: name, Latency: NewHistogram(), All: NewHistogram(), Outcomes: map[string]int{},
		Refusals: map[string]int{}, Snapshots: map[string]int{}}
	rng := rand.New(rand.NewPCG(l.Seed, 0x10ad))
	limit := l.MaxInFlight
	if limit <= 0 {
		limit = 1000
	}
	places := make(chan struct{}, limit)
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
		res.Sent++
		query := fmt.Sprintf("%s-%d-%d", name, l.Seed, res.Sent)
		select {
		case places <- struct{}{}:
		default:
			mu.Lock()
			res.Outcomes[OutcomeNotSent]++
			mu.Unlock()
			continue
		}
		at := planned
		wg.Go(func() {
			r := b.Search(ctx, l.Search.Name, query, l.Deadline)
			took := time.Since(at)
			<-places
			mu.Lock()
			defer mu.Unlock()
			res.note(l, query, r, took)
		})
	}
	wg.Wait()
	return res
}

func (res *Result) note(l Load, query string, r Reply, took time.Duration) {
	// The histogram cannot refuse a value: the client gives up after 15 s.
	_ = res.All.RecordValue(max(1, took.Microseconds()))
	res.Outcomes[r.Outcome]++
	if r.Outcome != "answered" {
		detail := r.Reason
		if r.Outcome == OutcomeBroken {
			detail = r.Message
		}
		res.Refusals[r.Outcome+" "+detail]++
		return
	}
	_ = res.Latency.RecordValue(max(1, took.Microseconds()))
	res.Snapshots[r.Snapshot]++
	res.ShardAnswers += r.Coverage.Total
	if r.Coverage.Answered == r.Coverage.Total {
		res.Full++
	} else {
		res.Partial++
	}
	s := l.Search
	if n := l.Shards[r.Snapshot]; n > 0 {
		s.Services = make([]string, n)
	}
	res.Faults.Check(s, l.ItemsPerShard, query, r)
}

// Check compares an answer with what the stand-ins hold: each shard finds the
// same number of items, and each item names its snapshot, shard and query.
func (f *Faults) Check(s declare.Search, itemsPerShard int, query string, r Reply) {
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
		f.add(&f.Mixed, "%s %s: items of several snapshots", s.Name, r.RequestID)
	}
	if foreign {
		f.add(&f.Foreign, "%s %s: items of another request, or not all items of a shard", s.Name, r.RequestID)
	}
	if r.Coverage.Total != len(s.Services) || r.Coverage.Answered != len(shards) {
		f.add(&f.Coverage, "%s %s: states %d of %d shards, items of %d of %d", s.Name, r.RequestID,
			r.Coverage.Answered, r.Coverage.Total, len(shards), len(s.Services))
	}
	if s.Class == declare.ClassComplete && len(shards) != len(s.Services) {
		f.add(&f.Incomplete, "%s %s: complete search answered with %d of %d shards", s.Name, r.RequestID, len(shards), len(s.Services))
	}
}

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
)

const (
	// With 100 ms the targets and not the processors of the machine limit the
	// load, also at five times the capacity.
	overloadServiceMS = 100
	overloadShards    = 20
	// settle is the start of a step that does not count, in which queues fill.
	settle = 2 * time.Second

	critical, browse, operation = "bench-critical", "bench-browse", "bench-run"
)

// overloadMix is the share of the arrivals.
var overloadMix = map[string]float64{critical: 0.2, browse: 0.7, operation: 0.1}

// sharing adds a critical and a browse search over the same services, and an
// operation on one of them, so that they compete for the same targets.
func sharing(doc declare.Document) declare.Document {
	services := doc.Searches[0].Services
	for _, s := range doc.Searches {
		if len(s.Services) > len(services) {
			services = s.Services
		}
	}
	services = services[:overloadShards]
	doc.Searches = append(slices.Clone(doc.Searches),
		declare.Search{Name: critical, Class: declare.ClassComplete, Priority: declare.PriorityCritical, Services: services},
		declare.Search{Name: browse, Class: declare.ClassPartial, Priority: declare.PriorityBrowse, Services: services})
	doc.Operations = append(slices.Clone(doc.Operations), declare.Operation{Name: operation, Services: services[:1]})
	return doc
}

// step is what one rate of arrivals led to.
type step struct {
	rate    float64
	events  map[string][]bench.Event
	goodput float64 // answered sub-requests per second
	cpu     time.Duration
	extra   float64 // hedges and retries per first attempt
}

// overload finds the rate with the most goodput, and then sends 2 and 5 times
// that rate.
func overload(ctx context.Context, r *run) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Document = sharing(t.Document)
	t.Behaviour = targets(overloadServiceMS, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	service := rig.Service(rig.Search(critical).Services[0])
	// Each search takes one slot of one replica of each shard.
	ideal := float64(service.Replicas*service.Slots) * 1000 / overloadServiceMS
	if _, err := r.overloadStep(ctx, rig, "warm-up", 0.4*ideal); err != nil {
		return err
	}
	var low, peak step
	for _, share := range []float64{0.5, 0.7, 0.85, 1, 1.2} {
		s, err := r.overloadStep(ctx, rig, fmt.Sprintf("%.2f × slots", share), share*ideal)
		if err != nil {
			return err
		}
		if low.rate == 0 {
			low = s
		}
		if s.goodput > peak.goodput {
			peak = s
		}
	}
	capacity := peak.rate
	for _, factor := range []float64{2, 5} {
		name := fmt.Sprintf("%v × capacity", factor)
		s, err := r.overloadStep(ctx, rig, name, factor*capacity)
		if err != nil {
			return err
		}
		r.compareOverload(name, s, low, peak)
		// The peak is that of all steps, also if a step above the capacity has it.
		peak.goodput = max(peak.goodput, s.goodput)
	}
	return nil
}

// overloadStep runs the mix at a rate.
func (r *run) overloadStep(ctx context.Context, rig *bench.Rig, name string, rate float64) (step, error) {
	s := step{rate: rate, events: map[string][]bench.Event{}}
	d := settle + r.Phase
	usage, err := bench.UsageOf(rig.Pids())
	if err != nil {
		return s, err
	}
	counters, err := bench.Counters(ctx, rig.Instances)
	if err != nil {
		return s, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, kind := range []string{critical, browse, operation} {
		wg.Go(func() {
			events := bench.OpenLoop(ctx, rate*overloadMix[kind], d, uint64(100+i), 1500, func(n int) harness.Reply {
				if kind == operation {
					return rig.Balancer.Execute(ctx, operation, fmt.Sprintf("%s-%d-%d", r.deployment, int(10*rate), n), bench.Deadline)
				}
				return rig.Balancer.Search(ctx, kind, fmt.Sprint(n), bench.Deadline)
			})
			mu.Lock()
			s.events[kind] = events
			mu.Unlock()
		})
	}
	wg.Wait()
	used, err := bench.UsageOf(rig.Pids())
	if err != nil {
		return s, err
	}
	s.cpu = used.Since(usage).CPU
	units := 0
	for kind, events := range s.events {
		for _, e := range events {
			if e.Outcome != "answered" || e.Ended < settle || e.Ended > d {
				continue
			}
			if kind == operation {
				units++
			} else {
				units += e.Answered
			}
		}
	}
	s.goodput = float64(units) / r.Phase.Seconds()
	time.Sleep(publishing)
	after, err := bench.Counters(ctx, rig.Instances)
	if err != nil {
		return s, err
	}
	if first := after["first"] - counters["first"]; first > 0 {
		s.extra = (after["hedge"] + after["retry"] - counters["hedge"] - counters["retry"]) / first
	}
	r.Report.Print("  %-16s %6.1f arrivals/s, goodput %6.0f sub-requests/s, answered: critical %5.1f%%, operations %5.1f%%, browse %5.1f%%; extra %.2f%%, %.2f cores",
		name, rate, s.goodput, 100*s.answered(critical), 100*s.answered(operation), 100*s.answered(browse), 100*s.extra, s.cpu.Seconds()/d.Seconds())
	for _, kind := range []string{critical, browse, operation} {
		r.Report.Print("      %-15s %s", kind, bench.Counts(bench.Tally(s.events[kind])))
	}
	return s, ctx.Err()
}

// answered returns the share of answered requests; a partial answer counts
// with its coverage.
func (s step) answered(kind string) float64 {
	sum, n := 0.0, 0
	for _, e := range s.events[kind] {
		n++
		switch {
		case e.Outcome != "answered":
		case e.Shards > 0:
			sum += float64(e.Answered) / float64(e.Shards)
		default:
			sum++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func isRefused(e bench.Event) bool {
	return e.Outcome == "refused-not-run" || e.Outcome == "refused-incomplete"
}

func (s step) all() []bench.Event {
	return slices.Concat(s.events[critical], s.events[browse], s.events[operation])
}

func (r *run) compareOverload(name string, s, low, peak step) {
	r.add(name+": goodput", s.goodput, "/s", peak.goodput, "peak goodput", bench.AtLeast(0.9), "answered sub-requests")
	r.add(name+": critical searches answered", 100*s.answered(critical), "%", 100*s.answered(browse), "browse answered", bench.AtLeast(1), "at least as many")
	r.add(name+": operations answered", 100*s.answered(operation), "%", 100*s.answered(browse), "browse answered", bench.AtLeast(1), "at least as many")
	r.add(name+": critical searches answered", 100*s.answered(critical), "%", 100*peak.answered(critical), "at the peak", bench.Bound{}, "")
	refused := bench.Times(s.all(), isRefused)
	answered := bench.Times(low.all(), func(e bench.Event) bool { return e.Outcome == "answered" })
	note := fmt.Sprintf("%d refusals; 6 ms are delay to the clients", len(refused))
	r.add(name+": time of a refusal, p50", bench.At(refused, 0.5), "ms", bench.At(answered, 0.5), "an answer at half load", bench.Bound{}, note)
	r.add(name+": time of a refusal, p99", bench.At(refused, 0.99), "ms", bench.At(answered, 0.99), "an answer at half load", bench.Bound{}, note)
	// What the requests above the peak cost, all refused or failed.
	more := len(s.all()) - len(peak.all())
	if more > 0 {
		perRequest := low.cpu.Seconds() * 1000 / float64(len(low.all()))
		r.add(name+": processor time per request above the peak", (s.cpu-peak.cpu).Seconds()*1000/float64(more), "ms",
			perRequest, "a request at half load", bench.Bound{}, "all instances")
	}
	r.add(name+": requests per first attempt", 1+s.extra, "", 1, "first attempts", bench.AtMost(1.05), "hedges and retries")
}

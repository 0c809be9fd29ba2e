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
	// overloadServiceMS is the median service time. With 100 ms, the targets limit the
	// load and not the processors of the machine, even at five times the capacity.
	overloadServiceMS = 100
	overloadShards    = 20 // of each search
	// settleTime is the first part of a step, in which queues fill. It does not count.
	settleTime = 2 * time.Second

	criticalSearch, browseSearch, operationName = "bench-critical", "bench-browse", "bench-run"
)

// overloadMix is the share of each kind of request among the arrivals.
var overloadMix = map[string]float64{criticalSearch: 0.2, browseSearch: 0.7, operationName: 0.1}

// addCompetingRequests returns the document with a critical and a browse search over
// the same services and an operation on one of them, so that they compete for targets.
func addCompetingRequests(doc declare.Document) declare.Document {
	services := doc.Searches[0].Services
	for _, s := range doc.Searches {
		if len(s.Services) > len(services) {
			services = s.Services
		}
	}
	services = services[:overloadShards]
	doc.Searches = append(slices.Clone(doc.Searches),
		declare.Search{Name: criticalSearch, Class: declare.ClassComplete, Priority: declare.PriorityCritical, Services: services},
		declare.Search{Name: browseSearch, Class: declare.ClassPartial, Priority: declare.PriorityBrowse, Services: services})
	doc.Operations = append(slices.Clone(doc.Operations), declare.Operation{Name: operationName, Services: services[:1]})
	return doc
}

// overloadResult is the result of a step, which runs the mix at one rate.
type overloadResult struct {
	rate    float64                  // arrivals per second
	events  map[string][]bench.Event // by kind of request
	goodput float64                  // answered sub-requests per second
	cpu     time.Duration            // of all instances
	extra   float64                  // hedges and retries per first attempt
}

// measureOverload searches for the rate with the highest goodput, which it takes for the
// capacity, and then sends 2 and 5 times that rate.
func measureOverload(ctx context.Context, r *scenarioRun) error {
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Document = addCompetingRequests(t.Document)
	t.Behaviour = targetBehaviour(overloadServiceMS, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	service := rig.Service(rig.Search(criticalSearch).Services[0])
	// Each search takes one slot of one replica of each shard.
	slotRate := float64(service.Replicas*service.Slots) * 1000 / overloadServiceMS
	if _, err := r.runOverloadStep(ctx, rig, "warm-up", 0.4*slotRate); err != nil {
		return err
	}
	var low, peak overloadResult
	for _, share := range []float64{0.5, 0.7, 0.85, 1, 1.2} {
		s, err := r.runOverloadStep(ctx, rig, fmt.Sprintf("%.2f × slots", share), share*slotRate)
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
		s, err := r.runOverloadStep(ctx, rig, name, factor*capacity)
		if err != nil {
			return err
		}
		r.compareOverload(name, s, low, peak)
		// A step above the capacity may have more goodput and then sets the peak.
		peak.goodput = max(peak.goodput, s.goodput)
	}
	return nil
}

// runOverloadStep runs the mix at a rate in arrivals per second.
func (r *scenarioRun) runOverloadStep(ctx context.Context, rig *bench.Rig, name string, rate float64) (overloadResult, error) {
	s := overloadResult{rate: rate, events: map[string][]bench.Event{}}
	d := settleTime + r.PhaseDuration
	usage, err := bench.UsageOf(rig.Pids())
	if err != nil {
		return s, err
	}
	counters, err := bench.GatewayCounters(ctx, rig.Instances)
	if err != nil {
		return s, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, kind := range []string{criticalSearch, browseSearch, operationName} {
		wg.Go(func() {
			events := bench.OpenLoop(ctx, rate*overloadMix[kind], d, uint64(100+i), 1500, func(n int) harness.Reply {
				if kind == operationName {
					return rig.Balancer.Execute(ctx, operationName, fmt.Sprintf("%s-%d-%d", r.deployment, int(10*rate), n), bench.Timeout)
				}
				return rig.Balancer.Search(ctx, kind, fmt.Sprint(n), bench.Timeout)
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
			if e.Outcome != "answered" || e.Ended < settleTime || e.Ended > d {
				continue
			}
			if kind == operationName {
				units++
			} else {
				units += e.Answered
			}
		}
	}
	s.goodput = float64(units) / r.PhaseDuration.Seconds()
	time.Sleep(counterPublishWait)
	after, err := bench.GatewayCounters(ctx, rig.Instances)
	if err != nil {
		return s, err
	}
	if first := after["first"] - counters["first"]; first > 0 {
		s.extra = (after["hedge"] + after["retry"] - counters["hedge"] - counters["retry"]) / first
	}
	r.Report.Printf("  %-16s %6.1f arrivals/s, goodput %6.0f sub-requests/s, answered: critical %5.1f%%, operations %5.1f%%, browse %5.1f%%; extra %.2f%%, %.2f cores",
		name, rate, s.goodput, 100*s.answeredShare(criticalSearch), 100*s.answeredShare(operationName), 100*s.answeredShare(browseSearch), 100*s.extra, s.cpu.Seconds()/d.Seconds())
	for _, kind := range []string{criticalSearch, browseSearch, operationName} {
		r.Report.Printf("      %-15s %s", kind, bench.FormatCounts(bench.CountOutcomes(s.events[kind])))
	}
	return s, ctx.Err()
}

// answeredShare returns the share of answered requests of a kind. A partial answer
// counts in proportion to its coverage.
func (s overloadResult) answeredShare(kind string) float64 {
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

func (s overloadResult) all() []bench.Event {
	return slices.Concat(s.events[criticalSearch], s.events[browseSearch], s.events[operationName])
}

func (r *scenarioRun) compareOverload(name string, s, low, peak overloadResult) {
	r.addRow(name+": goodput", s.goodput, "/s", peak.goodput, "peak goodput", bench.AtLeast(0.9), "answered sub-requests")
	r.addRow(name+": critical searches answered", 100*s.answeredShare(criticalSearch), "%", 100*s.answeredShare(browseSearch), "browse answered", bench.AtLeast(1), "at least as many")
	r.addRow(name+": operations answered", 100*s.answeredShare(operationName), "%", 100*s.answeredShare(browseSearch), "browse answered", bench.AtLeast(1), "at least as many")
	r.addRow(name+": critical searches answered", 100*s.answeredShare(criticalSearch), "%", 100*peak.answeredShare(criticalSearch), "at the peak", bench.Bound{}, "")
	refused := bench.SortedLatencies(s.all(), isRefused)
	answered := bench.SortedLatencies(low.all(), func(e bench.Event) bool { return e.Outcome == "answered" })
	note := fmt.Sprintf("%d refusals; 6 ms are delay to the clients", len(refused))
	r.addRow(name+": time of a refusal, p50", bench.QuantileOfSorted(refused, 0.5), "ms", bench.QuantileOfSorted(answered, 0.5), "an answer at half load", bench.Bound{}, note)
	r.addRow(name+": time of a refusal, p99", bench.QuantileOfSorted(refused, 0.99), "ms", bench.QuantileOfSorted(answered, 0.99), "an answer at half load", bench.Bound{}, note)
	// The cost of the requests above the peak, all of which are refused or fail.
	abovePeak := len(s.all()) - len(peak.all())
	if abovePeak > 0 {
		perRequest := low.cpu.Seconds() * 1000 / float64(len(low.all()))
		r.addRow(name+": processor time per request above the peak", (s.cpu-peak.cpu).Seconds()*1000/float64(abovePeak), "ms",
			perRequest, "a request at half load", bench.Bound{}, "all instances")
	}
	r.addRow(name+": requests per first attempt", 1+s.extra, "", 1, "first attempts", bench.AtMost(1.05), "hedges and retries")
}

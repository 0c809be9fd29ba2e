package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/bench"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	costRate = 20 // searches per second over all shards
	// targetPauseMS is how long all targets pause, so that queries stay in flight.
	targetPauseMS = 4000
)

// measureCost measures processor time, allocations, connections and memory of the
// instances by number of shards, targets, instances and queries in flight.
func measureCost(ctx context.Context, r *scenarioRun) error {
	if err := r.measureAllocations(ctx); err != nil {
		return err
	}
	var shards, cpu, resident []float64
	var perRequest float64
	for _, n := range []int{10, 25, 50} {
		p, err := r.measureCostAt(ctx, n, []int{3, 3, 2}, nil)
		if err != nil {
			return fmt.Errorf("%d shards: %w", n, err)
		}
		shards = append(shards, float64(n))
		cpu = append(cpu, p.cpuPerSearch)
		resident = append(resident, p.resident/1e6)
		perRequest = p.cpuPerRequest
	}
	f := r.Report.AddFit(r.scenario, "processor time per search, n shards", "ms", shards, cpu)
	r.addRow("processor time per target request, slope", f.Slope*1000, "µs", perRequest*1000, "whole time per request", bench.Bound{}, "all instances, idle work in the baseline")
	targets := make([]float64, len(shards))
	for i, n := range shards {
		targets[i] = 2 * n
	}
	f = r.Report.AddFit(r.scenario, "resident memory of 8 instances, n targets", "MB", targets, resident)
	r.addRow("resident memory per target, slope", f.Slope*1000, "KB", f.Intercept*1000, "without targets", bench.Bound{}, "8 instances together")

	var instances, sockets, cpus []float64
	for _, size := range [][]int{{1, 1, 1}, {2, 2, 2}, {4, 4, 4}} {
		p, err := r.measureCostAt(ctx, 50, size, nil)
		if err != nil {
			return fmt.Errorf("%v instances: %w", size, err)
		}
		instances = append(instances, float64(size[0]*3))
		sockets = append(sockets, p.sockets)
		cpus = append(cpus, p.cpuPerRequest*1000)
		r.addRow(fmt.Sprintf("most connections of a target, %d instances", size[0]*3), float64(p.connections), "",
			float64(p.accepts), "what it accepts", bench.AtMost(1), "")
	}
	r.Report.AddFit(r.scenario, "sockets per instance, n instances", "", instances, sockets)
	r.Report.AddFit(r.scenario, "processor time per target request, n instances", "µs", instances, cpus)
	_, err := r.measureCostAt(ctx, 50, []int{3, 3, 2}, r.measureInFlightMemory)
	return err
}

// costPoint is the resource usage of a deployment of one size under load.
type costPoint struct {
	cpuPerSearch, cpuPerRequest float64 // ms over all instances
	resident                    float64 // bytes over all instances
	sockets                     float64 // per instance
	// connections is the most connections that a target had at once, and accepts is the
	// number that this target accepts.
	connections, accepts int
}

// trimDocument returns the document with at most n shards per search, and without the
// services that no search or operation uses any more.
func trimDocument(doc declare.Document, n int) declare.Document {
	doc.Searches = slices.Clone(doc.Searches)
	used := map[string]bool{}
	for i, s := range doc.Searches {
		if len(s.Services) > n {
			doc.Searches[i].Services = s.Services[:n]
		}
		for _, name := range doc.Searches[i].Services {
			used[name] = true
		}
	}
	for _, o := range doc.Operations {
		for _, name := range o.Services {
			used[name] = true
		}
	}
	doc.Services = slices.DeleteFunc(slices.Clone(doc.Services), func(s declare.Service) bool { return !used[s.Name] })
	return doc
}

// measureCostAt measures a deployment of one size. If instead is given, it runs that
// measurement only.
func (r *scenarioRun) measureCostAt(ctx context.Context, shards int, size []int, instead func(context.Context, *bench.Rig) error) (costPoint, error) {
	var p costPoint
	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return p, err
	}
	t.Document, t.Instances = trimDocument(t.Document, shards), size
	t.Behaviour = targetBehaviour(4, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return p, err
	}
	defer rig.Close()
	if _, err := rig.RunLoads(ctx, nil, rig.Load("", 2*costRate, 2*time.Second)); err != nil {
		return p, err
	}
	if instead != nil {
		return p, instead(ctx, rig)
	}
	arrived, err := rig.ArrivedRequests(ctx)
	if err != nil {
		return p, err
	}
	before, err := bench.UsageOf(rig.Pids())
	if err != nil {
		return p, err
	}
	results, err := rig.RunLoads(ctx, nil, rig.Load("", costRate, r.PhaseDuration))
	if err != nil {
		return p, err
	}
	after, err := bench.UsageOf(rig.Pids())
	if err != nil {
		return p, err
	}
	counts, err := rig.Counts(ctx)
	if err != nil {
		return p, err
	}
	var arrivedAfter int64
	for _, c := range counts {
		arrivedAfter += c.Arrived
		if c.MaxConnections > p.connections {
			p.connections, p.accepts = c.MaxConnections, rig.Service(c.Service).Connections
		}
	}
	used := after.Since(before)
	ms := used.CPU.Seconds() * 1000
	p.cpuPerSearch, p.cpuPerRequest = ms/float64(results[0].Arrivals), ms/float64(arrivedAfter-arrived)
	p.resident, p.sockets = float64(used.Resident), float64(used.Connections)/float64(len(rig.Instances))
	r.Report.AddPhase(r.scenario, r.deployment, fmt.Sprintf("%d shards, %d instances", shards, len(rig.Instances)), results[0])
	r.Report.Printf("    %.0f µs of processor time per target request, %.0f MB resident in all, %.0f sockets per instance, at most %d connections per target",
		1000*p.cpuPerRequest, p.resident/1e6, p.sockets, p.connections)
	return p, nil
}

// measureInFlightMemory measures the resident memory while all targets pause and
// queries wait for them.
func (r *scenarioRun) measureInFlightMemory(ctx context.Context, rig *bench.Rig) error {
	var n, resident []float64
	for _, queries := range []int{0, 8, 16, 24} {
		for _, z := range rig.Topology.Document.Zones {
			if err := rig.Change(ctx, z.Name, "*", target.Change{PauseMS: targetPauseMS}); err != nil {
				return err
			}
		}
		var wg sync.WaitGroup
		replies := make([]harness.Reply, queries)
		var ended atomic.Int64
		for i := range queries {
			wg.Go(func() {
				replies[i] = rig.Balancer.Search(ctx, rig.Search("").Name, fmt.Sprint(i), 2*targetPauseMS*time.Millisecond)
				ended.Add(1)
			})
		}
		time.Sleep(time.Second)
		u, err := bench.UsageOf(rig.Pids())
		open := queries - int(ended.Load())
		wg.Wait()
		if err != nil {
			return err
		}
		full := 0
		for _, reply := range replies {
			if reply.Outcome == "answered" && reply.Coverage.Answered == reply.Coverage.Total {
				full++
			}
		}
		r.Report.Printf("    %d of %d queries in flight: %.1f MB resident in all; %d answered in full later", open, queries, float64(u.Resident)/1e6, full)
		n, resident = append(n, float64(open)), append(resident, float64(u.Resident)/1e6)
	}
	f := r.Report.AddFit(r.scenario, "resident memory, n queries in flight over all shards", "MB", n, resident)
	r.addRow("resident memory per query in flight, slope", f.Slope*1000, "KB", f.Intercept*1000, "idle after load", bench.Bound{}, "8 instances together")
	return nil
}

// measureAllocations measures the heap allocations per request, in the instance that
// serves the caller and in the holder.
func (r *scenarioRun) measureAllocations(ctx context.Context) error {
	var n, objects, bytes []float64
	for _, shards := range []int{10, 25, 50} {
		a, err := bench.GatewayAllocs(shards)
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		n, objects, bytes = append(n, float64(shards)), append(objects, a.Objects), append(bytes, a.Bytes)
	}
	f := r.Report.AddFit(r.scenario, "allocations of the entry per search, n shards", "objects", n, objects)
	b := r.Report.AddFit(r.scenario, "allocated bytes of the entry per search, n shards", "B", n, bytes)
	r.addRow("allocations per target request, entry", f.Slope, "", f.Intercept, "per search", bench.Bound{}, fmt.Sprintf("%.0f bytes; fake executor included", b.Slope))

	t, err := r.Topology(ctx, r.deployment)
	if err != nil {
		return err
	}
	t.Document, t.Instances = trimDocument(t.Document, 1), []int{1, 1, 1}
	t.Behaviour = targetBehaviour(1, false)
	rig, err := r.Start(ctx, t, nil)
	if err != nil {
		return err
	}
	defer rig.Close()
	rig.StopBalancer()
	s := rig.Search("")
	counts, err := rig.Counts(ctx)
	if err != nil {
		return err
	}
	_, name := rig.ReplicaOf(s.Services[0], 1)
	a, err := bench.PoolAllocs(counts[name].Address, rig.Service(s.Services[0]), name, harness.ShardOf(s.Name, s.Services[0]))
	if err != nil {
		return fmt.Errorf("pool: %w", err)
	}
	r.addRow("allocations per target request, holder", a.Objects, "", f.Slope, "entry", bench.Bound{}, fmt.Sprintf("%.0f bytes; without the peer protocol", a.Bytes))
	return nil
}

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

func printResult(r *harness.Result) {
	fmt.Printf("  %-40s %d sent: %s\n", r.Name[strings.LastIndex(r.Name, ", ")+2:], r.Arrivals, formatCounts(r.Outcomes))
	if n := r.Outcomes["answered"]; n > 0 {
		fmt.Printf("    coverage      %d full, %d partial; snapshots %s\n", r.Full, r.Partial, formatCounts(r.Snapshots))
		at := func(q float64) float64 { return float64(r.AnsweredLatency.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("    latency, ms   p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f\n",
			at(50), at(90), at(99), at(99.9), float64(r.AnsweredLatency.Max())/1000)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Printf("    %6d ×      %s\n", r.Refusals[reason], reason)
	}
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[k], k))
	}
	return strings.Join(parts, ", ")
}

// printExtraLoad compares the requests that arrived at the targets with the number of
// shards of the answered searches. Requests of refused searches count as extra.
func printExtraLoad(before, after map[string]target.Counts, shards int) {
	var arrived, cancelled int64
	refused := map[string]int{}
	for name, c := range after {
		arrived += c.Arrived - before[name].Arrived
		cancelled += c.Cancelled - before[name].Cancelled
		for reason, n := range c.Refused {
			if n -= before[name].Refused[reason]; n > 0 {
				refused[reason] += int(n)
			}
		}
	}
	if shards == 0 {
		return
	}
	extra := 100 * (float64(arrived)/float64(shards) - 1)
	fmt.Printf("  targets: %d requests for %d shards (%+.1f%%), %d cancelled", arrived, shards, extra, cancelled)
	if len(refused) > 0 {
		fmt.Printf("; refused: %s", formatCounts(refused))
	}
	fmt.Println()
}

// printTargets prints how many requests the targets ran, by zone and by group of
// services. Services that differ only in their number form a group.
func printTargets(counts map[string]target.Counts) {
	type group struct {
		targets, maxWarm, maxCold, maxConnections int
		started                                   int64
	}
	groups := map[string]*group{}
	for _, c := range counts {
		key := fmt.Sprintf("%-18s %s", c.Zone, strings.TrimRight(c.Service, "-0123456789"))
		g := groups[key]
		if g == nil {
			g = &group{}
			groups[key] = g
		}
		g.targets++
		g.started += c.Started
		g.maxWarm = max(g.maxWarm, c.MaxWarm)
		g.maxCold = max(g.maxCold, c.MaxCold)
		g.maxConnections = max(g.maxConnections, c.MaxConnections)
	}
	fmt.Println("\nWho ran what")
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		fmt.Printf("  %-36s %3d targets ran %6d requests; per target at most %d at once cold, %d warm, %d connections\n",
			key, g.targets, g.started, g.maxCold, g.maxWarm, g.maxConnections)
	}
}

package main

import (
	"context"
	"fmt"
	"time"
)

func runWrapline(ctx context.Context, d *deployment) error {
	if _, err := d.runPhase(ctx, "Cold start: first searches after all targets started", nil, d.load("past-orders", 20, 2*time.Second), d.load("allergen", 10, 2*time.Second)); err != nil {
		return err
	}
	reprint := func() error {
		instances := d.cluster.Instances
		for _, i := range []int{0, len(instances) - 1} {
			r := d.execute(ctx, &instances[i], "reprint", "reprint-1")
			fmt.Printf("  reprint through %-36s %s %s %s\n", instances[i].Name, r.Outcome, r.Reason, r.Result)
		}
		return nil
	}
	if _, err := d.runPhase(ctx, "Searches and one reprint", reprint, d.load("past-orders", 20, 4*time.Second)); err != nil {
		return err
	}
	r := d.balancer.Search(ctx, "allergen", "sesame", requestTimeout)
	fmt.Printf("  allergen look-up: %s %s, snapshot %s, %d of %d shards, %d lines\n",
		r.Outcome, r.Reason, r.Snapshot, r.Coverage.Answered, r.Coverage.Total, len(r.Items))
	if r.Outcome == "answered" {
		d.answered++
		d.completeAnswers++
		d.faults.CheckAnswer(d.search("allergen"), itemsPerShard, "sesame", r)
	}
	return d.refuseOrders(ctx, "reprint-desk", "reprint")
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	itemsPerShard  = 2
	firstSnapshot  = "2026-11-01"
	nextSnapshot   = "2026-11-02"
	requestTimeout = 2 * time.Second // of searches and operations
)

// deployment is a running deployment and what the demo observed of it. Only the
// goroutine that runs the phases writes the counts.
type deployment struct {
	name        string
	cluster     *harness.Cluster
	balancer    *harness.Balancer
	configWatch *harness.ConfigWatch
	checks      *checks

	answered int
	faults   harness.Faults
	// completeAnswers counts the answers to searches of class complete.
	completeAnswers int
	// notRun says for each key whether its last outcome was "not run".
	notRun map[string]bool
	// orders counts the non-idempotent requests that were sent.
	orders int
	// zoneOuts and drains count the zones taken out and the drains under load.
	zoneOuts, drains int
}

// zoneDelayMS has the one-way delays between zones by deployment, as in section 1.6
// of the design page.
var zoneDelayMS = map[string]float64{"huber": 3, "wrapline": 5}

// newDeployment returns a deployment that is not started, with the sizes of section 1.6
// of the design page.
func newDeployment(ctx context.Context, bin, dir, name string, checks *checks) (*deployment, error) {
	printed, err := exec.CommandContext(ctx, "go", "run", "github.com/baobabsill/baobabsill/declare/examples/"+name).Output()
	if err != nil {
		return nil, fmt.Errorf("print the configuration: %w", err)
	}
	var doc declare.Document
	if err := json.Unmarshal(printed, &doc); err != nil {
		return nil, fmt.Errorf("printed configuration: %w", err)
	}
	topology := harness.Topology{
		Document: doc, Instances: []int{3, 3, 2}, ZoneDelayMS: zoneDelayMS[name], ZoneJitterMS: 1,
		ClientDelayMS: 3, ListLagMS: 500, Behaviour: harness.DefaultBehaviour,
		ItemsPerShard: itemsPerShard, Seed: 42,
	}
	return &deployment{name: name, cluster: harness.NewCluster(topology, bin, dir), checks: checks,
		notRun: map[string]bool{}}, nil
}

func (d *deployment) start(ctx context.Context) error {
	begin := time.Now()
	if err := d.cluster.Start(ctx, firstSnapshot); err != nil {
		return err
	}
	counts, err := d.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	doc := d.cluster.Topology.Document
	fmt.Printf("\n== %s: %d zones, %d instances, %d services with %d targets; ready after %.1f s\n",
		d.name, len(doc.Zones), len(d.cluster.Instances), len(doc.Services), len(counts), time.Since(begin).Seconds())
	delay := time.Duration(d.cluster.Topology.ClientDelayMS * float64(time.Millisecond))
	d.balancer = harness.NewBalancer(d.cluster.Instances, delay)
	d.balancer.Refresh(ctx)
	d.configWatch = harness.NewConfigWatch(d.cluster.Instances)
	go d.balancer.Run(ctx)
	go d.configWatch.Run(ctx)
	return nil
}

func (d *deployment) search(name string) declare.Search {
	for _, s := range d.cluster.Topology.Document.Searches {
		if s.Name == name {
			return s
		}
	}
	panic("no search " + name)
}

func (d *deployment) load(search string, rate float64, duration time.Duration) harness.Load {
	return harness.Load{Search: d.search(search), Rate: rate, Duration: duration, Deadline: requestTimeout,
		MaxInFlight: 200, ItemsPerShard: itemsPerShard, Seed: 7}
}

// runPhase runs loads, and 300 ms after their start the action, if there is one. It
// prints the results and adds them to the counts.
func (d *deployment) runPhase(ctx context.Context, name string, action func() error, loads ...harness.Load) ([]*harness.Result, error) {
	before, err := d.cluster.Counts(ctx)
	if err != nil {
		return nil, err
	}
	fmt.Printf("\n%s\n", name)
	results := make([]*harness.Result, len(loads))
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { results[i] = l.Run(ctx, fmt.Sprintf("%s, %s", name, l.Search.Name), d.balancer) })
	}
	if action != nil {
		time.Sleep(300 * time.Millisecond)
		err = action()
	}
	wg.Wait()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	after, err := d.cluster.Counts(ctx)
	if err != nil {
		return nil, err
	}
	answered, shards := 0, 0
	for i, r := range results {
		printResult(r)
		d.faults.Add(r.Faults)
		answered += r.Outcomes["answered"]
		shards += r.ShardCount
		if loads[i].Search.Class == declare.ClassComplete {
			d.completeAnswers += r.Outcomes["answered"]
		}
	}
	d.answered += answered
	printExtraLoad(before, after, shards)
	return results, nil
}

// changeConfig runs an operators' command that changes the configuration, and returns
// the time at which the platform accepted the change. In the background it checks how
// long the change takes to be in force at all instances.
func (d *deployment) changeConfig(ctx context.Context, args ...string) (accepted time.Time, err error) {
	before, err := d.configVersion(ctx)
	if err != nil {
		return accepted, err
	}
	done := make(chan error, 1)
	go func() { done <- d.cluster.RunCtl(ctx, args...) }()
	version, ended := before, false
	for version == before {
		if ended {
			return accepted, fmt.Errorf("%v changed nothing", args)
		}
		select {
		case err := <-done:
			if err != nil {
				return accepted, err
			}
			ended = true
			done <- nil
		case <-time.After(5 * time.Millisecond):
		}
		if version, err = d.configVersion(ctx); err != nil {
			return accepted, err
		}
	}
	accepted = time.Now()
	go func() {
		took, err := d.configWatch.AwaitVersion(ctx, version, accepted)
		if err != nil {
			d.checks.record(10, false, "%s, %v: %v", d.name, args, err)
			return
		}
		d.checks.record(10, took < 3*time.Second, "%s, %v: in force at all instances after %d ms", d.name, args, took.Milliseconds())
	}()
	return accepted, <-done
}

func (d *deployment) configVersion(ctx context.Context) (int64, error) {
	var o struct{ Version int64 }
	err := d.cluster.Platform.Get(ctx, "/objects/config/main", &o)
	return o.Version, err
}

// execute sends a non-idempotent request through an instance, or through the balancer
// if the instance is nil, and records its outcome for the checks.
func (d *deployment) execute(ctx context.Context, at *harness.Instance, operation, key string) harness.Reply {
	var r harness.Reply
	if at != nil {
		r = d.balancer.ExecuteAt(ctx, *at, operation, key, requestTimeout)
	} else {
		r = d.balancer.Execute(ctx, operation, key, requestTimeout)
	}
	d.orders++
	d.notRun[key] = r.Outcome == "refused-not-run"
	return r
}

// refuseOrders makes all targets of a service refuse new requests and then sends
// orders to it, so that the system refuses them as "not run".
func (d *deployment) refuseOrders(ctx context.Context, service, operation string) error {
	counts, err := d.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	refuse := target.DrainRefuse
	for name, c := range counts {
		if c.Service != service {
			continue
		}
		if err := d.cluster.Change(ctx, c.Zone, name, target.Change{Drain: &refuse}); err != nil {
			return err
		}
	}
	fmt.Printf("\nAll targets of %s refuse\n", service)
	for i := range 3 {
		r := d.execute(ctx, nil, operation, fmt.Sprintf("%s-refused-%d", operation, i))
		fmt.Printf("  %-52s %s %s\n", operation, r.Outcome, r.Reason)
	}
	return nil
}

// finish checks the invariants against the records of the targets and stops all
// instances.
func (d *deployment) finish(ctx context.Context) error {
	counts, err := d.cluster.Counts(ctx)
	if err != nil {
		return err
	}
	runs, err := d.cluster.Runs(ctx)
	if err != nil {
		return err
	}
	d.checkAnswers(counts)
	d.checkTargets(counts)
	d.checkRuns(runs)
	reverts := d.configWatch.Reverts()
	d.checks.record(10, len(reverts) == 0, "%s: %d versions reverted %v", d.name, len(reverts), reverts)
	begin := time.Now()
	err = d.cluster.StopInstances(14 * time.Second)
	d.checks.record(9, err == nil, "%s: all instances stopped in %.1f s, %s", d.name, time.Since(begin).Seconds(), formatExit(err))
	printTargets(counts)
	return nil
}

func formatExit(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

func (d *deployment) checkAnswers(counts map[string]target.Counts) {
	if d.answered == 0 {
		return
	}
	var faultyAnswers int64
	for _, c := range counts {
		faultyAnswers += c.FaultyAnswers
	}
	f := d.faults
	d.checks.record(1, f.MixedSnapshots == 0, "%s: %d answers, %d with items of several snapshots", d.name, d.answered, f.MixedSnapshots)
	d.checks.record(2, f.WrongCoverage+f.Incomplete == 0, "%s: %d answers, %d with wrong coverage; %d of complete searches, %d incomplete",
		d.name, d.answered, f.WrongCoverage, d.completeAnswers, f.Incomplete)
	d.checks.record(5, f.WrongItems == 0, "%s: %d answers, %d with foreign, repeated or missing items; targets sent %d late, crossed, truncated or duplicated answers",
		d.name, d.answered, f.WrongItems, faultyAnswers)
	for _, e := range f.Examples {
		fmt.Println("   fault:", e)
	}
}

func (d *deployment) checkTargets(counts map[string]target.Counts) {
	var started, cold, maxCold int
	var violations, unwarned, zoneOut, lateZone, drained, lateDrain, zoneLast, drainLast int64
	for _, c := range counts {
		if c.Started > 0 {
			started++
		}
		if c.MaxCold > 0 {
			cold++
		}
		maxCold = max(maxCold, c.MaxCold)
		violations += c.ColdViolations
		unwarned += c.UnwarnedViolations
		zoneOut += c.AfterZoneOut
		lateZone += c.LateAfterZoneOut
		zoneLast = max(zoneLast, c.ZoneOutLastMS)
		drained += c.AfterDrain
		lateDrain += c.LateAfterDrain
		drainLast = max(drainLast, c.DrainLastMS)
	}
	if cold > 0 {
		d.checks.record(3, violations+unwarned == 0, "%s: %d targets got requests while cold, at most %d at once; %d times too much, %d times before a sender could know",
			d.name, cold, maxCold, violations, unwarned)
	}
	if d.zoneOuts > 0 {
		d.checks.record(4, lateZone == 0, "%s: %d requests after the zone was out, the last after %d ms, %d later than 3 s", d.name, zoneOut, zoneLast, lateZone)
	}
	if d.drains > 0 {
		d.checks.record(8, lateDrain == 0, "%s: %d requests after the drains, the last after %d ms, %d later than 3 s", d.name, drained, drainLast, lateDrain)
	}
}

func (d *deployment) checkRuns(runs map[string]int) {
	twice, refused, ranAfterAll := 0, 0, 0
	for key, n := range runs {
		if n > 1 {
			twice++
			fmt.Printf("   fault: key %s ran %d times\n", key, n)
		}
	}
	for key, notRun := range d.notRun {
		if notRun {
			refused++
			if runs[key] > 0 {
				ranAfterAll++
				fmt.Printf("   fault: key %s was refused as not run and ran\n", key)
			}
		}
	}
	if d.orders > 0 {
		d.checks.record(7, twice == 0, "%s: %d sends of %d keys, %d keys ran, %d more than once", d.name, d.orders, len(d.notRun), len(runs), twice)
	}
	if refused > 0 {
		d.checks.record(6, ranAfterAll == 0, "%s: %d keys refused as not run, %d of them ran", d.name, refused, ranAfterAll)
	}
}

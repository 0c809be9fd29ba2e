//go:build failures

package failures

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/status"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/link"
	"github.com/baobabsill/baobabsill/standin/platform"
	"github.com/baobabsill/baobabsill/standin/target"
)

const (
	firstSnapshot = "s1"
	nextSnapshot  = "s2"
	itemsPerShard = 2
	// effectBound is the time within which a zone that is taken out, a leaving
	// target and an accepted configuration have to take effect at all instances
	// (invariants 4, 8 and 10 of section 1.2 of the design page).
	effectBound = 3 * time.Second
)

var (
	keepDirs = flag.Bool("keep", false, "keep the directories with settings and logs")
	binDir   string
	// deploymentSlots limits the number of deployments that run at once.
	deploymentSlots = make(chan struct{}, 2)
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(harness.RunWithPrograms(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

// deployment is a running cluster of three zones with two instances each, and
// with two replicas of each service in different zones. Each test has its own.
type deployment struct {
	*harness.Cluster
	t           *testing.T
	ctx         context.Context
	balancer    *harness.Balancer
	configWatch *harness.ConfigWatch
	client      *http.Client
}

// document declares four services, a search over all of them for each class,
// and an operation.
func document() declare.Document {
	c := declare.New("failures")
	for _, z := range []string{"east", "middle", "west"} {
		c.Zone(z)
	}
	var names []string
	for i := range 4 {
		s := c.Service(fmt.Sprintf("archive-%d", i+1)).Replicas(2).Slots(4).BearsCold(1).Connections(30)
		names = append(names, s.Name())
	}
	c.Search("browse", declare.ClassPartial, names...)
	c.Search("allergen", declare.ClassComplete, names...)
	c.Operation("order", names[0], names[1])
	var b strings.Builder
	if err := c.Print(&b); err != nil {
		panic(err)
	}
	d, err := declare.Parse([]byte(b.String()))
	if err != nil {
		panic(err)
	}
	return d
}

// targetBehaviour returns targets without stragglers and pauses, since these
// would make the verdict random. A cold target is warm after 6 answers, fewer
// than the 8 after which a holder may raise its limit.
func targetBehaviour(s declare.Service) target.Behaviour {
	return target.Behaviour{Slots: s.Slots, BearsCold: s.BearsCold, Connections: s.Connections, ConnectMS: 1,
		ServiceMS: 4, Sigma: 0.2, ColdRequests: 6, ColdFactor: 3, OverloadMS: 300}
}

// startDeployment starts a deployment. If given, adjust changes its topology
// before that.
func startDeployment(t *testing.T, adjust func(*harness.Topology)) *deployment {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	topology := harness.Topology{
		Document: document(), Instances: []int{2, 2, 2}, ZoneDelayMS: 3, ZoneJitterMS: 1, ClientDelayMS: 1,
		ListLagMS: 500, Behaviour: targetBehaviour, ItemsPerShard: itemsPerShard, Seed: 11,
		Settings: map[string]map[string]string{"shutdown": {"drain_delay": "500ms", "drain_timeout": "5s"}},
	}
	if adjust != nil {
		adjust(&topology)
	}
	dir, err := os.MkdirTemp("", "failures-")
	must(t, err)
	t.Cleanup(func() {
		if *keepDirs {
			t.Log("kept", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	d := &deployment{Cluster: harness.NewCluster(topology, binDir, dir), t: t, ctx: ctx, client: &http.Client{Timeout: time.Second}}
	t.Cleanup(func() { cancel(); d.Close() })
	must(t, d.Start(ctx, firstSnapshot))
	d.balancer = harness.NewBalancer(d.Instances, time.Millisecond)
	d.balancer.Refresh(ctx)
	d.configWatch = harness.NewConfigWatch(d.Instances)
	go d.balancer.Run(ctx)
	go d.configWatch.Run(ctx)
	t.Cleanup(func() {
		if r := d.configWatch.Reverts(); len(r) > 0 {
			t.Errorf("configuration versions reverted: %v", r)
		}
	})
	return d
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (d *deployment) search(name string) declare.Search {
	for _, s := range d.Topology.Document.Searches {
		if s.Name == name {
			return s
		}
	}
	panic("no search " + name)
}

func (d *deployment) load(search string, rate float64, duration time.Duration) harness.Load {
	return harness.Load{Search: d.search(search), Rate: rate, Duration: duration, Deadline: 2 * time.Second,
		MaxInFlight: 100, ItemsPerShard: itemsPerShard, Seed: 5}
}

// runUnderLoad sends searches of both classes, allergen at half of the rate, runs
// the action meanwhile, and reports wrong answers.
func (d *deployment) runUnderLoad(name string, rate float64, duration time.Duration, action func()) []*harness.Result {
	d.t.Helper()
	return d.runWithLoads(name, action, d.load("browse", rate, duration), d.load("allergen", rate/2, duration))
}

// runWithLoads runs the action 200 ms after the start of the loads and reports
// wrong answers.
func (d *deployment) runWithLoads(name string, action func(), loads ...harness.Load) []*harness.Result {
	d.t.Helper()
	results := make([]*harness.Result, len(loads))
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { results[i] = l.Run(d.ctx, name+" "+l.Search.Name, d.balancer) })
	}
	if action != nil {
		time.Sleep(200 * time.Millisecond)
		action()
	}
	wg.Wait()
	for _, r := range results {
		d.t.Logf("%s: sent %d, %v, full %d, partial %d, %v", r.Name, r.Arrivals, r.Outcomes, r.Full, r.Partial, r.Refusals)
		if f := r.Faults; f.MixedSnapshots+f.WrongCoverage+f.Incomplete+f.WrongItems > 0 {
			d.t.Errorf("%s: wrong answers: %+v", r.Name, f)
		}
	}
	return results
}

// checkFullAnswers reports an error unless every search got a full answer.
func (d *deployment) checkFullAnswers(results []*harness.Result) {
	d.t.Helper()
	for _, r := range results {
		if r.Arrivals == 0 || r.Full != r.Arrivals {
			d.t.Errorf("%s: %d of %d searches got a full answer", r.Name, r.Full, r.Arrivals)
		}
	}
}

// eventually reports an error unless the condition holds within the time.
func (d *deployment) eventually(condition string, within time.Duration, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Errorf("not within %v: %s", within, condition)
			return
		}
	}
}

// waitForFullAnswers waits until a search through each instance gets a full answer.
func (d *deployment) waitForFullAnswers(within time.Duration) {
	d.t.Helper()
	for _, i := range d.Instances {
		b := d.balancerFor(i)
		d.eventually("full answers through "+i.Name, within, func() bool {
			b.Refresh(d.ctx)
			r := b.Search(d.ctx, "allergen", "q", 2*time.Second)
			return r.Outcome == "answered" && r.Coverage.Answered == 4
		})
	}
}

// waitUntilReady waits until all instances are ready.
func (d *deployment) waitUntilReady(within time.Duration) {
	d.t.Helper()
	d.eventually("all instances ready", within, func() bool {
		for _, i := range d.Instances {
			if !harness.IsReady(d.ctx, i) {
				return false
			}
		}
		return true
	})
}

// balancerFor returns a balancer that sends to one instance only.
func (d *deployment) balancerFor(i harness.Instance) *harness.Balancer {
	b := harness.NewBalancer([]harness.Instance{i}, 0)
	b.Refresh(d.ctx)
	return b
}

func (d *deployment) process(i int) *harness.Process { return d.Processes[d.Instances[i].Name] }

func (d *deployment) kill(indexes ...int) {
	for _, i := range indexes {
		d.process(i).Kill()
	}
}

func (d *deployment) restart(indexes ...int) {
	d.t.Helper()
	for _, i := range indexes {
		must(d.t, d.StartInstance(d.Instances[i]))
	}
}

func (d *deployment) freeze(i int) { must(d.t, d.process(i).Signal(syscall.SIGSTOP)) }
func (d *deployment) thaw(i int)   { must(d.t, d.process(i).Signal(syscall.SIGCONT)) }

func (d *deployment) setPlatformFault(f platform.Fault) {
	must(d.t, d.Platform.Post(d.ctx, "/admin/fault", f))
}

// cutFromPlatform cuts off the instances whose address has one of the prefixes
// from the platform. A call without prefixes ends the cut.
func (d *deployment) cutFromPlatform(prefixes ...string) {
	d.setPlatformFault(platform.Fault{Cut: &prefixes})
}

func (d *deployment) setPlatformDown(down bool) { d.setPlatformFault(platform.Fault{Down: &down}) }

// setLinkCut cuts the link between two zones or restores it. With a equal to b,
// this is the link between the instances of the zone.
func (d *deployment) setLinkCut(a, b string, cut bool) {
	must(d.t, d.Link.Post(d.ctx, "/admin/link", link.Change{A: a, B: b, Cut: &cut}))
}

// changeTargets changes the named target of a zone, or all of them for "*".
func (d *deployment) changeTargets(zone, name string, c target.Change) {
	d.t.Helper()
	must(d.t, d.Change(d.ctx, zone, name, c))
}

func (d *deployment) changeAllTargets(c target.Change) {
	for zone := range d.Targets {
		d.changeTargets(zone, "*", c)
	}
}

func (d *deployment) targetCounts() map[string]target.Counts {
	c, err := d.Counts(d.ctx)
	must(d.t, err)
	return c
}

func (d *deployment) status(i int) (status.Document, error) {
	return harness.Status(d.ctx, d.client, d.Instances[i])
}

func (d *deployment) configVersion() int64 {
	var o struct{ Version int64 }
	must(d.t, d.Platform.Get(d.ctx, "/objects/config/main", &o))
	return o.Version
}

// runCtl runs baobabsillctl and returns its exit code.
func (d *deployment) runCtl(args ...string) int {
	err := d.RunCtl(d.ctx, args...)
	if exit := new(exec.ExitError); errors.As(err, &exit) {
		return exit.ExitCode()
	}
	must(d.t, err)
	return 0
}

// warmUp sends load until all targets are warm.
func (d *deployment) warmUp() {
	d.t.Helper()
	d.runUnderLoad("warm up", 60, 2500*time.Millisecond, nil)
	d.checkColdViolations(false)
}

// checkColdViolations reports targets that got more requests at once while they
// were cold than they bear. With allowUnwarned, requests that arrived before any
// reply had told a sender of the cold start don't count.
func (d *deployment) checkColdViolations(allowUnwarned bool) {
	d.t.Helper()
	for name, c := range d.targetCounts() {
		if c.ColdViolations > 0 || (!allowUnwarned && c.UnwarnedViolations > 0) {
			d.t.Errorf("%s: %d requests above the cold limit, %d before a sender could know; at most %d at once",
				name, c.ColdViolations, c.UnwarnedViolations, c.MaxCold)
		}
	}
}

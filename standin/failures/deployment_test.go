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
	module        = "github.com/baobabsill/baobabsill"
	firstSnapshot = "s1"
	nextSnapshot  = "s2"
	itemsPerShard = 2
	// bound is the bound of promises 4, 8 and 10.
	bound = 3 * time.Second
)

var (
	keep = flag.Bool("keep", false, "keep the directories with settings and logs")
	bin  string
	// places bounds the deployments that run at once.
	places = make(chan struct{}, 2)
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "failures-bin-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		bin = dir
		build := exec.Command("go", "build", "-o", bin+"/", module+"/cmd/...", module+"/standin/cmd/...")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// deployment is a running cluster of three zones with two instances each and
// two replicas of each service in different zones.
type deployment struct {
	*harness.Cluster
	t        *testing.T
	ctx      context.Context
	balancer *harness.Balancer
	watch    *harness.ConfigWatch
	client   *http.Client
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

// behaviour is that of targets without stragglers and pauses, which would
// make the verdict depend on chance. A cold target ends its cold start with 6
// answers, fewer than the 8 after which a holder may raise its limit.
func behaviour(s declare.Service) target.Behaviour {
	return target.Behaviour{Slots: s.Slots, BearsCold: s.BearsCold, Connections: s.Connections, ConnectMS: 1,
		ServiceMS: 4, Sigma: 0.2, ColdRequests: 6, ColdFactor: 3, FallOverMS: 300}
}

// start starts a deployment; change may alter its topology first.
func start(t *testing.T, change func(*harness.Topology)) *deployment {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	topology := harness.Topology{
		Document: document(), Instances: []int{2, 2, 2}, ZoneDelayMS: 3, ZoneJitterMS: 1, ClientDelayMS: 1,
		ListLagMS: 500, Behaviour: behaviour, ItemsPerShard: itemsPerShard, Seed: 11,
		Settings: map[string]map[string]string{"shutdown": {"drain_delay": "500ms", "drain_timeout": "5s"}},
	}
	if change != nil {
		change(&topology)
	}
	dir, err := os.MkdirTemp("", "failures-")
	must(t, err)
	t.Cleanup(func() {
		if *keep {
			t.Log("kept", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	d := &deployment{Cluster: harness.NewCluster(topology, bin, dir), t: t, ctx: ctx, client: &http.Client{Timeout: time.Second}}
	t.Cleanup(func() { cancel(); d.Close() })
	must(t, d.Start(ctx, firstSnapshot))
	d.balancer = harness.NewBalancer(d.Instances, time.Millisecond)
	d.balancer.Refresh(ctx)
	d.watch = harness.NewConfigWatch(d.Instances)
	go d.balancer.Run(ctx)
	go d.watch.Run(ctx)
	t.Cleanup(func() {
		if r := d.watch.RevertsSoFar(); len(r) > 0 {
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

// under runs an action while both searches run, and checks their answers.
func (d *deployment) under(name string, rate float64, duration time.Duration, action func()) []*harness.Result {
	d.t.Helper()
	return d.underLoads(name, action, d.load("browse", rate, duration), d.load("allergen", rate/2, duration))
}

func (d *deployment) underLoads(name string, action func(), loads ...harness.Load) []*harness.Result {
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
		d.t.Logf("%s: sent %d, %v, full %d, partial %d, %v", r.Name, r.Sent, r.Outcomes, r.Full, r.Partial, r.Refusals)
		if f := r.Faults; f.Mixed+f.Coverage+f.Incomplete+f.Foreign > 0 {
			d.t.Errorf("%s: wrong answers: %+v", r.Name, f)
		}
	}
	return results
}

// served reports an error unless all callers got full answers.
func (d *deployment) served(results []*harness.Result) {
	d.t.Helper()
	for _, r := range results {
		if r.Sent == 0 || r.Full != r.Sent {
			d.t.Errorf("%s: %d of %d searches got a full answer", r.Name, r.Full, r.Sent)
		}
	}
}

// eventually waits until the condition holds.
func (d *deployment) eventually(what string, within time.Duration, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Errorf("not within %v: %s", within, what)
			return
		}
	}
}

// recovers waits until searches through every instance get full answers.
func (d *deployment) recovers(within time.Duration) {
	d.t.Helper()
	for _, i := range d.Instances {
		b := d.only(i)
		d.eventually("full answers through "+i.Name, within, func() bool {
			b.Refresh(d.ctx)
			r := b.Search(d.ctx, "allergen", "q", 2*time.Second)
			return r.Outcome == "answered" && r.Coverage.Answered == 4
		})
	}
}

// ready waits until all instances are ready.
func (d *deployment) ready(within time.Duration) {
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

// only returns a balancer that knows one instance.
func (d *deployment) only(i harness.Instance) *harness.Balancer {
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

func (d *deployment) fault(f platform.Fault) { must(d.t, d.Platform.Post(d.ctx, "/admin/fault", f)) }

// cutPlatform cuts source addresses off the platform; none ends the cut.
func (d *deployment) cutPlatform(prefixes ...string) { d.fault(platform.Fault{Cut: &prefixes}) }

func (d *deployment) platformDown(down bool) { d.fault(platform.Fault{Down: &down}) }

// cut cuts two zones off from each other; with a equal to b, it cuts the
// instances of a zone off from each other.
func (d *deployment) cut(a, b string, cut bool) {
	must(d.t, d.Link.Post(d.ctx, "/admin/link", link.Change{A: a, B: b, Cut: &cut}))
}

// change alters all targets of a zone, or the named one.
func (d *deployment) change(zone, name string, c target.Change) {
	d.t.Helper()
	must(d.t, d.Change(d.ctx, zone, name, c))
}

func (d *deployment) changeAll(c target.Change) {
	for zone := range d.Targets {
		d.change(zone, "*", c)
	}
}

func (d *deployment) counts() map[string]target.Counts {
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

// ctl runs the operators' command and returns its exit code.
func (d *deployment) ctl(args ...string) int {
	err := d.Ctl(d.ctx, args...)
	if exit := new(exec.ExitError); errors.As(err, &exit) {
		return exit.ExitCode()
	}
	must(d.t, err)
	return 0
}

// warm brings all targets from their cold start to full load.
func (d *deployment) warm() {
	d.t.Helper()
	d.under("warm up", 60, 2500*time.Millisecond, nil)
	d.noColdViolation(false)
}

// noColdViolation checks the targets' records. Where senders could not know of
// a cold start, only the arrivals after a reply that told them count.
func (d *deployment) noColdViolation(unwarned bool) {
	d.t.Helper()
	for name, c := range d.counts() {
		if c.ColdViolations > 0 || (!unwarned && c.UnwarnedViolations > 0) {
			d.t.Errorf("%s: %d requests above what it bears cold, %d before a sender could know; at most %d at once",
				name, c.ColdViolations, c.UnwarnedViolations, c.MaxCold)
		}
	}
}

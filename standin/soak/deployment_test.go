package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/platform/platformtest"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/link"
)

const (
	shards  = 6
	perZone = 2
	records = 4 // of each shard
	// grace leaves a request the time of its caller after the half of it in which
	// connections are still served.
	grace        = 4 * time.Second
	stopBound    = grace + time.Second
	startTimeout = 10 * time.Second
)

var zones = []string{"near", "far"}

// instance is one process of the product.
type instance struct {
	platformtest.Instance
	path    string // of its settings
	process *harness.Process
}

// deployment is a running system: the instances are processes, the store, the
// replicas and the links between them stand-ins in this one.
type deployment struct {
	t          *testing.T
	dir        string
	supervisor *harness.Supervisor
	store      *platformtest.Store
	link       *link.Relay
	replicas   []*platformtest.Replica
	instances  []*instance
}

// budget gives the callers' requests repeats.
const budget = "[retry]\nratio = 0.2\nslack = 50\n"

func deploy(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), store: platformtest.NewStore(t)}
	d.supervisor = harness.NewSupervisor(d.dir)
	t.Cleanup(func() { d.supervisor.Close() })
	build := exec.Command("go", "build", "-o", d.dir+"/", "github.com/baobabsill/baobabsill/cmd/baobabsill")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	spec := link.Spec{Prefixes: map[string]string{"127.0.1.": "near", "127.0.2.": "far"}}
	spec.Routes = append(spec.Routes, link.Route{Advertised: "127.0.0.1:0", Forward: d.store.Address(), Zone: "store"})
	var names []string
	add := func(service string, zone string, body string) {
		r := platformtest.NewReplica(t, fmt.Sprintf("%s-%s", service, zone), service, zone, body)
		d.replicas = append(d.replicas, r)
		spec.Routes = append(spec.Routes, link.Route{Advertised: "127.0.0.1:0", Forward: r.Address(), Zone: "at " + zone})
	}
	for _, z := range zones {
		add("s", z, "done by s-"+z)
	}
	for i := range shards {
		name := fmt.Sprintf("x%d", i)
		names = append(names, name)
		for _, z := range zones {
			add(name, z, body(name))
		}
	}
	d.link = link.New(spec)
	if err := d.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.link.Close)
	addresses := d.link.Addresses()
	for i, r := range d.replicas {
		s := r.Spec("ready")
		s["address"] = addresses[i+1]
		d.store.Put(platformtest.KindReplicas, r.ID, s)
	}
	d.store.Put(platformtest.KindConfig, "main", platformtest.Config(1, names...))
	for z, zone := range zones {
		for n := range perZone {
			i := &instance{Instance: platformtest.NewInstance(t, fmt.Sprintf("%s-%d", zone, n), zone, fmt.Sprintf("127.0.%d.1", z+1))}
			i.Contact, i.Grace, i.MaxInFlight, i.More = 2*time.Second, grace, 200, budget
			i.path = filepath.Join(d.dir, i.Name+".ini")
			i.WriteSettings(t, i.path, addresses[0])
			d.instances = append(d.instances, i)
			d.start(i)
		}
	}
	d.allReady()
	return d
}

// body returns the records of a shard, the greatest first.
func body(shard string) string {
	var b strings.Builder
	for i := range records {
		fmt.Fprintf(&b, "%04d-%-11s", 9000-i, shard)
	}
	return b.String()
}

func (d *deployment) start(i *instance) {
	p, err := d.supervisor.Start(i.Name, filepath.Join(d.dir, "baobabsill"), "edge", "--config", i.path)
	if err != nil {
		d.t.Errorf("%s: %v", i.Name, err)
		return
	}
	i.process = p
	// A signal ends a process that has not begun to run its own code.
	for end := time.Now().Add(startTimeout); d.supervisor.Tail(i.Name) == "" && !p.HasEnded(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Errorf("%s does not start", i.Name)
			return
		}
	}
}

// stop stops an instance gracefully and starts it again.
func (d *deployment) stop(i *instance) {
	if err := harness.Stop(stopBound, i.process); err != nil {
		d.t.Errorf("%s: stop: %v\n%s", i.Name, err, d.supervisor.Tail(i.Name))
	}
	d.start(i)
}

func (d *deployment) kill(i *instance, down time.Duration) {
	i.process.Kill()
	time.Sleep(down)
	d.start(i)
}

func (d *deployment) pause(i *instance, length time.Duration) {
	d.signal(i, syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(i, syscall.SIGCONT)
}

func (d *deployment) signal(i *instance, sig syscall.Signal) {
	if err := i.process.Signal(sig); err != nil && !i.process.HasEnded() {
		d.t.Errorf("%s: %v: %v", i.Name, sig, err)
	}
}

func (d *deployment) change(c link.Change) {
	if err := d.link.Apply(c); err != nil {
		d.t.Error(err)
	}
}

// allReady waits until all instances are ready.
func (d *deployment) allReady() {
	d.t.Helper()
	end := time.Now().Add(startTimeout)
	for _, i := range d.instances {
		for !i.IsReady() {
			if time.Now().After(end) {
				d.t.Fatalf("%s is not ready: %s", i.Name, d.supervisor.Tail(i.Name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

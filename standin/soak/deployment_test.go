package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/platform/platformtest"
	"github.com/baobabsill/baobabsill/standin/harness"
	"github.com/baobabsill/baobabsill/standin/link"
)

const (
	shardCount       = 6
	instancesPerZone = 2
	recordsPerShard  = 4
	// grace is the instances' time for a graceful stop. During its first half they
	// still accept connections; the second half is longer than callerTimeout, so
	// that requests accepted last can end.
	grace        = 4 * time.Second
	contact      = 2 * time.Second
	stopTimeout  = grace + time.Second
	startTimeout = 10 * time.Second
)

var zones = []string{"near", "far"}

// instance is a baobabsill process and its settings.
type instance struct {
	platformtest.Instance
	settingsPath string

	mu      sync.Mutex
	process *harness.Process
}

// currentProcess returns the process that was started last.
func (i *instance) currentProcess() *harness.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

// deployment is a running system. The instances are separate processes; the store,
// the replicas and the links to them are stand-ins in the process of the test.
type deployment struct {
	t          *testing.T
	dir        string
	supervisor *harness.Supervisor
	store      *platformtest.Store
	link       *link.Proxy
	replicas   []*platformtest.Replica
	addresses  []string // of the replicas, through the links
	shards     []string
	// connections is how many connections the replicas of shards accept.
	connections int
	instances   []*instance
}

// retrySettings gives the instances a retry budget, so that they send repeats.
const retrySettings = "[retry]\nratio = 0.2\nslack = 50\n"

func startDeployment(t *testing.T, connections int) *deployment {
	d := &deployment{t: t, connections: connections, dir: t.TempDir(), store: platformtest.NewStore(t)}
	d.supervisor = harness.NewSupervisor(d.dir)
	t.Cleanup(func() { d.supervisor.Close() })
	build := exec.Command("go", "build", "-o", d.dir+"/", "github.com/baobabsill/baobabsill/cmd/baobabsill")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	spec := link.Spec{Prefixes: map[string]string{"127.0.1.": "near", "127.0.2.": "far"}}
	spec.Routes = append(spec.Routes, link.Route{Advertised: "127.0.0.1:0", Forward: d.store.Address(), Zone: "store"})
	addReplica := func(service string, zone string, body string) {
		r := platformtest.NewReplica(t, fmt.Sprintf("%s-%s", service, zone), service, zone, body)
		d.replicas = append(d.replicas, r)
		spec.Routes = append(spec.Routes, link.Route{Advertised: "127.0.0.1:0", Forward: r.Address(), Zone: "at " + zone})
	}
	for _, z := range zones {
		addReplica("s", z, "done by s-"+z)
	}
	for i := range shardCount {
		name := fmt.Sprintf("x%d", i)
		d.shards = append(d.shards, name)
		for _, z := range zones {
			addReplica(name, z, shardBody(name))
		}
	}
	d.link = link.New(spec)
	if err := d.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.link.Close)
	addresses := d.link.Addresses()
	d.addresses = addresses[1:]
	d.putReplicas()
	d.store.Put(platformtest.KindConfig, "main", d.config(1))
	for z, zone := range zones {
		for n := range instancesPerZone {
			i := &instance{Instance: platformtest.NewInstance(t, fmt.Sprintf("%s-%d", zone, n), zone, fmt.Sprintf("127.0.%d.1", z+1))}
			i.Contact, i.Grace, i.MaxInFlight, i.ExtraSettings = contact, grace, 200, retrySettings
			i.settingsPath = filepath.Join(d.dir, i.Name+".ini")
			i.WriteSettings(t, i.settingsPath, addresses[0])
			d.instances = append(d.instances, i)
			d.startInstance(i)
		}
	}
	d.waitUntilReady()
	return d
}

// config returns a version of the configuration.
func (d *deployment) config(version int) map[string]any {
	return platformtest.LimitConnections(platformtest.Config(version, d.shards...), d.connections, d.shards...)
}

// putReplicas writes the entries of all replicas.
func (d *deployment) putReplicas() {
	for i, r := range d.replicas {
		s := r.Spec("ready")
		s["address"] = d.addresses[i]
		d.store.Put(platformtest.KindReplicas, r.ID, s)
	}
}

// shardBody returns the records of a shard in descending order.
func shardBody(shard string) string {
	var b strings.Builder
	for i := range recordsPerShard {
		fmt.Fprintf(&b, "%04d-%-11s", 9000-i, shard)
	}
	return b.String()
}

// startInstance starts an instance and waits until its process has written to its
// log. A signal that arrives earlier would end the process, as it cannot handle
// signals yet.
func (d *deployment) startInstance(i *instance) {
	p, err := d.supervisor.Start(i.Name, filepath.Join(d.dir, "baobabsill"), "edge", "--config", i.settingsPath)
	if err != nil {
		d.t.Errorf("%s: %v", i.Name, err)
		return
	}
	i.mu.Lock()
	i.process = p
	i.mu.Unlock()
	for end := time.Now().Add(startTimeout); d.supervisor.Tail(i.Name) == "" && !p.HasEnded(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Errorf("%s has logged nothing since its start", i.Name)
			return
		}
	}
}

// restartGracefully stops an instance within stopTimeout and starts it again.
func (d *deployment) restartGracefully(i *instance) {
	if err := harness.Stop(stopTimeout, i.currentProcess()); err != nil {
		d.t.Errorf("%s: stop: %v\n%s", i.Name, err, d.supervisor.Tail(i.Name))
	}
	d.startInstance(i)
}

func (d *deployment) killAndRestart(i *instance, down time.Duration) {
	i.currentProcess().Kill()
	time.Sleep(down)
	d.startInstance(i)
}

func (d *deployment) pause(i *instance, length time.Duration) {
	d.signal(i, syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(i, syscall.SIGCONT)
}

func (d *deployment) signal(i *instance, sig syscall.Signal) {
	if p := i.currentProcess(); p.Signal(sig) != nil && !p.HasEnded() {
		d.t.Errorf("%s: %v was not delivered", i.Name, sig)
	}
}

func (d *deployment) changeLink(c link.Change) {
	if err := d.link.Apply(c); err != nil {
		d.t.Error(err)
	}
}

// waitUntilReady waits until all instances are ready.
func (d *deployment) waitUntilReady() {
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

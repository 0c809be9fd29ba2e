package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/link"
	"github.com/baobabsill/baobabsill/standin/platform"
)

// Cluster is a deployment on loopback. The instances, the platform stand-in, the
// link stand-in and the targets of each zone are processes, which Start starts
// and Close kills.
type Cluster struct {
	Topology  Topology
	Instances []Instance
	Processes map[string]*Process // by instance name
	Platform  *AdminClient
	Link      *AdminClient
	Targets   map[string]*AdminClient // by zone
	// Launcher is a program with its first arguments that runs the command line of an
	// instance, which follows. Empty if instances are started directly.
	Launcher []string

	bin, dir        string
	platformAddress string // IP:port
	supervisor      *Supervisor
}

// NewCluster returns a cluster that is not started. The programs are taken
// from the directory bin; files are written to dir.
func NewCluster(t Topology, bin, dir string) *Cluster {
	return &Cluster{Topology: t, bin: bin, dir: dir, supervisor: NewSupervisor(dir),
		Processes: map[string]*Process{}, Targets: map[string]*AdminClient{}}
}

// Start starts the stand-ins, applies the configuration, writes the shard maps
// and starts the instances. It returns when all instances are ready.
func (c *Cluster) Start(ctx context.Context, snapshot string) error {
	if err := c.startStandins(ctx, snapshot); err != nil {
		return err
	}
	if err := c.Apply(ctx, c.Topology.Document); err != nil {
		return err
	}
	for _, s := range c.Topology.Document.Searches {
		if err := c.Platform.Put(ctx, "shardmap/"+s.Name, ShardMap(s, snapshot)); err != nil {
			return err
		}
	}
	for _, i := range c.Instances {
		if err := c.StartInstance(i); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

func (c *Cluster) startStandins(ctx context.Context, snapshot string) error {
	platformAddress, err := c.startStandin(ctx, "platform", "platform")
	if err != nil {
		return err
	}
	c.platformAddress, c.Platform = platformAddress, NewAdminClient(platformAddress)
	if err := c.Platform.Post(ctx, "/admin/fault", platform.Fault{ListLagMS: &c.Topology.ListLagMS}); err != nil {
		return err
	}
	for _, z := range c.Topology.Zones(platformAddress, snapshot) {
		file, err := c.writeJSON("targets-"+z.Zone, z)
		if err != nil {
			return err
		}
		admin, err := c.startStandin(ctx, "targets-"+z.Zone, "targets", "--config", file)
		if err != nil {
			return err
		}
		c.Targets[z.Zone] = NewAdminClient(admin)
	}
	spec := link.Spec{AdminListen: "127.0.0.1:0", Prefixes: map[string]string{}, Seed: c.Topology.Seed,
		DelayMS: c.Topology.ZoneDelayMS, JitterMS: c.Topology.ZoneJitterMS}
	var open []net.Listener
	for zone, n := range c.Topology.Instances {
		name := c.Topology.Document.Zones[zone].Name
		spec.Prefixes[ZonePrefix(zone)] = name
		for k := range n {
			ip := fmt.Sprintf("%s%d", ZonePrefix(zone), k+1)
			ports, err := freeAddresses(ip, 3, &open)
			if err != nil {
				return err
			}
			c.Instances = append(c.Instances, Instance{Name: fmt.Sprintf("%s-%d", name, k+1), Zone: name,
				Peer: ports[0], PeerListen: ports[1], CallerAddress: ports[2], CallerListen: ports[2]})
			spec.Routes = append(spec.Routes, link.Route{Advertised: ports[0], Forward: ports[1], Zone: name})
		}
	}
	for _, l := range open {
		_ = l.Close()
	}
	file, err := c.writeJSON("link", spec)
	if err != nil {
		return err
	}
	admin, err := c.startStandin(ctx, "link", "link", "--config", file)
	c.Link = NewAdminClient(admin)
	return err
}

// freeAddresses returns n addresses of an IP with free ports. It appends their
// listeners to open; the caller closes them once all ports are chosen, so that
// no port is chosen twice.
func freeAddresses(ip string, n int, open *[]net.Listener) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		*open = append(*open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (c *Cluster) startStandin(ctx context.Context, name, program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	address, err := c.supervisor.StartListening(ctx, name, filepath.Join(c.bin, program), args...)
	return address, err
}

func (c *Cluster) writeJSON(name string, v any) (string, error) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.dir, name+".json")
	return file, os.WriteFile(file, b, 0o600)
}

// StartInstance writes the settings of an instance and starts its process, for
// the first time or after the previous process has ended.
func (c *Cluster) StartInstance(i Instance) error {
	file := filepath.Join(c.dir, i.Name+".ini")
	if err := os.WriteFile(file, []byte(c.Topology.settingsFile(i, c.Instances, c.platformAddress)), 0o600); err != nil {
		return err
	}
	command := append(slices.Clone(c.Launcher), filepath.Join(c.bin, "baobabsill"), "run", "--config", file)
	p, err := c.supervisor.Start(i.Name, command[0], command[1:]...)
	if err == nil {
		c.Processes[i.Name] = p
	}
	return err
}

func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, i := range c.Instances {
		for !IsReady(ctx, i) {
			p := c.Processes[i.Name]
			if p.HasEnded() {
				return fmt.Errorf("instance %s ended: %v; %s", i.Name, p.Err(), c.supervisor.Tail(i.Name))
			}
			if ctx.Err() != nil {
				return fmt.Errorf("instance %s did not become ready: %s", i.Name, c.supervisor.Tail(i.Name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// IsReady reports whether an instance answers its readiness check with 200.
func IsReady(ctx context.Context, i Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Apply applies a configuration with baobabsillctl.
func (c *Cluster) Apply(ctx context.Context, d declare.Document) error {
	file, err := c.writeJSON("config", d)
	if err != nil {
		return err
	}
	return c.RunCtl(ctx, "apply", file)
}

// RunCtl runs baobabsillctl against the platform stand-in.
func (c *Cluster) RunCtl(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "baobabsillctl"), append(args, "--platform", c.platformAddress)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("baobabsillctl %s: %w: %s", args[0], err, out)
	}
	return nil
}

// StopInstances stops all running instances. The error names those that did not
// stop gracefully.
func (c *Cluster) StopInstances(timeout time.Duration) error {
	var running []*Process
	for _, p := range c.Processes {
		if p.HasEnded() {
			continue
		}
		running = append(running, p)
	}
	return Stop(timeout, running...)
}

// Close kills all processes that still run.
func (c *Cluster) Close() { c.supervisor.Close() }

// ErrNoInstance means that the balancer knows no ready instance.
var ErrNoInstance = errors.New("no ready instance")

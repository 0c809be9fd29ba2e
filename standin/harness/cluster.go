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
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/standin/link"
	"github.com/baobabsill/baobabsill/standin/platform"
)

// Cluster is a running deployment.
type Cluster struct {
	Topology  Topology
	Instances []Instance
	Processes map[string]*Process // by instance name
	Platform  *Admin
	Link      *Admin
	Targets   map[string]*Admin // by zone

	bin, dir string
	address  string // of the platform, IP:port
	sup      *Supervisor
}

// NewCluster returns a cluster that is not started. The programs are taken
// from the directory bin; files are written to dir.
func NewCluster(t Topology, bin, dir string) *Cluster {
	return &Cluster{Topology: t, bin: bin, dir: dir, sup: NewSupervisor(dir),
		Processes: map[string]*Process{}, Targets: map[string]*Admin{}}
}

// Start starts the stand-ins, applies the configuration, puts the shard maps
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
	address, err := c.standin(ctx, "platform", "platform")
	if err != nil {
		return err
	}
	c.address, c.Platform = address, NewAdmin(address)
	if err := c.Platform.Post(ctx, "/admin/fault", platform.Fault{ListLagMS: &c.Topology.ListLagMS}); err != nil {
		return err
	}
	for _, z := range c.Topology.Zones(address, snapshot) {
		file, err := c.writeJSON("targets-"+z.Zone, z)
		if err != nil {
			return err
		}
		admin, err := c.standin(ctx, "targets-"+z.Zone, "targets", "--config", file)
		if err != nil {
			return err
		}
		c.Targets[z.Zone] = NewAdmin(admin)
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
				Peer: ports[0], PeerListen: ports[1], Caller: ports[2], CallerListen: ports[2]})
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
	admin, err := c.standin(ctx, "link", "link", "--config", file)
	c.Link = NewAdmin(admin)
	return err
}

// freeAddresses returns addresses with ports that were free. The listeners
// stay open until all ports are chosen, so that no port is chosen twice.
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

func (c *Cluster) standin(ctx context.Context, name, program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	address, err := c.sup.StartListening(ctx, name, filepath.Join(c.bin, program), args...)
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

// StartInstance starts an instance, for the first time or again.
func (c *Cluster) StartInstance(i Instance) error {
	file := filepath.Join(c.dir, i.Name+".ini")
	if err := os.WriteFile(file, []byte(c.Topology.settings(i, c.Instances, c.address)), 0o600); err != nil {
		return err
	}
	p, err := c.sup.Start(i.Name, filepath.Join(c.bin, "baobabsill"), "run", "--config", file)
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
				return fmt.Errorf("instance %s ended: %v; %s", i.Name, p.Err(), c.sup.Tail(i.Name))
			}
			if ctx.Err() != nil {
				return fmt.Errorf("instance %s does not get ready; %s", i.Name, c.sup.Tail(i.Name))
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Caller+"/readyz", nil)
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

// Apply applies a configuration with the operators' command.
func (c *Cluster) Apply(ctx context.Context, d declare.Document) error {
	file, err := c.writeJSON("config", d)
	if err != nil {
		return err
	}
	return c.Ctl(ctx, "apply", file)
}

// Ctl runs the operators' command against the platform stand-in.
func (c *Cluster) Ctl(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "baobabsillctl"), append(args, "--platform", c.address)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("baobabsillctl %s: %w: %s", args[0], err, out)
	}
	return nil
}

// StopInstances stops all instances that run and returns those that did not
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

// Close kills what still runs.
func (c *Cluster) Close() { c.sup.Close() }

// ErrNoInstance means that the balancer knows no ready instance.
var ErrNoInstance = errors.New("no ready instance")

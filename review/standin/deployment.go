package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Zones and regions of the small deployment huber-flags.
var zones = []struct{ name, region string }{
	{"muenchen-ost", "oberbayern"}, {"augsburg-hall", "schwaben"}, {"nuernberg-lager", "franken"},
}

// instance is one process of the system.
type instance struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	ended                chan struct{} // closed when the process has ended
}

// deployment is a small deployment on loopback: an instance in each zone, the store
// and the replicas.
type deployment struct {
	dir       string
	rec       *record
	store     *store
	instances []*instance
	replicas  []*replica
}

func newDeployment(dir string, rec *record) (*deployment, error) {
	s, err := startStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, rec: rec, store: s}, nil
}

// addReplica starts a replica and enters it in the store.
func (d *deployment) addReplica(id, service, zone string, slots int, o linkOptions, behave func(*arrival) bool) (*replica, error) {
	r, err := startReplica("127.0.0.1", id, service, zone, slots, o, behave)
	if err == nil {
		d.replicas = append(d.replicas, r)
		d.store.put("servers", id, r.spec(1))
	}
	return r, err
}

// heartbeatInterval is that of the deployment.
const heartbeatInterval = 1200 * time.Millisecond

func (d *deployment) heartbeats() {
	for sequence := 2; ; sequence++ {
		time.Sleep(heartbeatInterval)
		for _, r := range d.replicas {
			d.store.put("servers", r.id, r.spec(sequence))
		}
	}
}

// settings is what the deploy file's template gives for an instance of huber-flags.
const settings = `[instance]
name = %s
zone = %s
region = %s
zones = muenchen-ost:oberbayern,augsburg-hall:schwaben,nuernberg-lager:franken
caller_listen = %s
ready_listen = %s
metrics_listen = %s
peer_listen = %s
seeds = %s
first_start = true

[platform]
address = %s
contact = 5000ms
heartbeat = 1200ms

[shutdown]
grace = 6s

[limits]
cpu_share = 0.4
cpu_speed = 1

[retry]
ratio = 0.2
slack = 56
window = 10s

[cold]
overage = 1.5
slack = 5
`

// start starts an instance in each zone and waits until they are ready.
func (d *deployment) start() error {
	go d.heartbeats()
	var addresses [][]string
	var seeds []string
	for i := range zones {
		list, err := freeAddresses(fmt.Sprintf("127.0.%d.1", i+1), 4)
		if err != nil {
			return err
		}
		addresses, seeds = append(addresses, list), append(seeds, list[3])
	}
	for i, z := range zones {
		a := addresses[i]
		in := &instance{name: "frontend-" + z.name + "-1", callers: a[0], ready: a[1], ended: make(chan struct{})}
		path := filepath.Join(d.dir, in.name+".ini")
		text := fmt.Sprintf(settings, in.name, z.name, z.region, a[0], a[1], a[2], a[3], strings.Join(seeds, ","), d.store.address)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.dir, in.name+".log"))
		if err != nil {
			return err
		}
		// The command of the deploy file, in the root of the repository.
		in.cmd = exec.Command("target/baobabsill", "edge")
		in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "BAOBABSILL_SETTINGS=" + path}
		in.cmd.Stdout, in.cmd.Stderr = log, log
		in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := in.cmd.Start(); err != nil {
			return err
		}
		go func() {
			_ = in.cmd.Wait()
			close(in.ended)
		}()
		d.instances = append(d.instances, in)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range d.instances {
			if resp, err := http.Get("http://" + in.ready + "/v1/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.instances) && d.store.count("daemons") == len(d.instances) {
			time.Sleep(2 * time.Second) // until all instances know each other
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, len(d.instances))
		}
	}
}

// stop ends all processes that the deployment has started.
func (d *deployment) stop() {
	for _, in := range d.instances {
		_ = in.cmd.Process.Kill()
	}
	for _, in := range d.instances {
		<-in.ended
	}
}

// freeAddresses returns n free addresses of an IP, below the ports of outgoing
// connections.
func freeAddresses(ip string, n int) ([]string, error) {
	var list []string
	for port := 10000 + os.Getpid()%15000; len(list) < n && port < 32000; port++ {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		list = append(list, ln.Addr().String())
		ln.Close()
	}
	if len(list) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return list, nil
}

// config returns a configuration with the limits of huber-flags.
func config(version int, routes []map[string]any, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 2000, "idle-timeout-ms": 30000},
	}
}

func service(name string, connections int) map[string]any {
	return map[string]any{
		"name": name, "health-check-path": "/health", "max-connections": connections, "warmup-s": 3, "warmup-per-s": 0,
		"protocol": "http1", "tls": false,
	}
}

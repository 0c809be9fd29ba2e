package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // a file
}

// instance is one process of `baobabsill edge`.
type instance struct {
	name, callers, ready, metrics, peers string
	root, settings                       string
	command                              *exec.Cmd
	done                                 chan struct{} // closed when the process has ended
}

// settingsFormat is deploy/settings.ini.tmpl, filled in with the values of
// huber-flags.toml. All addresses are loopback addresses.
const settingsFormat = `[instance]
name = %s
zone = muenchen-ost
region = oberbayern
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
memory = 284MB
descriptors = 4100
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

// deployment is a store, replicas and instances.
type deployment struct {
	rec       *record
	dir       string
	store     *store
	storeAddr string // that instances are told
	instances []*instance
	mu        sync.Mutex
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "baobabsill-case-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, dir: dir, store: s, storeAddr: s.addr}, nil
}

// Ports of instances are below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	for {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.Intn(portCount)))
		if err != nil {
			continue
		}
		return ln.Addr().String(), ln.Close()
	}
}

// startInstance starts the command of the deploy file in the root of the repository.
func (d *deployment) startInstance(root, name string) (*instance, error) {
	i := &instance{name: name}
	for _, a := range []*string{&i.callers, &i.ready, &i.metrics, &i.peers} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	seed := i.peers
	if len(d.instances) > 0 {
		seed = d.instances[0].peers
	}
	i.settings = filepath.Join(d.dir, name+".ini")
	text := fmt.Sprintf(settingsFormat, name, i.callers, i.ready, i.metrics, i.peers, seed, d.storeAddr)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	i.root = root
	if err := i.start(filepath.Join(d.dir, name+".log")); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.instances = append(d.instances, i)
	d.mu.Unlock()
	return i, nil
}

// start starts the process of the instance. Its output goes to the end of the file log.
func (i *instance) start(log string) error {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.done = make(chan struct{})
	i.command = exec.Command("target/baobabsill", "edge")
	i.command.Dir = i.root
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABSILL_SETTINGS=" + i.settings}
	i.command.Stdout, i.command.Stderr = out, out
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	go func(command *exec.Cmd, done chan struct{}) {
		command.Wait() //nolint:errcheck // the end itself matters
		close(done)
	}(i.command, i.done)
	return nil
}

// keepRunning starts processes again that have ended, as the platform does, until a time.
// The function that it returns waits for that time and returns how often each has ended.
func (d *deployment) keepRunning(end time.Time) (ends func() map[string]int) {
	counts := map[string]int{}
	var watchers sync.WaitGroup
	var mu sync.Mutex
	for _, i := range d.instances {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for {
				select {
				case <-time.After(time.Until(end)):
					return
				case <-i.done:
				}
				mu.Lock()
				counts[i.name]++
				mu.Unlock()
				d.rec.printf("the process of %s has ended", i.name)
				time.Sleep(restartDelay)
				if err := i.start(filepath.Join(d.dir, i.name+".log")); err != nil {
					d.rec.printf("%s is not started again: %v", i.name, err)
					return
				}
			}
		}()
	}
	return func() map[string]int {
		watchers.Wait()
		return counts
	}
}

// settleTime is how long instances learn of each other after their start. Traffic starts
// 10 s after the machines do on the users' platform.
const settleTime = 8 * time.Second

// startInstances starts some instances and waits until they take clients.
func (d *deployment) startInstances(root string, count int) error {
	for n := range count {
		if _, err := d.startInstance(root, fmt.Sprintf("frontend-muenchen-ost-%d", n+1)); err != nil {
			return err
		}
	}
	return d.awaitInstances()
}

// awaitInstances waits until all instances take clients and know each other.
func (d *deployment) awaitInstances() error {
	for _, i := range d.instances {
		if err := i.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// awaitReady waits until the instance tells the balancer that it takes clients.
func (i *instance) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + i.ready + "/v1/ready")
		if err != nil {
			continue
		}
		resp.Body.Close() //nolint:errcheck // only the status is used
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready after %v", i.name, timeout)
}

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// close ends all processes that the deployment has started.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.command.Process.Kill() //nolint:errcheck // it may have ended
		<-i.done
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir) //nolint:errcheck // a temporary folder
	} else {
		fmt.Fprintln(os.Stderr, d.dir)
	}
}

// client is a connection of a client to an instance.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// reply is a client's view of an answer.
type reply struct {
	status int
	header http.Header
	body   string
	// closes is set if the connection must not be used again.
	closes bool
}

func (r reply) String() string {
	return fmt.Sprintf("%d, stamp %q, %d bytes of body", r.status, r.header.Get("X-Server-Stamp"), len(r.body))
}

// read reads one answer to a request of a method.
func (c *client) read(method string, timeout time.Duration) (reply, error) {
	c.SetReadDeadline(time.Now().Add(timeout)) //nolint:errcheck // the read fails then
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return reply{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), resp.Close}, err
}

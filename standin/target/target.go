package target

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is one replica on its own port. It is safe for concurrent use.
type Target struct {
	zone    string
	service string
	name    string
	address string // fixed at the first start

	mu          sync.Mutex
	behaviour   Behaviour
	timing      *timing
	snapshots   map[string]Snapshot
	counts      Counts
	runs        map[string]int // execute keys
	incarnation int
	server      *http.Server
	open        int // connections
	running     int
	cancelled   int64
	// coldSince is zero when warm. warned is set once a sender could know of
	// the present cold state: from a shed reply, or with warnsByAnswer from an
	// answer, which names the new incarnation.
	coldSince     time.Time
	coldAnswers   int
	warned        bool
	warnsByAnswer bool
	fallenUntil   time.Time
	pauseUntil    time.Time
	slow          time.Duration
	drain         DrainMode
	drainedAt     time.Time
	zoneOutAt     time.Time
	spoil         spoil
	last          answer
}

// DrainMode says how a target shows that it leaves.
type DrainMode string

// Drain modes. A target refuses new requests in DrainRefuse only.
const (
	DrainNone     DrainMode = ""
	DrainAnnounce DrainMode = "announce" // X-Drain and the instance list
	DrainHeader   DrainMode = "header"   // X-Drain only
	DrainList     DrainMode = "list"     // instance list only
	DrainRefuse   DrainMode = "refuse"   // 503 draining and the instance list
	DrainSilent   DrainMode = "silent"   // no sign; only the arrivals are counted
)

// New returns a target that is not started.
func New(zone string, spec Spec) *Target {
	t := &Target{
		zone: zone, service: spec.Service, name: spec.Name, address: spec.Listen,
		behaviour: spec.Behaviour, timing: newTiming(spec.Behaviour.Seed),
		snapshots: map[string]Snapshot{}, runs: map[string]int{},
	}
	for _, s := range spec.Snapshots {
		t.snapshots[s.ID] = s
	}
	t.counts.Refused = map[string]int64{}
	return t
}

// Start listens and serves as a new, cold incarnation. A restart takes the
// address of the first start.
func (t *Target) Start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return fmt.Errorf("target %s runs already", t.name)
	}
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.address = l.Addr().String()
	t.incarnation++
	t.drain, t.drainedAt = DrainNone, time.Time{}
	t.fallenUntil, t.pauseUntil = time.Time{}, time.Time{}
	t.goColdLocked(time.Now(), true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", t.serveSearch)
	mux.HandleFunc("POST /execute", t.serveExecute)
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	t.server = srv
	go func() { _ = srv.Serve(&listener{l, t}) }()
	return nil
}

// Kill closes the port and all connections at once.
func (t *Target) Kill() {
	t.mu.Lock()
	srv := t.server
	t.server = nil
	t.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Address returns the IP and port that the target listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Incarnation returns the name of the present incarnation.
func (t *Target) Incarnation() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnationLocked()
}

func (t *Target) incarnationLocked() string { return fmt.Sprintf("%s-%d", t.name, t.incarnation) }

// Counts returns a copy of what the target recorded.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Refused = maps.Clone(c.Refused)
	c.Service, c.Zone, c.Address = t.service, t.zone, t.address
	c.Cold = t.isColdLocked(time.Now())
	c.Connections = t.open
	return c
}

// Runs returns how often each execute key ran here.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// setZoneOut notes when the zone was taken out; the zero time ends it.
func (t *Target) setZoneOut(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneOutAt = at
}

func (t *Target) goColdLocked(now time.Time, newIncarnation bool) {
	t.coldSince, t.coldAnswers, t.warned, t.warnsByAnswer = now, 0, false, newIncarnation
	if t.behaviour.ColdMS <= 0 && t.behaviour.ColdRequests <= 0 {
		t.coldSince = time.Time{}
	}
}

func (t *Target) isColdLocked(now time.Time) bool {
	b := t.behaviour
	if !t.coldSince.IsZero() {
		timeUp := b.ColdMS > 0 && now.Sub(t.coldSince) >= millis(b.ColdMS)
		enough := b.ColdRequests > 0 && t.coldAnswers >= b.ColdRequests
		if timeUp || enough {
			t.coldSince = time.Time{}
		}
	}
	return !t.coldSince.IsZero()
}

// listener enforces the connection limit and the set-up delay.
type listener struct {
	net.Listener
	t *Target
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t := l.t
		t.mu.Lock()
		if t.open >= t.behaviour.Connections {
			t.counts.RefusedConnections++
			t.mu.Unlock()
			_ = c.Close()
			continue
		}
		t.open++
		t.counts.MaxConnections = max(t.counts.MaxConnections, t.open)
		ready := time.Now().Add(millis(t.behaviour.ConnectMS))
		t.mu.Unlock()
		return &conn{Conn: c, t: t, ready: ready}, nil
	}
}

// conn delays its first read until the set-up time has passed.
type conn struct {
	net.Conn
	t     *Target
	ready time.Time
	setUp sync.Once
	once  sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.setUp.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.t.mu.Lock()
		c.t.open--
		c.t.mu.Unlock()
	})
	return c.Conn.Close()
}

// sleep waits for d, and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

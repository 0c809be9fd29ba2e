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

// Target is one replica of a service on its own port. Each Start begins a new
// incarnation, which is cold until isColdLocked finds that the cold start is over;
// Change can drain it, make it cold again or make its answers faulty. It is safe for
// concurrent use.
type Target struct {
	zone    string
	service string
	name    string
	address string // fixed at the first start

	mu              sync.Mutex
	behaviour       Behaviour
	timing          *timing
	snapshots       map[string]Snapshot
	counts          Counts
	runs            map[string]int // by execute key
	incarnation     int
	server          *http.Server
	openConnections int
	runningRequests int
	cancelled       int64 // requests
	// coldSince is zero when warm. warned is set once a sender could know of the
	// current cold start: from a shed reply or, with answersWarn, from an answer.
	// Answers show a cold start only if it began a new incarnation, which they name.
	coldSince        time.Time
	coldAnswers      int
	warned           bool
	answersWarn      bool
	shedUntil        time.Time
	pauseUntil       time.Time
	extraServiceTime time.Duration
	drain            DrainMode
	drainedAt        time.Time
	zoneOutAt        time.Time
	answerFaults     answerFaults
	previousAnswer   answer
}

// DrainMode says how a draining target shows that it is leaving.
type DrainMode string

// Drain modes. Only in DrainRefuse does a target refuse new requests.
const (
	DrainNone     DrainMode = ""
	DrainAnnounce DrainMode = "announce" // X-Drain and the instance list
	DrainHeader   DrainMode = "header"   // X-Drain only
	DrainList     DrainMode = "list"     // instance list only
	DrainRefuse   DrainMode = "refuse"   // 503 draining, X-Drain and the instance list
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

// Start listens and serves as a new, cold incarnation. A restart listens on the
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
	t.shedUntil, t.pauseUntil = time.Time{}, time.Time{}
	t.startColdLocked(time.Now(), true)
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
	c.Connections = t.openConnections
	return c
}

// Runs returns how often each execute key ran here.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// setZoneOutAt sets when the zone was taken out; the zero time means that it is in.
func (t *Target) setZoneOutAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneOutAt = at
}

func (t *Target) startColdLocked(now time.Time, newIncarnation bool) {
	t.coldSince, t.coldAnswers, t.warned, t.answersWarn = now, 0, false, newIncarnation
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

// listener enforces the limit of connections and gives each its set-up time.
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
		if t.openConnections >= t.behaviour.Connections {
			t.counts.RefusedConnections++
			t.mu.Unlock()
			_ = c.Close()
			continue
		}
		t.openConnections++
		t.counts.MaxConnections = max(t.counts.MaxConnections, t.openConnections)
		ready := time.Now().Add(millis(t.behaviour.ConnectMS))
		t.mu.Unlock()
		return &conn{Conn: c, t: t, ready: ready}, nil
	}
}

// conn delays its first read until the set-up time has passed.
type conn struct {
	net.Conn
	t         *Target
	ready     time.Time
	setUpOnce sync.Once
	closeOnce sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.setUpOnce.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.t.mu.Lock()
		c.t.openConnections--
		c.t.mu.Unlock()
	})
	return c.Conn.Close()
}

// sleep waits for d. It returns false if the context ended first.
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

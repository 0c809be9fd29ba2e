package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/standin/platform"
)

// Change is the body of POST /admin/targets/{name}. Absent fields change nothing.
type Change struct {
	Cold    bool       `json:"cold,omitempty"`  // begins a cold start without a new incarnation
	Drain   *DrainMode `json:"drain,omitempty"` // "" ends a drain
	SlowMS  *float64   `json:"slow_ms,omitempty"`
	PauseMS float64    `json:"pause_ms,omitempty"` // length of one pause that begins now
	// DropSnapshot and AddSnapshot change the index snapshots that are held.
	DropSnapshot string    `json:"drop_snapshot,omitempty"`
	AddSnapshot  *Snapshot `json:"add_snapshot,omitempty"`
	Kill         bool      `json:"kill,omitempty"`
	Restart      bool      `json:"restart,omitempty"`
	// Late, Crossed, Truncated and Duplicated say how many of the next answers are
	// faulty in that way.
	Late       int        `json:"late,omitempty"`
	LateMS     float64    `json:"late_ms,omitempty"`
	Crossed    int        `json:"crossed,omitempty"`
	Truncated  int        `json:"truncated,omitempty"`
	Duplicated int        `json:"duplicated,omitempty"`
	Behaviour  *Behaviour `json:"behaviour,omitempty"`
}

// Zone runs all targets of one availability zone and their admin endpoint, and
// registers them in the platform's instance list.
type Zone struct {
	spec    ZoneSpec
	names   []string
	targets map[string]*Target
	client  *http.Client

	mu     sync.Mutex
	admin  *http.Server
	listen net.Listener
}

// NewZone returns a zone that is not started.
func NewZone(spec ZoneSpec) *Zone {
	z := &Zone{spec: spec, targets: map[string]*Target{}, client: &http.Client{Timeout: 2 * time.Second}}
	for _, s := range spec.Targets {
		z.names = append(z.names, s.Name)
		z.targets[s.Name] = New(spec.Zone, s)
	}
	return z
}

// Target returns a target by name, or nil.
func (z *Zone) Target(name string) *Target { return z.targets[name] }

// AdminAddress returns the IP and port of the admin endpoint.
func (z *Zone) AdminAddress() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.listen.Addr().String()
}

// Start starts all targets and the admin endpoint, and registers the targets.
func (z *Zone) Start(ctx context.Context) error {
	for _, name := range z.names {
		if err := z.targets[name].Start(); err != nil {
			z.Close()
			return err
		}
	}
	l, err := net.Listen("tcp", z.spec.AdminListen)
	if err != nil {
		z.Close()
		return err
	}
	z.mu.Lock()
	z.listen = l
	z.admin = &http.Server{Handler: z.Handler(), ReadHeaderTimeout: 10 * time.Second}
	srv := z.admin
	z.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return z.register(ctx, z.names...)
}

// Close kills all targets. It does not change the instance list.
func (z *Zone) Close() {
	z.mu.Lock()
	if z.admin != nil {
		_ = z.admin.Close()
	}
	z.mu.Unlock()
	for _, t := range z.targets {
		t.Kill()
	}
}

// register writes the current state of targets to the platform's instance list.
func (z *Zone) register(ctx context.Context, names ...string) error {
	if z.spec.Platform == "" {
		return nil
	}
	var u platform.InstancesUpdate
	for _, name := range names {
		u.Items = append(u.Items, z.targets[name].listEntry())
	}
	body, err := json.Marshal(u)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, z.spec.Platform+"/admin/instances", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := z.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("register targets: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (t *Target) listEntry() platform.ListedTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := "live"
	switch t.drain {
	case DrainAnnounce, DrainList, DrainRefuse:
		state = "leaving"
	}
	return platform.ListedTarget{Service: t.service, Name: t.name, Incarnation: t.incarnationLocked(),
		Zone: t.zone, Address: t.address, State: state}
}

// Apply applies a change to a target. It updates the instance list if the target
// was restarted or its drain mode set, but not after a kill alone.
func (z *Zone) Apply(ctx context.Context, name string, c Change) error {
	t := z.targets[name]
	if t == nil {
		return fmt.Errorf("no target %q in zone %s", name, z.spec.Zone)
	}
	if c.Kill || c.Restart {
		t.Kill()
	}
	if c.Restart {
		if err := t.Start(); err != nil {
			return err
		}
	}
	t.apply(c, time.Now())
	if c.Restart || c.Drain != nil {
		return z.register(ctx, name)
	}
	return nil
}

func (t *Target) apply(c Change, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Behaviour != nil {
		t.behaviour = *c.Behaviour
	}
	if c.Cold {
		t.startColdLocked(now, false)
	}
	if c.Drain != nil {
		t.drain = *c.Drain
		t.drainedAt = time.Time{}
		if t.drain != DrainNone {
			t.drainedAt = now
		}
	}
	if c.SlowMS != nil {
		t.extraServiceTime = millis(*c.SlowMS)
	}
	if c.PauseMS > 0 {
		t.pauseUntil = now.Add(millis(c.PauseMS))
	}
	delete(t.snapshots, c.DropSnapshot)
	if c.AddSnapshot != nil {
		t.snapshots[c.AddSnapshot.ID] = *c.AddSnapshot
	}
	t.answerFaults.late += c.Late
	if c.LateMS > 0 {
		t.answerFaults.lateBy = millis(c.LateMS)
	}
	t.answerFaults.crossed += c.Crossed
	t.answerFaults.truncated += c.Truncated
	t.answerFaults.duplicated += c.Duplicated
}

// SetZoneOut records at the targets that their zone was taken out, so that they count
// later arrivals, or that it is back in.
func (z *Zone) SetZoneOut(out bool) {
	var at time.Time
	if out {
		at = time.Now()
	}
	for _, t := range z.targets {
		t.setZoneOutAt(at)
	}
}

// Counts returns the counts of all targets by name.
func (z *Zone) Counts() map[string]Counts {
	out := map[string]Counts{}
	for name, t := range z.targets {
		out[name] = t.Counts()
	}
	return out
}

// Runs returns the number of runs of each execute key in the zone.
func (z *Zone) Runs() map[string]int {
	out := map[string]int{}
	for _, t := range z.targets {
		for key, n := range t.Runs() {
			out[key] += n
		}
	}
	return out
}

// Handler returns the handler of the admin endpoint. The name "*" stands for all
// targets.
func (z *Zone) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/targets/{name}", func(w http.ResponseWriter, r *http.Request) {
		var c Change
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		names := []string{r.PathValue("name")}
		if names[0] == "*" {
			names = z.names
		}
		var errs []error
		for _, name := range names {
			errs = append(errs, z.Apply(r.Context(), name, c))
		}
		if err := errors.Join(errs...); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("POST /admin/zone", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Out bool }
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		z.SetZoneOut(b.Out)
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(z.Counts())
	})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(z.Runs())
	})
	return mux
}

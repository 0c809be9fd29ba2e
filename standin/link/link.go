// Package link is a TCP proxy for tests. It listens on the advertised addresses
// of instances or of other stand-ins, and puts the delay, loss and cuts between
// availability zones on the connections to them. It is never shipped.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Route forwards connections from an advertised address to the address that a
// server in the zone listens on.
type Route struct {
	Advertised string `json:"advertised"`
	Forward    string `json:"forward"`
	Zone       string `json:"zone"`
}

// Spec is the configuration of a proxy.
type Spec struct {
	AdminListen string `json:"admin_listen"`
	// Prefixes maps prefixes of source addresses to zones.
	Prefixes map[string]string `json:"prefixes"`
	Routes   []Route           `json:"routes"`
	// DelayMS is the one-way delay between zones; up to JitterMS is added.
	DelayMS  float64 `json:"delay_ms"`
	JitterMS float64 `json:"jitter_ms"`
	Seed     uint64  `json:"seed"`
}

// Change is the body of POST /admin/link. It changes the links between the zones
// A and B. With both empty it changes the defaults, which hold for each pair of
// zones until a change names that pair. Absent fields change nothing.
type Change struct {
	A string `json:"a"`
	B string `json:"b"`
	// Cut holds back all data between the zones until a change sets it to false.
	Cut *bool `json:"cut,omitempty"`
	// Reset closes the connections between the zones once.
	Reset    bool     `json:"reset,omitempty"`
	DelayMS  *float64 `json:"delay_ms,omitempty"`
	JitterMS *float64 `json:"jitter_ms,omitempty"`
	// LossShare is the share of chunks that arrive RetransmitMS later, as after a
	// lost packet. The chunks behind them on the same connection wait.
	LossShare    *float64 `json:"loss_share,omitempty"`
	RetransmitMS *float64 `json:"retransmit_ms,omitempty"`
}

type zonePair struct{ a, b string }

// makeZonePair returns the same pair for both orders of the zones.
func makeZonePair(a, b string) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

// pairState is the state of the links between two zones; times are in ms.
type pairState struct {
	delay, jitter float64
	loss          float64 // share of chunks
	retransmit    float64
	cutEnded      chan struct{} // nil if not cut; closed when the cut ends
}

// Proxy listens on the advertised address of each route and forwards the
// connections. It is safe for concurrent use.
type Proxy struct {
	spec Spec

	mu        sync.Mutex
	rng       *rand.Rand
	defaults  pairState
	pairs     map[zonePair]*pairState
	conns     map[net.Conn]zonePair
	listeners []net.Listener
	closed    bool
}

// New returns a proxy that is not started.
func New(spec Spec) *Proxy {
	return &Proxy{
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 0x117c)),
		defaults: pairState{delay: spec.DelayMS, jitter: spec.JitterMS},
		pairs:    map[zonePair]*pairState{}, conns: map[net.Conn]zonePair{},
	}
}

// Start listens on all advertised addresses.
func (r *Proxy) Start() error {
	for _, route := range r.spec.Routes {
		l, err := net.Listen("tcp", route.Advertised)
		if err != nil {
			r.Close()
			return err
		}
		r.mu.Lock()
		r.listeners = append(r.listeners, l)
		r.mu.Unlock()
		go r.accept(l, route)
	}
	return nil
}

// Addresses returns the addresses listened on, in the order of the routes.
func (r *Proxy) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, l := range r.listeners {
		out = append(out, l.Addr().String())
	}
	return out
}

// Close closes all listeners and connections.
func (r *Proxy) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

// Apply changes the links between two zones, or the defaults.
func (r *Proxy) Apply(c Change) error {
	if (c.A == "") != (c.B == "") || (c.A == "" && (c.Cut != nil || c.Reset)) {
		return errors.New("a cut or reset needs both zones")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.defaults
	if c.A != "" {
		s = r.pairLocked(makeZonePair(c.A, c.B))
	}
	if c.DelayMS != nil {
		s.delay = *c.DelayMS
	}
	if c.JitterMS != nil {
		s.jitter = *c.JitterMS
	}
	if c.LossShare != nil {
		s.loss = *c.LossShare
	}
	if c.RetransmitMS != nil {
		s.retransmit = *c.RetransmitMS
	}
	if c.Cut != nil {
		if s.cutEnded != nil && !*c.Cut {
			close(s.cutEnded)
			s.cutEnded = nil
		}
		if s.cutEnded == nil && *c.Cut {
			s.cutEnded = make(chan struct{})
		}
	}
	if c.Reset {
		for conn, p := range r.conns {
			if p == makeZonePair(c.A, c.B) {
				_ = conn.Close()
			}
		}
	}
	return nil
}

func (r *Proxy) pairLocked(p zonePair) *pairState {
	if r.pairs[p] == nil {
		s := r.defaults
		r.pairs[p] = &s
	}
	return r.pairs[p]
}

// drawDelay draws the delay of one chunk; inside a zone it is 0. While the pair
// is cut, it also returns a channel that is closed when the cut ends, else nil.
func (r *Proxy) drawDelay(p zonePair) (time.Duration, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.defaults
	if own := r.pairs[p]; own != nil {
		s = own
	}
	if p.a == p.b {
		return 0, s.cutEnded
	}
	ms := s.delay + s.jitter*r.rng.Float64()
	if s.loss > 0 && r.rng.Float64() < s.loss {
		ms += s.retransmit
	}
	return time.Duration(ms * float64(time.Millisecond)), s.cutEnded
}

func (r *Proxy) zoneOf(addr net.Addr) string {
	for prefix, zone := range r.spec.Prefixes {
		if strings.HasPrefix(addr.String(), prefix) {
			return zone
		}
	}
	return ""
}

func (r *Proxy) accept(l net.Listener, route Route) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c, route)
	}
}

func (r *Proxy) serve(c net.Conn, route Route) {
	defer c.Close()
	p := makeZonePair(r.zoneOf(c.RemoteAddr()), route.Zone)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !r.track(c, p) {
		return
	}
	defer r.untrack(c)
	if _, cut := r.drawDelay(p); cut != nil {
		<-cut
	}
	forward, err := net.DialTimeout("tcp", route.Forward, 2*time.Second)
	if err != nil {
		return
	}
	defer forward.Close()
	if !r.track(forward, p) {
		return
	}
	defer r.untrack(forward)
	done := make(chan struct{}, 2)
	go func() { r.copy(ctx, forward, c, p); done <- struct{}{} }()
	go func() { r.copy(ctx, c, forward, p); done <- struct{}{} }()
	<-done
}

func (r *Proxy) track(c net.Conn, p zonePair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = p
	return true
}

func (r *Proxy) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction of a connection in order. The queue holds the
// chunks that are being delayed, so that the delay does not limit the throughput.
func (r *Proxy) copy(ctx context.Context, to, from net.Conn, p zonePair) {
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		var last time.Time
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				d, _ := r.drawDelay(p)
				due := time.Now().Add(d)
				if due.Before(last) {
					due = last
				}
				last = due
				select {
				case queue <- chunk{buf[:n], due}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for _, cut := r.drawDelay(p); cut != nil; _, cut = r.drawDelay(p) {
			select {
			case <-cut:
			case <-ctx.Done():
				return
			}
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// Handler returns the handler of the admin endpoint.
func (r *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/link", func(w http.ResponseWriter, req *http.Request) {
		var c Change
		d := json.NewDecoder(req.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&c)
		if err == nil {
			err = r.Apply(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = io.WriteString(w, "{}")
	})
	return mux
}

// Serve runs the proxy and its admin endpoint until the context ends.
// It calls ready with the admin address once both listen.
func (r *Proxy) Serve(ctx context.Context, ready func(address string)) error {
	if err := r.Start(); err != nil {
		return err
	}
	defer r.Close()
	l, err := net.Listen("tcp", r.spec.AdminListen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 10 * time.Second}
	defer srv.Close()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	ready(l.Addr().String())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin endpoint: %w", err)
	}
	return nil
}

package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// fakePlatform stands in for the platform. It keeps objects and the instance
// list in memory, and counts placement writes and polls. Tests set which
// instances it does not answer.
type fakePlatform struct {
	mu              sync.Mutex
	revision        int64
	objects         map[objectKey]platform.Object
	changed         chan struct{}
	items           []platform.TargetItem
	down            map[string]bool // unreachable for an instance, "" for all
	placementWrites int
	polls           map[string]int // of the instance list, by instance
	readDelay       atomic.Int64   // nanoseconds by which the answer to Get is delayed
}

// platformLink is the client of a fakePlatform for one instance.
type platformLink struct {
	*fakePlatform
	name string
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[objectKey]platform.Object{}, changed: make(chan struct{}), down: map[string]bool{}, polls: map[string]int{}}
}

func (p *fakePlatform) setDown(name string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[name] = down
}

// lockIfUp locks the platform, or returns an error if this instance does not
// reach it.
func (p *platformLink) lockIfUp() error {
	p.mu.Lock()
	if p.down[""] || p.down[p.name] {
		p.mu.Unlock()
		return platform.ErrUnavailable.New("down")
	}
	return nil
}

func (p *platformLink) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if err := p.lockIfUp(); err != nil {
		return platform.Object{}, err
	}
	o, ok := p.objects[objectKey{kind, name}]
	p.mu.Unlock()
	time.Sleep(time.Duration(p.readDelay.Load()))
	if !ok || o.Deleted {
		return platform.Object{}, platform.ErrNotFound.New("%s/%s", kind, name)
	}
	return o, nil
}

func (p *platformLink) Put(_ context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error) {
	if err := p.lockIfUp(); err != nil {
		return 0, err
	}
	defer p.mu.Unlock()
	return p.put(platform.Object{Kind: kind, Name: name, Value: value}, ifVersion)
}

func (p *fakePlatform) put(o platform.Object, ifVersion int64) (int64, error) {
	key := objectKey{o.Kind, o.Name}
	current := p.objects[key]
	if current.Deleted {
		current.Version = 0
	}
	if ifVersion >= 0 && current.Version != ifVersion {
		return 0, platform.Conflict(current.Version)
	}
	if o.Kind == kindPlacement {
		p.placementWrites++
	}
	p.revision++
	o.Version = p.revision
	p.objects[key] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision, nil
}

func (p *platformLink) Delete(_ context.Context, kind, name string, ifVersion int64) error {
	if err := p.lockIfUp(); err != nil {
		return err
	}
	defer p.mu.Unlock()
	_, err := p.put(platform.Object{Kind: kind, Name: name, Deleted: true}, ifVersion)
	return err
}

func (p *fakePlatform) changedSince(kinds string, since int64, deleted bool) (out []platform.Object) {
	for key, o := range p.objects {
		if slices.Contains(strings.Split(kinds, ","), key.kind) && o.Version > since && (deleted || !o.Deleted) {
			out = append(out, o)
		}
	}
	return out
}

func (p *platformLink) List(_ context.Context, kinds string) ([]platform.Object, int64, error) {
	if err := p.lockIfUp(); err != nil {
		return nil, 0, err
	}
	defer p.mu.Unlock()
	return p.changedSince(kinds, 0, false), p.revision, nil
}

func (p *platformLink) Watch(ctx context.Context, kinds string, since int64, wait time.Duration) ([]platform.Object, int64, error) {
	timer := time.After(wait)
	for {
		if err := p.lockIfUp(); err != nil {
			return nil, 0, err
		}
		items, revision, changed := p.changedSince(kinds, since, true), p.revision, p.changed
		p.mu.Unlock()
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-changed:
		case <-timer:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable.Wrap(ctx.Err())
		}
	}
}

func (p *platformLink) Instances(context.Context) ([]platform.TargetItem, error) {
	if err := p.lockIfUp(); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.polls[p.name]++
	return slices.Clone(p.items), nil
}

func (p *fakePlatform) setTargets(items ...platform.TargetItem) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = items
}

// network connects the instances of a test. Tests cut and restore its links.
type network struct {
	mu         sync.Mutex
	nodes      map[string]*node // by peer address
	cut        map[string]bool  // instance names and "a-b" pairs
	heartbeats map[string]int   // number of heartbeats sent, by "from-to"
	// lastRequest and lastReply belong to the last heartbeat that was answered.
	lastRequest *peerpb.ExchangeRequest
	lastReply   *peerpb.ExchangeReply
}

type netPeers struct {
	net  *network
	from string
}

type netClient struct {
	netPeers
	address string
	peerpb.Peer
}

func (n netPeers) Client(address string) peerpb.Peer { return &netClient{n, address, nil} }

var errCut = errors.New("link is cut")

func (c *netClient) reach(ctx context.Context) (*node, error) {
	c.net.mu.Lock()
	to, ok := c.net.nodes[c.address]
	broken := !ok || c.net.cut[c.from] || c.net.cut[to.self.Name] || c.net.cut[min(c.from, to.self.Name)+"-"+max(c.from, to.self.Name)]
	c.net.mu.Unlock()
	if broken {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(5 * time.Millisecond)
	return to, nil
}

func (c *netClient) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	c.net.mu.Lock()
	c.net.heartbeats[c.from+"-"+strings.TrimPrefix(c.address, "peer:")]++
	c.net.mu.Unlock()
	n, err := c.reach(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := n.membership.Exchange(ctx, r)
	c.net.mu.Lock()
	c.net.lastRequest, c.net.lastReply = r, reply
	c.net.mu.Unlock()
	return reply, err
}

func (c *netClient) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	n, err := c.reach(ctx)
	if err != nil {
		return nil, err
	}
	return n.sync.Fetch(ctx, r)
}

func (c *netClient) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	n, err := c.reach(ctx)
	if err != nil {
		return nil, err
	}
	return n.control.Handover(ctx, r)
}

// fakePool stands in for the pool of targets. Targets in busy are not idle.
type fakePool struct {
	mu    sync.Mutex
	loads map[string]state.Load
	busy  map[string]bool
}

func (p *fakePool) Loads() (out []state.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.loads {
		out = append(out, l)
	}
	return out
}

func (p *fakePool) Idle(t string) bool { p.mu.Lock(); defer p.mu.Unlock(); return !p.busy[t] }

func (p *fakePool) Release(t string) state.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loads[t]
	delete(p.loads, t)
	return l
}

func (p *fakePool) AdoptLoad(l state.Load) { p.mu.Lock(); defer p.mu.Unlock(); p.loads[l.Target] = l }

// node is one instance with its real controllers on the fake platform, network
// and pool.
type node struct {
	self       Self
	store      *state.Store
	freshness  *Freshness
	sync       *Sync
	membership *Membership
	leases     *placement.Leases
	control    *placement.Controller
	pool       *fakePool
	cancel     context.CancelFunc
}

func (w *network) startNode(p *fakePlatform, name, zone, incarnation string, seeds ...string) *node {
	link := &platformLink{p, name}
	n := &node{self: Self{Name: name, Incarnation: incarnation, Zone: zone, PeerAddress: "peer:" + name, Seeds: seeds}, store: state.NewStore()}
	n.pool = &fakePool{loads: map[string]state.Load{}, busy: map[string]bool{}}
	n.freshness = NewFreshness(nil)
	peers := netPeers{w, name}
	n.sync = NewSync(nil, n.self, n.store, link, peers, n.freshness)
	n.leases = placement.NewLeases(name, zone, n.store)
	n.membership = NewMembership(nil, n.self, n.store, peers, n.sync, n.freshness, n.leases, n.pool, link)
	n.control = placement.NewController(nil, placement.Config{
		Self: name, Zone: zone, Store: n.store, Leases: n.leases, Platform: link, Pool: n.pool, Peers: peers, Apply: n.sync.Apply,
	})
	n.freshness.OnRefresh(n.sync.Refresh)
	n.freshness.OnRefresh(n.membership.Refresh)
	targets := NewTargetList(nil, n.self, n.store, n.sync, link)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.mu.Lock()
	w.nodes[n.self.PeerAddress] = n
	w.mu.Unlock()
	n.membership.SetState(StateReady)
	for _, run := range []func(context.Context) error{n.sync.Run, n.membership.Run, n.control.Run, targets.Run} {
		go func() { _ = run(ctx) }()
	}
	return n
}

// crash ends an instance without a graceful shutdown.
func (w *network) crash(n *node) {
	n.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[n.self.PeerAddress] == n {
		delete(w.nodes, n.self.PeerAddress)
	}
}

func (w *network) setCut(key string, cut bool) { w.mu.Lock(); defer w.mu.Unlock(); w.cut[key] = cut }

func (w *network) heartbeatCount(pair string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heartbeats[pair]
}

// runOnFakeClock runs a test with a new network and platform on a fake clock.
func runOnFakeClock(t *testing.T, f func(t *testing.T, w *network, p *fakePlatform)) {
	synctest.Test(t, func(t *testing.T) {
		w := &network{nodes: map[string]*node{}, cut: map[string]bool{}, heartbeats: map[string]int{}}
		defer func() {
			for _, n := range w.nodes {
				n.cancel()
			}
			time.Sleep(5 * time.Second) // longer than any call in progress
		}()
		f(t, w, newFakePlatform())
	})
}

func (p *fakePlatform) putObject(t *testing.T, kind, name, value string) int64 {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.put(platform.Object{Kind: kind, Name: name, Value: json.RawMessage(value)}, -1)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

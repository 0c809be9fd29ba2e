package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Guards against an older version that replaces a newer one, from a list that
// is repeated, a slow peer, a deletion that a list is too old to know, or
// sources that race.
func TestVersionsOnlyGoUp(t *testing.T) {
	store := state.NewStore()
	s := NewSync(nil, Self{Name: "a", Zone: "z"}, store, nil, nil, NewFreshness(nil))
	config := func(v int64) platform.Object {
		return platform.Object{Kind: "config", Name: "main", Version: v, Value: fmt.Appendf(nil, `{"name":"v%d"}`, v)}
	}
	expect := func(what string, want int64) {
		t.Helper()
		snap := store.Load()
		if snap.ConfigVersion != want || snap.Config.Name != fmt.Sprintf("v%d", want) {
			t.Fatalf("%s: version %d (%s) in force, want %d", what, snap.ConfigVersion, snap.Config.Name, want)
		}
	}
	s.Apply(config(7))
	s.applyList([]platform.Object{config(5)}, 6)
	expect("list of an older revision", 7)
	s.Apply(config(6))
	expect("slow peer", 7)
	s.Apply(platform.Object{Kind: "config", Name: "main", Version: 9, Value: []byte(`{"name":"v9","extra":1}`)})
	s.Apply(platform.Object{Kind: "config", Name: "main", Version: 10, Value: []byte(`{"name":"v10"} {}`)})
	expect("documents that do not decode", 7)
	s.Apply(config(11))
	expect("next document", 11)
	s.Apply(platform.Object{Kind: "shardmap", Name: "q", Version: 12, Value: []byte(`{"snapshots":[]}`)})
	s.applyList([]platform.Object{config(11)}, 11)
	if len(store.Load().ShardMaps) != 1 {
		t.Fatal("a list deleted an object that is newer than the list")
	}
	s.applyList([]platform.Object{config(11)}, 20)
	s.Apply(platform.Object{Kind: "shardmap", Name: "q", Version: 12, Value: []byte(`{"snapshots":[]}`)})
	if len(store.Load().ShardMaps) != 0 {
		t.Fatal("a deleted object came back from a peer")
	}
	order := rand.New(rand.NewPCG(1, 2)).Perm(400)
	done := make(chan struct{})
	for part := range 4 {
		go func() {
			for _, v := range order[100*part : 100*part+100] {
				s.Apply(config(int64(v + 100)))
			}
			done <- struct{}{}
		}()
	}
	last := int64(0)
	for finished := 0; finished < 4; {
		select {
		case <-done:
			finished++
		default:
		}
		v := store.Load().ConfigVersion
		if v < last {
			t.Fatalf("version went from %d to %d", last, v)
		}
		last = v
	}
	expect("race", 499)
}

// Guards against a configuration that reaches only the instances that see the
// platform, and against one that reverts on a restarted instance.
func TestConfigThroughPeers(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		var nodes []*node
		for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
			nodes = append(nodes, w.start(p, name, []string{"z1", "z2"}[i%2], "1", "peer:a", "peer:f"))
		}
		p.apply(t, "config", "main", `{"name":"one"}`)
		time.Sleep(5 * time.Second)
		for _, n := range nodes[:5] {
			p.set(n.self.Name, n.self.Name != "d") // a reader of z2
		}
		p.set("f", true)
		time.Sleep(time.Second)
		v := p.apply(t, "config", "main", `{"name":"two"}`)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if got := n.store.Load().ConfigVersion; got != v {
				t.Errorf("%s has version %d after 3 s, want %d", n.self.Name, got, v)
			}
		}
		w.stop(nodes[5])
		f := w.start(p, "f", "z2", "2", "peer:a")
		time.Sleep(2 * time.Second)
		if got := f.store.Load().ConfigVersion; got != v {
			t.Errorf("restarted instance has version %d, want %d", got, v)
		}
		if i := nodes[0].store.Load().Instances["f"]; i.Incarnation != "2" || i.Liveness != state.Alive {
			t.Errorf("restarted instance is seen as %+v", i)
		}
	})
}

// Guards against a flapping or lagging list that gives a leaving target new
// work, and against one gap in the list that takes a healthy target out.
func TestLeavingIsSticky(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		item := func(name, incarnation, st string) platform.TargetItem {
			return platform.TargetItem{Service: "s", Name: name, Incarnation: incarnation, Zone: "z", Address: "x", State: st}
		}
		p.list(item("t", "1", "live"), item("u", "1", "live"))
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.start(p, name, "z", "1", "peer:a"))
		}
		expect := func(what, target string, want bool) {
			t.Helper()
			for _, n := range nodes {
				if got, ok := n.store.Load().Targets[target]; !ok || got.Leaving != want {
					t.Errorf("%s: %s sees %+v", what, n.self.Name, got)
				}
			}
		}
		time.Sleep(3 * time.Second)
		expect("start", "t", false)
		for range 3 {
			p.list(item("t", "1", "leaving"))
			time.Sleep(2 * time.Second)
			expect("leaving", "t", true)
			expect("short gap", "u", false)
			p.list(item("t", "1", "live"), item("u", "1", "live"))
			time.Sleep(2 * time.Second)
			expect("flapping back", "t", true)
		}
		p.list(item("t", "2", "live"))
		time.Sleep(2 * time.Second)
		expect("restarted target", "t", false)
		p.list(item("t", "1", "live"))
		time.Sleep(time.Second)
		p.list(item("t", "2", "live"))
		time.Sleep(8 * time.Second)
		expect("lagging list", "t", false)
		expect("vanished", "u", true)
	})
}

// Guards against an instance that uses the state from before a pause, and
// against requests that wait while nobody can confirm anything.
func TestFreshnessGate(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		f, asked := NewFreshness(nil), 0
		answer := true
		f.OnRefresh(func(ctx context.Context) {
			asked++
			time.Sleep(50 * time.Millisecond)
			if answer {
				f.Confirm(time.Now())
			} else {
				<-ctx.Done()
			}
		})
		ensure := func(what string, cutOff bool, atMost time.Duration) {
			t.Helper()
			began := time.Now()
			results := make(chan bool, 10)
			for range cap(results) {
				go func() { results <- f.Ensure(t.Context()) }()
			}
			for range cap(results) {
				if got := <-results; got != cutOff {
					t.Errorf("%s: cut off %v", what, got)
				}
			}
			if d := time.Since(began); d > atMost {
				t.Errorf("%s: took %v", what, d)
			}
		}
		f.Confirm(time.Now())
		ensure("fresh", false, 0)
		time.Sleep(3 * time.Second) // a pause
		ensure("after a pause", false, 50*time.Millisecond)
		if asked != 1 {
			t.Errorf("%d refreshes for one pause", asked)
		}
		answer = false
		time.Sleep(3 * time.Second)
		ensure("cut", true, 300*time.Millisecond)
		ensure("still cut", true, 0)
		answer = true
		time.Sleep(time.Second)
		ensure("refresh in the background", true, 0)
		time.Sleep(100 * time.Millisecond)
		ensure("healed", false, 0)
	})
}

func epoch(n *node) int64 { return n.store.Load().Placements["z"].Epoch }

func confirmed(nodes []*node, target string) (names []string) {
	for _, n := range nodes {
		if n.rights.Right(target, time.Now()).Kind == placement.Confirmed {
			names = append(names, n.self.Name)
		}
	}
	return names
}

func targetItems(n int) (items []platform.TargetItem) {
	for i := range n {
		items = append(items, platform.TargetItem{Name: fmt.Sprintf("t%d", i), Zone: "z", Incarnation: "1", State: "live"})
	}
	return items
}

// Guards against placements written on a flapping link or without the
// platform, moves that are not needed, and a crash that leaves targets
// unconfirmed.
func TestPlacementFollowsMembers(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(12)...)
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.start(p, name, "z", "1", "peer:a"))
		}
		time.Sleep(12 * time.Second)
		before := nodes[0].store.Load().Placements["z"]
		if len(before.Members) != 3 || len(before.Holders) != 12 {
			t.Fatalf("placement %+v", before)
		}
		for target, holder := range before.Holders {
			if got := confirmed(nodes, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		for range 8 {
			w.link("b", true)
			time.Sleep(2300 * time.Millisecond) // suspect for 1.3 s
			w.link("b", false)
			time.Sleep(500 * time.Millisecond)
		}
		if epoch(nodes[0]) != before.Epoch {
			t.Fatal("a flapping link moved targets")
		}
		p.set("", true)
		time.Sleep(4 * time.Second)
		if got := confirmed(nodes, "t0"); len(got) != 1 {
			t.Errorf("%v confirmed by peers during an outage", got)
		}
		w.stop(nodes[1])
		time.Sleep(5 * time.Second)
		if epoch(nodes[0]) != before.Epoch || len(confirmed(nodes, "t0")) != 0 {
			t.Error("placement or rights held without the platform and a member")
		}
		p.set("", false)
		time.Sleep(5 * time.Second)
		after := nodes[0].store.Load().Placements["z"]
		for target, holder := range after.Holders {
			if was := before.Holders[target]; was != holder && was != "b" {
				t.Errorf("%s moved from %s to %s", target, was, holder)
			}
			if got := confirmed([]*node{nodes[0], nodes[2]}, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		if len(after.Members) != 2 {
			t.Errorf("members %v", after.Members)
		}
	})
}

// Guards against a planned stop that loses the state of targets, takes them
// from an instance that is still sending, or keeps the next zone start waiting.
func TestReleaseHandsOver(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(8)...)
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		time.Sleep(10 * time.Second)
		before := a.store.Load().Placements["z"]
		var moved string
		for target, holder := range before.Holders {
			if holder == "b" {
				moved = target
			}
		}
		b.pool.Adopt(state.Load{Target: moved, Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"})
		b.pool.mu.Lock()
		b.pool.busy[moved] = true
		b.pool.mu.Unlock()
		released := make(chan error, 1)
		b.members.SetState(StateDraining)
		time.Sleep(time.Second)
		go func() { released <- b.control.Release(t.Context()) }()
		time.Sleep(700 * time.Millisecond)
		if got := confirmed([]*node{a, b}, moved); len(got) != 0 {
			t.Errorf("%v confirmed while the previous holder is busy", got)
		}
		b.pool.mu.Lock()
		b.pool.busy[moved] = false
		b.pool.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if got := confirmed([]*node{a, b}, moved); len(got) != 1 || got[0] != "a" {
			t.Errorf("%v confirmed after the release", got)
		}
		if l := a.pool.loads[moved]; l.Limit != 2 || l.Phase != state.PhaseWarm {
			t.Errorf("state handed over: %+v", l)
		}
		if err := <-released; err != nil {
			t.Error(err)
		}
		w.stop(b)
		if err := a.control.Release(t.Context()); err != nil || !a.store.Load().Placements["z"].Released {
			t.Errorf("last instance: %v", err)
		}
		w.stop(a)
		c := w.start(p, "c", "z", "1")
		time.Sleep(1200 * time.Millisecond)
		if got := confirmed([]*node{c}, moved); len(got) != 1 {
			t.Error("a released placement was not taken at once")
		}
	})
}

type slowLeases struct {
	Leases
	sentAt time.Time
}

func (l *slowLeases) ObserveAnswer(_ string, _ int64, _ bool, sentAt time.Time) { l.sentAt = sentAt }

type slowPeer struct{ peerpb.Peer }

func (slowPeer) Client(string) peerpb.Peer { return slowPeer{} }

func (slowPeer) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	time.Sleep(900 * time.Millisecond)
	return &peerpb.ExchangeReply{From: &peerpb.Instance{Name: "b", Zone: "z", PeerAddress: "peer:b"}, Granted: true}, nil
}

// Guards against leases and freshness that count from the answer, which may be
// much later than the grant.
func TestEvidenceCountsFromTheQuestion(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		n := w.start(p, "a", "z", "1")
		leases := &slowLeases{Leases: n.rights}
		fresh := NewFreshness(nil)
		m := NewMembership(nil, n.self, n.store, slowPeer{}, n.sync, fresh, leases, n.pool, &platformLink{p, "a"})
		began := time.Now()
		m.heartbeat(t.Context(), "peer:b", false)
		if !leases.sentAt.Equal(began) || fresh.Age() < 900*time.Millisecond {
			t.Errorf("grant of %v, age %v", leases.sentAt.Sub(began), fresh.Age())
		}
		p.list(targetItems(1)...)
		p.slow = 400 * time.Millisecond
		time.Sleep(5 * time.Second)
		if until := n.rights.Right("t0", time.Now()).Until; time.Until(until) > placement.LeaseTerm-p.slow {
			t.Errorf("lease ends in %v after a slow read", time.Until(until))
		}
	})
}

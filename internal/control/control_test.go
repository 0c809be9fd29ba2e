package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

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
		time.Sleep(5100 * time.Millisecond)
		first := p.apply(t, "config", "main", `{"name":"one"}`)
		// All heartbeats go out at one time; this is before the next ones.
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			if got := n.store.Load().ConfigVersion; got != first {
				t.Errorf("%s has version %d without waiting for a heartbeat, want %d", n.self.Name, got, first)
			}
		}
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
		f := NewFreshness(nil)
		var asked atomic.Int64
		var answer atomic.Bool
		answer.Store(true)
		f.OnRefresh(func(ctx context.Context) {
			asked.Add(1)
			time.Sleep(50 * time.Millisecond)
			if answer.Load() {
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
		if n := asked.Load(); n != 1 {
			t.Errorf("%d refreshes for one pause", n)
		}
		answer.Store(false)
		time.Sleep(3 * time.Second)
		ensure("cut", true, 300*time.Millisecond)
		ensure("still cut", true, 0)
		answer.Store(true)
		time.Sleep(time.Second)
		ensure("refresh in the background", true, 0)
		time.Sleep(100 * time.Millisecond)
		ensure("healed", false, 0)
	})
}

// Guards against instances that confirm each other without the platform.
func TestPeersAloneConfirmNothing(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.set("", true)
		a, b := w.start(p, "a", "z", "1", "peer:b"), w.start(p, "b", "z", "1", "peer:a")
		time.Sleep(3 * time.Second)
		if !a.fresh.CutOff() || !b.fresh.CutOff() {
			t.Error("fresh before the platform ever answered")
		}
		p.set("", false)
		time.Sleep(3 * time.Second)
		if a.fresh.CutOff() || b.fresh.CutOff() {
			t.Error("cut off with the platform up")
		}
		p.set("", true)
		time.Sleep(4 * time.Second)
		if !a.fresh.CutOff() || !b.fresh.CutOff() {
			t.Error("fresh 4 s after the platform's last answer")
		}
	})
}

// Guards against records of crashed instances that stay for ever, and against
// a living instance that stays without its record.
func TestRecordsFollowInstances(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, nodes := w.start(p, "a", "z", "1"), []*node{w.start(p, "b", "z", "1", "peer:c"), w.start(p, "c", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		w.stop(a)
		records := func(what string) {
			t.Helper()
			p.mu.Lock()
			defer p.mu.Unlock()
			for name, want := range map[string]bool{"a": false, "b": true, "c": true} {
				if got := p.objects[objectKey{kindInstance, name}]; want == got.Deleted {
					t.Errorf("%s: record of %s deleted: %v", what, name, got.Deleted)
				}
			}
		}
		time.Sleep(9 * time.Minute)
		if p.objects[objectKey{kindInstance, "a"}].Deleted {
			t.Error("record removed within nine minutes")
		}
		time.Sleep(90 * time.Second)
		records("ten minutes after the crash")
		link := &platformLink{p, "b"}
		for _, n := range nodes {
			o, _ := link.Get(t.Context(), kindInstance, n.self.Name)
			_ = link.Delete(t.Context(), kindInstance, n.self.Name, o.Version)
		}
		time.Sleep(2 * time.Second)
		records("after the records of living instances were removed")
	})
}

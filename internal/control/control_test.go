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

// Guards against an older version of an object that replaces a newer one. It
// may come from a list of an older revision, from a slow peer, from a peer that
// missed a deletion, or from several sources at the same time.
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
	expect("older version from a slow peer", 7)
	s.Apply(platform.Object{Kind: "config", Name: "main", Version: 9, Value: []byte(`{"name":"v9","extra":1}`)})
	s.Apply(platform.Object{Kind: "config", Name: "main", Version: 10, Value: []byte(`{"name":"v10"} {}`)})
	expect("documents that cannot be decoded", 7)
	s.Apply(config(11))
	expect("next valid document", 11)
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
	versions := rand.New(rand.NewPCG(1, 2)).Perm(400)
	done := make(chan struct{})
	for source := range 4 {
		go func() {
			for _, v := range versions[100*source : 100*source+100] {
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
			t.Fatalf("configuration version went back from %d to %d", last, v)
		}
		last = v
	}
	expect("race", 499)
}

// Guards against a configuration that reaches only the instances with a link to
// the platform, and against an older one on an instance that restarts without
// that link. Both happen if instances don't get versions from their peers.
func TestConfigThroughPeers(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		var nodes []*node
		for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
			nodes = append(nodes, w.startNode(p, name, []string{"z1", "z2"}[i%2], "1", "peer:a", "peer:f"))
		}
		time.Sleep(5100 * time.Millisecond)
		version := p.putObject(t, "config", "main", `{"name":"one"}`)
		// All instances send heartbeats at the same times; the next ones are due
		// after this sleep.
		time.Sleep(100 * time.Millisecond)
		for _, n := range nodes {
			if got := n.store.Load().ConfigVersion; got != version {
				t.Errorf("%s has version %d before the next heartbeats, want %d", n.self.Name, got, version)
			}
		}
		// Only d, a reader of z2, still reaches the platform.
		for _, n := range nodes[:5] {
			p.setDown(n.self.Name, n.self.Name != "d")
		}
		p.setDown("f", true)
		time.Sleep(time.Second)
		v := p.putObject(t, "config", "main", `{"name":"two"}`)
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if got := n.store.Load().ConfigVersion; got != v {
				t.Errorf("%s has version %d after 3 s, want %d", n.self.Name, got, v)
			}
		}
		w.crash(nodes[5])
		f := w.startNode(p, "f", "z2", "2", "peer:a")
		time.Sleep(2 * time.Second)
		if got := f.store.Load().ConfigVersion; got != v {
			t.Errorf("restarted instance has version %d, want %d", got, v)
		}
		if i := nodes[0].store.Load().Instances["f"]; i.Incarnation != "2" || i.Liveness != state.Alive {
			t.Errorf("peer's view of the restarted instance: %+v", i)
		}
	})
}

// Guards against new requests to a leaving target, because the instance list flaps
// back to live or shows an earlier incarnation again. Also guards against a
// healthy target that counts as leaving after a short gap in the list.
func TestLeavingIsSticky(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		item := func(name, incarnation, st string) platform.TargetItem {
			return platform.TargetItem{Service: "s", Name: name, Incarnation: incarnation, Zone: "z", Address: "x", State: st}
		}
		p.setTargets(item("t", "1", "live"), item("u", "1", "live"))
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.startNode(p, name, "z", "1", "peer:a"))
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
			p.setTargets(item("t", "1", "leaving"))
			time.Sleep(2 * time.Second)
			expect("leaving", "t", true)
			expect("short gap", "u", false)
			p.setTargets(item("t", "1", "live"), item("u", "1", "live"))
			time.Sleep(2 * time.Second)
			expect("flapping back", "t", true)
		}
		p.setTargets(item("t", "2", "live"))
		time.Sleep(2 * time.Second)
		expect("restarted target", "t", false)
		p.setTargets(item("t", "1", "live"))
		time.Sleep(time.Second)
		p.setTargets(item("t", "2", "live"))
		time.Sleep(8 * time.Second)
		expect("lagging list", "t", false)
		expect("vanished", "u", true)
	})
}

// Guards against an instance that serves requests with the state from before a
// pause of the process, and against requests that each wait for a refresh while
// the instance is cut off.
func TestFreshnessGate(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		f := NewFreshness(nil)
		var refreshes atomic.Int64
		var reachable atomic.Bool
		reachable.Store(true)
		f.OnRefresh(func(ctx context.Context) {
			refreshes.Add(1)
			time.Sleep(50 * time.Millisecond)
			if reachable.Load() {
				f.Confirm(time.Now())
			} else {
				<-ctx.Done()
			}
		})
		ensure := func(what string, cutOff bool, maxWait time.Duration) {
			t.Helper()
			startedAt := time.Now()
			results := make(chan bool, 10)
			for range cap(results) {
				go func() { results <- f.Ensure(t.Context()) }()
			}
			for range cap(results) {
				if got := <-results; got != cutOff {
					t.Errorf("%s: cut off %v", what, got)
				}
			}
			if d := time.Since(startedAt); d > maxWait {
				t.Errorf("%s: took %v", what, d)
			}
		}
		f.Confirm(time.Now())
		ensure("fresh", false, 0)
		time.Sleep(3 * time.Second) // stands for a pause of the process
		ensure("after a pause", false, 50*time.Millisecond)
		if n := refreshes.Load(); n != 1 {
			t.Errorf("%d refreshes after one pause, want 1", n)
		}
		reachable.Store(false)
		time.Sleep(3 * time.Second)
		ensure("cut", true, 300*time.Millisecond)
		ensure("still cut", true, 0)
		reachable.Store(true)
		time.Sleep(time.Second)
		ensure("refresh in the background", true, 0)
		time.Sleep(100 * time.Millisecond)
		ensure("healed", false, 0)
	})
}

// Guards against instances that stay fresh without the platform because they
// confirm each other's state. The age that a heartbeat reports must count from
// the platform's last answer.
func TestPeersAloneConfirmNothing(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setDown("", true)
		a, b := w.startNode(p, "a", "z", "1", "peer:b"), w.startNode(p, "b", "z", "1", "peer:a")
		time.Sleep(3 * time.Second)
		if !a.freshness.CutOff() || !b.freshness.CutOff() {
			t.Error("fresh before the platform ever answered")
		}
		p.setDown("", false)
		time.Sleep(3 * time.Second)
		if a.freshness.CutOff() || b.freshness.CutOff() {
			t.Error("cut off while the platform answers")
		}
		p.setDown("", true)
		time.Sleep(4 * time.Second)
		if !a.freshness.CutOff() || !b.freshness.CutOff() {
			t.Error("fresh 4 s after the platform's last answer")
		}
	})
}

// Guards against objects of crashed instances that stay on the platform
// forever, and against a running instance without its object after another
// instance removed it.
func TestRecordsFollowInstances(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, nodes := w.startNode(p, "a", "z", "1"), []*node{w.startNode(p, "b", "z", "1", "peer:c"), w.startNode(p, "c", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		w.crash(a)
		checkRecords := func(what string) {
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
			t.Error("record removed within nine minutes of the crash")
		}
		time.Sleep(90 * time.Second)
		checkRecords("ten minutes after the crash")
		link := &platformLink{p, "b"}
		for _, n := range nodes {
			o, _ := link.Get(t.Context(), kindInstance, n.self.Name)
			_ = link.Delete(t.Context(), kindInstance, n.self.Name, o.Version)
		}
		time.Sleep(2 * time.Second)
		checkRecords("after the records of running instances were removed")
	})
}

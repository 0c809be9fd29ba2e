package control

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// exchange has one node ask another and returns both messages.
func exchange(t *testing.T, w *network, from, to *node) (*peerpb.ExchangeRequest, *peerpb.ExchangeReply) {
	t.Helper()
	w.mu.Lock()
	w.request, w.reply = nil, nil
	w.mu.Unlock()
	from.members.heartbeat(t.Context(), to.self.PeerAddress, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reply == nil {
		t.Fatalf("no answer of %s to %s", to.self.Name, from.self.Name)
	}
	return w.request, w.reply
}

// Guards against heartbeats that carry all versions while nothing changes, and
// against peers that stay behind because a version list was left out.
func TestVersionsOnlyOnDifference(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		p.apply(t, "config", "main", `{"name":"one"}`)
		time.Sleep(10100 * time.Millisecond) // between heartbeats
		if req, reply := exchange(t, w, a, b); len(req.Versions) != 0 || len(reply.Versions) != 0 {
			t.Errorf("%d and %d versions without a difference", len(req.Versions), len(reply.Versions))
		}
		a.sync.apply(platform.Object{Kind: "config", Name: "main", Version: 1000, Value: []byte(`{"name":"new"}`)})
		if req, reply := exchange(t, w, a, b); len(req.Versions) == 0 || len(reply.Versions) == 0 {
			t.Error("no versions with a difference")
		}
		time.Sleep(100 * time.Millisecond)
		if got := b.store.Load().ConfigVersion; got != 1000 {
			t.Errorf("version %d at the peer, want 1000", got)
		}
		if !a.sync.Observe(b.self.PeerAddress, nil, 12345) {
			t.Error("another digest without a list counts as no difference")
		}
	})
}

// Guards against heartbeats that carry all instances while nothing changes,
// and against instances that do not hear of others because a list was left out.
func TestKnownOnlyOnDifference(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		c := w.start(p, "c", "z", "1", "peer:a")
		time.Sleep(10100 * time.Millisecond)
		if req, reply := exchange(t, w, a, b); len(req.Known) != 0 || len(reply.Known) != 0 {
			t.Errorf("%d and %d instances without a difference", len(req.Known), len(reply.Known))
		}
		d := InstanceRecord{Name: "d", Incarnation: "1", Zone: "z", PeerAddress: "peer:d", State: StateReady}
		a.members.learn(d, time.Now(), true, 0)
		for _, n := range []*node{b, c} {
			exchange(t, w, a, n)
			n.members.publish()
			if _, ok := n.store.Load().Instances["d"]; !ok {
				t.Errorf("%s did not hear of the new instance from a question", n.self.Name)
			}
		}
		d.Name, d.PeerAddress = "e", "peer:e"
		a.members.learn(d, time.Now(), true, 0)
		exchange(t, w, b, a)
		b.members.publish()
		if _, ok := b.store.Load().Instances["e"]; !ok {
			t.Error("b did not hear of the new instance from an answer")
		}
		_, before := a.members.knownUnless(0)
		d.State = StateDraining
		a.members.learn(d, time.Now(), true, 0)
		if _, after := a.members.knownUnless(0); after == before {
			t.Error("the digest is the same after an instance changed its state")
		}
	})
}

// Guards against heartbeats to other zones that are as frequent as those that
// carry leases, and against a rarer one that leaves a single attempt before an
// instance becomes suspect.
func TestHeartbeatsToOtherZones(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z1", "1"), w.start(p, "b", "z1", "1", "peer:a")
		c := w.start(p, "c", "z2", "1", "peer:a")
		time.Sleep(10100 * time.Millisecond)
		count := func(pair string, d time.Duration) int {
			before := w.count(pair)
			time.Sleep(d)
			return w.count(pair) - before
		}
		if got := count("a-b", 10*time.Second); got != 40 {
			t.Errorf("%d heartbeats in the zone in 10 s, want 40", got)
		}
		if got := count("a-c", 10*time.Second); got != 20 {
			t.Errorf("%d heartbeats to another zone in 10 s, want 20", got)
		}
		w.link("c", true)
		if got := count("a-c", time.Second); got < 3 {
			t.Errorf("%d heartbeats in the first second without answers, want 3", got)
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range []*node{a, b} {
			if got := n.store.Load().Instances[c.self.Name].Liveness; got != state.Suspect {
				t.Errorf("%s sees the cut instance as %v", n.self.Name, got)
			}
		}
	})
}

// Guards against heartbeats that repeat loads that did not change, against warm
// reports that expire because of that, and against a digest that confirms other
// loads than its own.
func TestLoadsOnlyOnDifference(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		load := state.Load{Target: "t", Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"}
		a.pool.Adopt(load)
		reported := func() placement.ReportedLoad { return b.rights.Evidence().Reports["a"].Loads["t"] }
		time.Sleep(10100 * time.Millisecond)
		for _, pair := range [][2]*node{{a, b}, {b, a}} {
			if req, reply := exchange(t, w, pair[0], pair[1]); len(req.Loads) != 0 || len(reply.Loads) != 0 {
				t.Errorf("%d and %d loads without a difference", len(req.Loads), len(reply.Loads))
			}
		}
		if r := reported(); r.Load != load || time.Since(r.At) > heartbeatEvery {
			t.Errorf("load %+v was last confirmed %v ago", r.Load, time.Since(r.At))
		}
		load.InFlight = 1
		a.pool.Adopt(load)
		if req, _ := exchange(t, w, a, b); len(req.Loads) != 1 || reported().Load != load {
			t.Errorf("%d loads sent after a change, peer has %+v", len(req.Loads), reported().Load)
		}
		confirmedAt := reported().At
		time.Sleep(time.Millisecond)
		_, _ = b.members.Exchange(t.Context(), &peerpb.ExchangeRequest{From: a.members.describe(), LoadsDigest: 12345})
		if got := reported().At; !got.Equal(confirmedAt) {
			t.Error("another digest confirmed the load")
		}
	})
}

// Guards against readers that all poll the long instance list at the full rate,
// and against a zone that stays at the lower rate after its first reader stops.
func TestOneReaderPollsFast(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a := w.start(p, "a", "z", "1")
		w.start(p, "b", "z", "1", "peer:a")
		w.start(p, "c", "z", "1", "peer:a")
		expect := func(what string, polls map[string]int) {
			t.Helper()
			time.Sleep(10050 * time.Millisecond)
			p.mu.Lock()
			clear(p.polls)
			p.mu.Unlock()
			time.Sleep(10 * time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			for name, want := range polls {
				if got := p.polls[name]; got != want {
					t.Errorf("%s: %d polls of %s in 10 s, want %d", what, got, name, want)
				}
			}
		}
		expect("all live", map[string]int{"a": 20, "b": 10, "c": 0})
		w.stop(a)
		expect("without the first", map[string]int{"a": 0, "b": 20, "c": 10})
	})
}

// Guards against peers that still send to an instance which stops while the
// platform is down, and find out by broken calls.
func TestStoppingInstanceIsSuspectAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")
		time.Sleep(5100 * time.Millisecond)
		for _, step := range []struct {
			state string
			want  state.Liveness
		}{{StateDraining, state.Draining}, {StateStopping, state.Suspect}, {StateReady, state.Suspect}} {
			a.members.SetState(step.state)
			a.members.Refresh(t.Context())
			if got := b.store.Load().Instances["a"].Liveness; got != step.want {
				t.Errorf("%s: %s, want %s", step.state, got, step.want)
			}
		}
	})
}

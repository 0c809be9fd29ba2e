package control

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// sendHeartbeat sends a heartbeat from one node to another and returns the
// request and the reply.
func sendHeartbeat(t *testing.T, w *network, from, to *node) (*peerpb.ExchangeRequest, *peerpb.ExchangeReply) {
	t.Helper()
	w.mu.Lock()
	w.lastRequest, w.lastReply = nil, nil
	w.mu.Unlock()
	from.membership.heartbeat(t.Context(), to.self.PeerAddress, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastReply == nil {
		t.Fatalf("%s did not answer the heartbeat of %s", to.self.Name, from.self.Name)
	}
	return w.lastRequest, w.lastReply
}

// Guards against heartbeats that carry all versions although sender and
// receiver have the same ones, and against a peer that misses a new version
// because the list was left out.
func TestVersionsOnlyOnDifference(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")
		p.putObject(t, "config", "main", `{"name":"one"}`)
		time.Sleep(10100 * time.Millisecond) // between heartbeats
		if req, reply := sendHeartbeat(t, w, a, b); len(req.Versions) != 0 || len(reply.Versions) != 0 {
			t.Errorf("%d and %d versions without a difference", len(req.Versions), len(reply.Versions))
		}
		a.sync.apply(platform.Object{Kind: "config", Name: "main", Version: 1000, Value: []byte(`{"name":"new"}`)})
		if req, reply := sendHeartbeat(t, w, a, b); len(req.Versions) == 0 || len(reply.Versions) == 0 {
			t.Error("no versions with a difference")
		}
		time.Sleep(100 * time.Millisecond)
		if got := b.store.Load().ConfigVersion; got != 1000 {
			t.Errorf("peer has version %d, want 1000", got)
		}
		if !a.sync.ObserveVersions(b.self.PeerAddress, nil, 12345) {
			t.Error("a different digest without a list was not seen as a difference")
		}
	})
}

// Guards against heartbeats that carry all instances although sender and
// receiver know the same ones, and against an instance that misses another one
// because the list was left out.
func TestKnownOnlyOnDifference(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")
		c := w.startNode(p, "c", "z", "1", "peer:a")
		time.Sleep(10100 * time.Millisecond)
		if req, reply := sendHeartbeat(t, w, a, b); len(req.Known) != 0 || len(reply.Known) != 0 {
			t.Errorf("%d and %d instances without a difference", len(req.Known), len(reply.Known))
		}
		d := InstanceRecord{Name: "d", Incarnation: "1", Zone: "z", PeerAddress: "peer:d", State: StateReady}
		a.membership.updateMember(d, time.Now(), true, 0)
		for _, n := range []*node{b, c} {
			sendHeartbeat(t, w, a, n)
			n.membership.publish()
			if _, ok := n.store.Load().Instances["d"]; !ok {
				t.Errorf("%s did not learn of the new instance from a request", n.self.Name)
			}
		}
		d.Name, d.PeerAddress = "e", "peer:e"
		a.membership.updateMember(d, time.Now(), true, 0)
		sendHeartbeat(t, w, b, a)
		b.membership.publish()
		if _, ok := b.store.Load().Instances["e"]; !ok {
			t.Error("b did not learn of the new instance from a reply")
		}
		_, before := a.membership.knownIfDifferent(0)
		d.State = StateDraining
		a.membership.updateMember(d, time.Now(), true, 0)
		if _, after := a.membership.knownIfDifferent(0); after == before {
			t.Error("the digest did not change with the state of an instance")
		}
	})
}

// Guards against heartbeats to other zones at the full rate, which only leases
// need, and against so low a rate that an instance becomes suspect after a
// single lost heartbeat.
func TestHeartbeatsToOtherZones(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.startNode(p, "a", "z1", "1"), w.startNode(p, "b", "z1", "1", "peer:a")
		c := w.startNode(p, "c", "z2", "1", "peer:a")
		time.Sleep(10100 * time.Millisecond)
		count := func(pair string, d time.Duration) int {
			before := w.heartbeatCount(pair)
			time.Sleep(d)
			return w.heartbeatCount(pair) - before
		}
		if got := count("a-b", 10*time.Second); got != 40 {
			t.Errorf("%d heartbeats in the zone in 10 s, want 40", got)
		}
		if got := count("a-c", 10*time.Second); got != 20 {
			t.Errorf("%d heartbeats to another zone in 10 s, want 20", got)
		}
		w.setCut("c", true)
		if got := count("a-c", time.Second); got < 3 {
			t.Errorf("%d heartbeats in the first second without answers, want 3", got)
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range []*node{a, b} {
			if got := n.store.Load().Instances[c.self.Name].Liveness; got != state.Suspect {
				t.Errorf("%s sees the instance with cut links as %v", n.self.Name, got)
			}
		}
	})
}

// Guards against heartbeats that carry unchanged loads, against reports of warm
// targets that expire because unchanged loads are left out, and against a digest
// that confirms loads to which it does not belong.
func TestLoadsOnlyOnDifference(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")
		load := state.Load{Target: "t", Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"}
		a.pool.AdoptLoad(load)
		reported := func() placement.ReportedLoad { return b.leases.Evidence().Reports["a"].Loads["t"] }
		time.Sleep(10100 * time.Millisecond)
		for _, pair := range [][2]*node{{a, b}, {b, a}} {
			if req, reply := sendHeartbeat(t, w, pair[0], pair[1]); len(req.Loads) != 0 || len(reply.Loads) != 0 {
				t.Errorf("%d and %d loads without a difference", len(req.Loads), len(reply.Loads))
			}
		}
		if r := reported(); r.Load != load || time.Since(r.At) > heartbeatInterval {
			t.Errorf("load %+v was last confirmed %v ago", r.Load, time.Since(r.At))
		}
		load.InFlight = 1
		a.pool.AdoptLoad(load)
		if req, _ := sendHeartbeat(t, w, a, b); len(req.Loads) != 1 || reported().Load != load {
			t.Errorf("%d loads sent after a change, peer has %+v", len(req.Loads), reported().Load)
		}
		confirmedAt := reported().At
		time.Sleep(time.Millisecond)
		_, _ = b.membership.Exchange(t.Context(), &peerpb.ExchangeRequest{From: a.membership.localInstance(), LoadsDigest: 12345})
		if got := reported().At; !got.Equal(confirmedAt) {
			t.Error("a different digest confirmed the load")
		}
	})
}

// Guards against readers that all poll the instance list, which may be long, at
// the full rate, and against a zone without a poll at the full rate after its
// first reader crashed.
func TestOneReaderPollsFast(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a := w.startNode(p, "a", "z", "1")
		w.startNode(p, "b", "z", "1", "peer:a")
		w.startNode(p, "c", "z", "1", "peer:a")
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
		w.crash(a)
		expect("first reader crashed", map[string]int{"a": 0, "b": 20, "c": 10})
	})
}

// Guards against peers that still send to a stopping instance until their calls
// break. This happens while the platform is down, since the placement then still
// names the instance.
func TestStoppingInstanceIsSuspectAtOnce(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		a, b := w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")
		time.Sleep(5100 * time.Millisecond)
		for _, step := range []struct {
			state string
			want  state.Liveness
		}{{StateDraining, state.Draining}, {StateStopping, state.Suspect}, {StateReady, state.Suspect}} {
			a.membership.SetState(step.state)
			a.membership.Refresh(t.Context())
			if got := b.store.Load().Instances["a"].Liveness; got != step.want {
				t.Errorf("%s: %s, want %s", step.state, got, step.want)
			}
		}
	})
}

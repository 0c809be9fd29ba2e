package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

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
		d := w.start(p, "d", "z", "1", "peer:a")
		time.Sleep(700 * time.Millisecond)
		w.link("d", true) // suspect a second later
		time.Sleep(8 * time.Second)
		if got := nodes[0].store.Load().Placements["z"]; got.Epoch != before.Epoch {
			t.Errorf("an instance that was seen for 1.7 s moved targets: members %v", got.Members)
		}
		w.stop(d)
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

// Guards against an instance without links to its peers that fights with them
// over the placement.
func TestIsolatedInstance(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(6)...)
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.start(p, name, "z", "1", "peer:a"))
		}
		time.Sleep(10 * time.Second)
		p.writes = 0
		w.link("a", true)
		time.Sleep(10 * time.Second)
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 2 || p.writes != 1 {
			t.Errorf("members %v after %d writes", got, p.writes)
		}
		time.Sleep(2 * time.Minute)
		if p.writes != 1 {
			t.Errorf("%d writes in two minutes", p.writes)
		}
		w.link("a", false)
		time.Sleep(10 * time.Second)
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 3 {
			t.Errorf("members %v after the link healed", got)
		}
	})
}

// Guards against a crash that leaves warm targets unserved until the placement
// moves, a stand-in that starts while the holder's lease may run, and one that
// sends to a cold target.
func TestStandInServesWarmTargets(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(12)...)
		nodes := []*node{w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a"), w.start(p, "c", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		holders := nodes[0].store.Load().Placements["z"].Holders
		holder, cold := holders["t0"], ""
		for target, h := range holders {
			if h == holder && target != "t0" {
				cold = target
			}
		}
		var left []*node
		for _, n := range nodes {
			if n.self.Name != holder {
				left = append(left, n)
				continue
			}
			n.pool.Adopt(state.Load{Target: "t0", Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"})
			n.pool.Adopt(state.Load{Target: cold, Phase: state.PhaseCold, Limit: 1, Incarnation: "1"})
			time.Sleep(time.Second)
			w.stop(n)
		}
		p.set("", true)
		provisional := func(target string) (names []string) {
			for _, n := range left {
				r := n.rights.Right(target, time.Now())
				if r.Kind != placement.None {
					names = append(names, n.self.Name)
				}
			}
			return names
		}
		time.Sleep(1400 * time.Millisecond)
		if got := provisional("t0"); len(got) != 0 {
			t.Errorf("%v served a target whose holder may still be confirmed", got)
		}
		time.Sleep(600 * time.Millisecond)
		want := placement.Route(left[0].store.Load(), left[0].self.Name, "z", "t0")
		if got := provisional("t0"); len(got) != 1 || got[0] != want {
			t.Errorf("%v stand in, routed to %s", got, want)
		}
		if got := provisional(cold); len(got) != 0 {
			t.Errorf("%v serve a cold target", got)
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
		const slow = 400 * time.Millisecond
		p.slow.Store(int64(slow))
		time.Sleep(5 * time.Second)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if until := n.rights.Right("t0", time.Now()).Until; time.Until(until) > placement.LeaseTerm-slow {
				t.Fatalf("lease ends in %v after a slow read", time.Until(until))
			}
		}
	})
}

// Guards against a zone that stays dark after all its members crashed and
// instances of other names took their place, and against a takeover after an
// outage of the platform that is as long.
func TestOrphanedZoneIsTakenOver(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(6)...)
		old := []*node{w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		before := epoch(old[0])
		for _, n := range old {
			w.stop(n)
		}
		nodes := []*node{w.start(p, "c", "z", "1"), w.start(p, "d", "z", "1", "peer:c")}
		time.Sleep(20 * time.Second)
		p.set("", true)
		time.Sleep(30 * time.Second)
		p.set("", false)
		time.Sleep(28 * time.Second)
		if got := epoch(nodes[0]); got != before {
			t.Errorf("taken over at epoch %d after 28 s with the platform", got)
		}
		time.Sleep(6 * time.Second)
		for target, holder := range nodes[0].store.Load().Placements["z"].Holders {
			if got := confirmed(nodes, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 2 {
			t.Errorf("members %v", got)
		}
	})
}

// Guards against a new instance without links to its peers that keeps the zone
// from its healthy members.
func TestIsolatedNewInstanceLosesTheZone(t *testing.T) {
	bubble(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.list(targetItems(6)...)
		nodes := []*node{w.start(p, "a", "z", "1"), w.start(p, "b", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		w.link("c", true)
		w.start(p, "c", "z", "1", "peer:a")
		p.writes = 0
		time.Sleep(5 * time.Minute)
		if got := nodes[0].store.Load().Placements["z"].Members; len(got) != 2 || p.writes > 2 {
			t.Errorf("members %v after %d writes", got, p.writes)
		}
	})
}

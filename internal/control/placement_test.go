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

func placementEpoch(n *node) int64 { return n.store.Load().Placements["z"].Epoch }

// confirmedHolders returns the nodes with a confirmed lease on a target.
func confirmedHolders(nodes []*node, target string) (names []string) {
	for _, n := range nodes {
		if n.leases.Lease(target, time.Now()).Kind == placement.Confirmed {
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

// Guards against a placement that changes because a link flaps or an instance
// appears only briefly, against moves of targets whose holder is still a
// member, and against targets without a confirmed holder after a crash.
func TestPlacementFollowsMembers(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(12)...)
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.startNode(p, name, "z", "1", "peer:a"))
		}
		time.Sleep(12 * time.Second)
		before := nodes[0].store.Load().Placements["z"]
		if len(before.Members) != 3 || len(before.Holders) != 12 {
			t.Fatalf("placement %+v", before)
		}
		for target, holder := range before.Holders {
			if got := confirmedHolders(nodes, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		for range 8 {
			w.setCut("b", true)
			time.Sleep(2300 * time.Millisecond) // b is suspect for the last 1.3 s
			w.setCut("b", false)
			time.Sleep(500 * time.Millisecond)
		}
		if placementEpoch(nodes[0]) != before.Epoch {
			t.Fatal("a flapping link moved targets")
		}
		d := w.startNode(p, "d", "z", "1", "peer:a")
		time.Sleep(700 * time.Millisecond)
		w.setCut("d", true) // d becomes suspect a second later
		time.Sleep(8 * time.Second)
		if got := nodes[0].store.Load().Placements["z"]; got.Epoch != before.Epoch {
			t.Errorf("an instance that was alive for 1.7 s moved targets: members %v", got.Members)
		}
		w.crash(d)
		p.setDown("", true)
		time.Sleep(4 * time.Second)
		if got := confirmedHolders(nodes, "t0"); len(got) != 1 {
			t.Errorf("%v confirmed by peers during a platform outage, want 1 instance", got)
		}
		w.crash(nodes[1])
		time.Sleep(5 * time.Second)
		if placementEpoch(nodes[0]) != before.Epoch || len(confirmedHolders(nodes, "t0")) != 0 {
			t.Error("placement changed or lease confirmed without the platform and a member")
		}
		p.setDown("", false)
		time.Sleep(5 * time.Second)
		after := nodes[0].store.Load().Placements["z"]
		for target, holder := range after.Holders {
			if was := before.Holders[target]; was != holder && was != "b" {
				t.Errorf("%s moved from %s to %s", target, was, holder)
			}
			if got := confirmedHolders([]*node{nodes[0], nodes[2]}, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		if len(after.Members) != 2 {
			t.Errorf("members %v", after.Members)
		}
	})
}

// Guards against endless placement writes when an instance loses the links to
// its peers, but not the one to the platform: each side would remove the other
// from the members again and again.
func TestIsolatedInstanceWritesNoPlacement(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(6)...)
		var nodes []*node
		for _, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, w.startNode(p, name, "z", "1", "peer:a"))
		}
		time.Sleep(10 * time.Second)
		p.placementWrites = 0
		w.setCut("a", true)
		time.Sleep(10 * time.Second)
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 2 || p.placementWrites != 1 {
			t.Errorf("members %v after %d writes", got, p.placementWrites)
		}
		time.Sleep(2 * time.Minute)
		if p.placementWrites != 1 {
			t.Errorf("%d writes in two minutes", p.placementWrites)
		}
		w.setCut("a", false)
		time.Sleep(10 * time.Second)
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 3 {
			t.Errorf("members %v after the link was restored", got)
		}
	})
}

// Guards against warm targets that nobody serves after their holder crashed,
// until the placement changes. Another instance serves them with a provisional
// lease; it must not start while the holder's lease may still run, and must not
// send to cold targets.
func TestProvisionalLeaseServesWarmTargets(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(12)...)
		nodes := []*node{w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a"), w.startNode(p, "c", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		holders := nodes[0].store.Load().Placements["z"].Holders
		holder, cold := holders["t0"], ""
		for target, h := range holders {
			if h == holder && target != "t0" {
				cold = target
			}
		}
		var survivors []*node
		for _, n := range nodes {
			if n.self.Name != holder {
				survivors = append(survivors, n)
				continue
			}
			n.pool.AdoptLoad(state.Load{Target: "t0", Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"})
			n.pool.AdoptLoad(state.Load{Target: cold, Phase: state.PhaseCold, Limit: 1, Incarnation: "1"})
			// Heartbeats are sent at the same instants by all instances. A crash at one
			// of them may come before or after its heartbeat.
			time.Sleep(time.Second + heartbeatInterval/5)
			w.crash(n)
		}
		crashed := time.Now()
		for _, n := range survivors {
			if age := crashed.Sub(n.leases.Evidence().Granted[holder]); age > heartbeatInterval/2 {
				t.Fatalf("%s granted the holder its lease %v before the crash", n.self.Name, age)
			}
		}
		p.setDown("", true)
		provisional := func(target string) (names []string) {
			for _, n := range survivors {
				lease := n.leases.Lease(target, time.Now())
				if lease.Kind != placement.NoLease {
					names = append(names, n.self.Name)
				}
			}
			return names
		}
		time.Sleep(1400 * time.Millisecond)
		if got := provisional("t0"); len(got) != 0 {
			t.Errorf("%v served a target whose holder may still have a confirmed lease", got)
		}
		time.Sleep(600 * time.Millisecond)
		want := placement.InstanceFor(survivors[0].store.Load(), survivors[0].self.Name, "z", "t0")
		if got := provisional("t0"); len(got) != 1 || got[0] != want {
			t.Errorf("%v have a provisional lease, requests are routed to %s", got, want)
		}
		if got := provisional(cold); len(got) != 0 {
			t.Errorf("%v serve a cold target", got)
		}
	})
}

// Guards against a graceful stop that loses the state of targets, that moves a
// target while its previous holder is still sending to it, or after which the
// next instance of the zone has to wait before it may send.
func TestReleaseHandsOver(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(8)...)
		a, b := w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")
		time.Sleep(10 * time.Second)
		before := a.store.Load().Placements["z"]
		var moved string
		for target, holder := range before.Holders {
			if holder == "b" {
				moved = target
			}
		}
		b.pool.AdoptLoad(state.Load{Target: moved, Phase: state.PhaseWarm, Limit: 2, Incarnation: "1"})
		b.pool.mu.Lock()
		b.pool.busy[moved] = true
		b.pool.mu.Unlock()
		released := make(chan error, 1)
		b.membership.SetState(StateDraining)
		time.Sleep(time.Second)
		go func() { released <- b.control.Release(t.Context()) }()
		time.Sleep(700 * time.Millisecond)
		if got := confirmedHolders([]*node{a, b}, moved); len(got) != 0 {
			t.Errorf("%v confirmed while the previous holder is still sending", got)
		}
		b.pool.mu.Lock()
		b.pool.busy[moved] = false
		b.pool.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if got := confirmedHolders([]*node{a, b}, moved); len(got) != 1 || got[0] != "a" {
			t.Errorf("%v confirmed after the release", got)
		}
		if l := a.pool.loads[moved]; l.Limit != 2 || l.Phase != state.PhaseWarm {
			t.Errorf("load of the target after the handover: %+v", l)
		}
		if err := <-released; err != nil {
			t.Error(err)
		}
		w.crash(b)
		if err := a.control.Release(t.Context()); err != nil || !a.store.Load().Placements["z"].Released {
			t.Errorf("last instance: %v", err)
		}
		w.crash(a)
		c := w.startNode(p, "c", "z", "1")
		time.Sleep(1200 * time.Millisecond)
		if got := confirmedHolders([]*node{c}, moved); len(got) != 1 {
			t.Error("a new instance did not take over a released placement at once")
		}
	})
}

type recordingLeases struct {
	Leases
	sentAt time.Time
}

func (l *recordingLeases) ObserveAnswer(_ string, _ int64, _ bool, sentAt time.Time) {
	l.sentAt = sentAt
}

type slowPeers struct{ peerpb.Peer }

func (slowPeers) Client(string) peerpb.Peer { return slowPeers{} }

func (slowPeers) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	time.Sleep(900 * time.Millisecond)
	return &peerpb.ExchangeReply{From: &peerpb.Instance{Name: "b", Zone: "z", PeerAddress: "peer:b"}, Granted: true}, nil
}

// Guards against leases and confirmations that last too long because their
// time starts at the answer. The peer or the platform may have made the answer
// much earlier, so only the send time of the request is safe.
func TestEvidenceCountsFromSendTime(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		n := w.startNode(p, "a", "z", "1")
		leases := &recordingLeases{Leases: n.leases}
		fresh := NewFreshness(nil)
		m := NewMembership(nil, n.self, n.store, slowPeers{}, n.sync, fresh, leases, n.pool, &platformLink{p, "a"})
		startedAt := time.Now()
		m.heartbeat(t.Context(), "peer:b", false)
		if !leases.sentAt.Equal(startedAt) || fresh.Age() < 900*time.Millisecond {
			t.Errorf("grant counts from %v after the send time, age of the confirmation %v", leases.sentAt.Sub(startedAt), fresh.Age())
		}
		p.setTargets(targetItems(1)...)
		const readDelay = 400 * time.Millisecond
		p.readDelay.Store(int64(readDelay))
		time.Sleep(5 * time.Second)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if until := n.leases.Lease("t0", time.Now()).Until; time.Until(until) > placement.LeaseTerm-readDelay {
				t.Fatalf("lease ends in %v after a slow read", time.Until(until))
			}
		}
	})
}

// Guards against a zone whose targets nobody serves after all members of its
// placement crashed and instances with other names took their place. Also guards
// against a takeover that counts the time of a platform outage.
func TestOrphanedZoneIsTakenOver(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(6)...)
		old := []*node{w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		before := placementEpoch(old[0])
		for _, n := range old {
			w.crash(n)
		}
		nodes := []*node{w.startNode(p, "c", "z", "1"), w.startNode(p, "d", "z", "1", "peer:c")}
		time.Sleep(20 * time.Second)
		p.setDown("", true)
		time.Sleep(30 * time.Second)
		p.setDown("", false)
		time.Sleep(28 * time.Second)
		if got := placementEpoch(nodes[0]); got != before {
			t.Errorf("taken over at epoch %d, 28 s after the platform answered again", got)
		}
		time.Sleep(6 * time.Second)
		for target, holder := range nodes[0].store.Load().Placements["z"].Holders {
			if got := confirmedHolders(nodes, target); len(got) != 1 || got[0] != holder {
				t.Errorf("%s: %v confirmed, holder %s", target, got, holder)
			}
		}
		if got := nodes[1].store.Load().Placements["z"].Members; len(got) != 2 {
			t.Errorf("members %v", got)
		}
	})
}

// Guards against a new instance without links to its peers that keeps the zone.
// It sees no member alive and may take the zone over, but the healthy members
// must get it back.
func TestIsolatedNewInstanceLosesTheZone(t *testing.T) {
	runOnFakeClock(t, func(t *testing.T, w *network, p *fakePlatform) {
		p.setTargets(targetItems(6)...)
		nodes := []*node{w.startNode(p, "a", "z", "1"), w.startNode(p, "b", "z", "1", "peer:a")}
		time.Sleep(10 * time.Second)
		w.setCut("c", true)
		w.startNode(p, "c", "z", "1", "peer:a")
		p.placementWrites = 0
		time.Sleep(5 * time.Minute)
		if got := nodes[0].store.Load().Placements["z"].Members; len(got) != 2 || p.placementWrites > 2 {
			t.Errorf("members %v after %d writes", got, p.placementWrites)
		}
	})
}

package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsill/baobabsill/internal/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260", "rapid.checks": "6000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// modelInstance is an instance in the model, with a clock of its own rate.
type modelInstance struct {
	name   string
	rate   float64
	paused bool
	leases *Leases
	store  *state.Store
}

// message is a heartbeat or a platform read in transit. Each takes two
// deliveries: to the receiver, and back with the answer.
type message struct {
	from, to  string // to is "" for the platform
	epoch     int64  // the sender's epoch when it sent the message
	sentAt    time.Time
	answered  bool
	granted   bool
	released  []string
	placement state.Placement // the receiver's
}

// leaseModel simulates the instances of a zone, the links between them and the
// platform, with all clocks under the control of the test.
type leaseModel struct {
	now       time.Duration // time since the start, by a perfect clock
	instances map[string]*modelInstance
	names     []string
	// brokenLinks has the keys "a" (all peers of a), "a-b", "a-platform" and
	// "a-fetch" (a adopts no placement from a peer's answer).
	brokenLinks  map[string]bool
	platformDown bool
	placement    state.Placement
	messages     []message
	// leaseEnds is the time, like now, at which the last confirmed lease of an
	// instance ends, by target and instance.
	leaseEnds      map[string]map[string]time.Duration
	confirmedCount int
	moveCount      int
	replacedCount  int
	takeoverCount  int // confirmed leases on targets that a takeover moved
}

var leaseTargets = []string{"t1", "t2", "t3"}

func newLeaseModel(t *rapid.T) *leaseModel {
	m := &leaseModel{instances: map[string]*modelInstance{}, brokenLinks: map[string]bool{}, leaseEnds: map[string]map[string]time.Duration{}}
	for _, name := range []string{"a", "b", "c", "d"} {
		// At rates up to 3% off, two clocks drift apart by less than MaxClockError
		// over the wait of moveEnded.
		n := &modelInstance{name: name, rate: rapid.Float64Range(0.97, 1.03).Draw(t, "rate")}
		m.instances[name], m.names = n, append(m.names, name)
		m.startInstance(n)
	}
	for _, target := range leaseTargets {
		m.leaseEnds[target] = map[string]time.Duration{}
	}
	m.placement = nextPlacement(state.Placement{}, "z", []string{"a", "b", "c"}, leaseTargets)
	m.placement.Epoch = 1
	return m
}

func (m *leaseModel) startInstance(n *modelInstance) {
	n.store, n.paused = state.NewStore(), false
	n.store.Update(func(s *state.Snapshot) {
		s.Targets = map[string]state.Target{}
		for _, t := range leaseTargets {
			s.Targets[t] = state.Target{Name: t, Zone: "z", Incarnation: "i"}
		}
	})
	n.leases = NewLeases(n.name, "z", n.store)
	for _, ends := range m.leaseEnds {
		delete(ends, n.name)
	}
}

func (m *leaseModel) localTime(n *modelInstance) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(m.now) * n.rate))
}

func (m *leaseModel) adopt(n *modelInstance, p state.Placement) {
	if p.Epoch > n.store.Load().Placements["z"].Epoch {
		n.store.Update(func(s *state.Snapshot) { s.Placements = map[string]state.Placement{"z": p} })
		n.leases.ObserveAdoptedEpoch(p.Epoch, m.localTime(n))
	}
}

func (m *leaseModel) isLinked(a, b string) bool {
	if b == "" {
		return !m.platformDown && !m.brokenLinks[a+"-platform"]
	}
	return !m.brokenLinks[a] && !m.brokenLinks[b] && !m.brokenLinks[min(a, b)+"-"+max(a, b)]
}

func (m *leaseModel) newMessage(from *modelInstance, to string) message {
	epoch, _ := from.leases.Released()
	return message{from: from.name, to: to, epoch: epoch, sentAt: m.localTime(from)}
}

// deliver transports a message one way and returns false if it is lost. With
// fetch, the sender of a heartbeat also adopts the placement of the receiver.
func (m *leaseModel) deliver(msg *message, fetch bool) bool {
	if !m.isLinked(msg.from, msg.to) {
		return false
	}
	if !msg.answered {
		msg.answered = true
		if msg.to == "" {
			msg.placement = m.placement
			return true
		}
		to := m.instances[msg.to]
		if to.paused {
			return false
		}
		msg.granted = to.leases.Grant(msg.from, msg.epoch, m.localTime(to))
		_, msg.released = to.leases.Released()
		msg.placement = to.store.Load().Placements["z"]
		return true
	}
	from := m.instances[msg.from]
	if from.paused {
		return false
	}
	if msg.to == "" || fetch {
		m.adopt(from, msg.placement)
	}
	if msg.to == "" {
		from.leases.ObservePlatform(msg.placement.Epoch, msg.sentAt)
		return true
	}
	from.leases.ObserveAnswer(msg.to, msg.epoch, msg.granted, msg.sentAt)
	from.leases.ObserveEpoch(msg.to, msg.placement.Epoch, msg.released, m.localTime(from))
	return true
}

// heartbeatRound lets each instance send one heartbeat to each other one and, by
// chance, one platform read.
func (m *leaseModel) heartbeatRound(t *rapid.T) {
	reads := rapid.Bool().Draw(t, "reads")
	for _, from := range m.names {
		if m.instances[from].paused {
			continue
		}
		fetch := !m.brokenLinks[from+"-fetch"]
		for _, to := range append(slices.Clone(m.names), "") {
			if to == from || to == "" && !reads {
				continue
			}
			msg := m.newMessage(m.instances[from], to)
			if m.deliver(&msg, fetch) {
				m.deliver(&msg, fetch)
			}
		}
	}
}

func (m *leaseModel) writePlacement(t *rapid.T) {
	n := m.instances[rapid.SampledFrom(m.names).Draw(t, "writer")]
	p := n.store.Load().Placements["z"]
	if n.paused || !m.isLinked(n.name, "") || p.Epoch != m.placement.Epoch || !allMovesEnded(p, n.leases.Evidence(), n.name, m.localTime(n)) {
		return
	}
	members := rapid.SliceOfNDistinct(rapid.SampledFrom(m.names), 1, 4, rapid.ID).Draw(t, "members")
	slices.Sort(members)
	targets := slices.Clone(leaseTargets)
	if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
		targets = targets[1:]
	}
	next := nextPlacement(p, "z", members, targets)
	next.Epoch = p.Epoch + 1
	m.placement = next
	m.moveCount += len(next.Previous)
	if rapid.Bool().Draw(t, "answered") {
		m.adopt(n, next)
	}
}

// replaceInstance crashes an instance and starts one of a new name in its place.
func (m *leaseModel) replaceInstance(n *modelInstance) {
	oldName := n.name
	delete(m.instances, oldName)
	for _, ends := range m.leaseEnds {
		delete(ends, oldName)
	}
	m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return msg.from == oldName || msg.to == oldName })
	m.replacedCount++
	n.name = fmt.Sprintf("%s%d", oldName[:1], m.replacedCount)
	m.instances[n.name], m.names[slices.Index(m.names, oldName)] = n, n.name
	m.startInstance(n)
}

// takeOver lets an instance that is not a member and reaches none take over the
// placement. Each old member crashes or is cut off from it. At least one member
// of each epoch that can have a confirmed lease has crashed, as orphanDelay
// assumes; the model does not wait for the delay.
func (m *leaseModel) takeOver(t *rapid.T) {
	n, p := m.instances[rapid.SampledFrom(m.names).Draw(t, "taker")], m.placement
	if n.paused || !m.isLinked(n.name, "") {
		return
	}
	if slices.Contains(p.Members, n.name) {
		m.replaceInstance(n)
	}
	for _, name := range slices.Concat(p.PreviousMembers, p.Members) {
		if old := m.instances[name]; old == nil || name == n.name {
			continue
		} else if rapid.Bool().Draw(t, "crash") {
			m.replaceInstance(old)
		} else {
			m.brokenLinks[min(n.name, name)+"-"+max(n.name, name)] = true
		}
	}
	for _, members := range [][]string{p.PreviousMembers, p.Members} {
		if len(members) > 1 && !slices.ContainsFunc(members, func(name string) bool { return m.instances[name] == nil }) {
			return
		}
	}
	m.adopt(n, p)
	n.leases.ObservePlatform(p.Epoch, m.localTime(n))
	members := []string{n.name}
	for _, name := range m.names {
		if name != n.name && !slices.Contains(p.Members, name) && rapid.Bool().Draw(t, "joins") {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	m.placement = takeoverPlacement(p, "z", members, leaseTargets)
	m.placement.Epoch = p.Epoch + 1
	if rapid.Bool().Draw(t, "answered") {
		m.adopt(n, m.placement)
	}
}

// reportReleases lets an instance report the targets that moved away from it as
// released. It has no requests in flight there, so its last lease no longer counts.
func (m *leaseModel) reportReleases(n *modelInstance) {
	p := n.store.Load().Placements["z"]
	for target, previous := range p.Previous {
		if previous == n.name && !n.paused {
			n.leases.MarkReleased(target, p.Epoch)
			delete(m.leaseEnds[target], n.name)
		}
	}
}

// checkHolders fails if an instance has a confirmed lease on a target before the
// last confirmed lease of another instance has ended, since requests that the
// other one sent may run until then.
func (m *leaseModel) checkHolders(t *rapid.T) {
	for _, target := range leaseTargets {
		for _, name := range m.names {
			n := m.instances[name]
			lease := n.leases.Lease(target, m.localTime(n))
			if lease.Kind != Confirmed {
				continue
			}
			m.confirmedCount++
			if p := n.store.Load().Placements["z"]; p.Previous[target] != "" && p.PreviousMembers == nil {
				m.takeoverCount++
			}
			for other, until := range m.leaseEnds[target] {
				if other != name && m.now < until {
					t.Fatalf("%s and %s are both confirmed for %s at %v (epochs %d and %d)", name, other, target, m.now,
						n.store.Load().Placements["z"].Epoch, m.instances[other].store.Load().Placements["z"].Epoch)
				}
			}
			end := time.Duration(float64(lease.Until.Sub(time.Unix(1000, 0))) / n.rate)
			m.leaseEnds[target][name] = max(end, m.leaseEnds[target][name])
		}
	}
}

// Guards against two instances that both have a confirmed lease on a target and
// together overload it while it is cold. Random histories have pauses, cut links,
// platform outages, lost and late messages, joins, leaves, restarts, and crashes
// of members while others take over.
func TestOneConfirmedHolder(t *testing.T) {
	confirmed, moves, takeovers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		anyInstance := func(t *rapid.T) *modelInstance { return m.instances[rapid.SampledFrom(m.names).Draw(t, "node")] }
		toggle := func(key string) {
			if m.brokenLinks[key] = !m.brokenLinks[key]; !m.brokenLinks[key] {
				delete(m.brokenLinks, key)
			}
		}
		advance := func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
		}
		advanceAndHeartbeat := func(t *rapid.T) { advance(t); m.heartbeatRound(t) }
		t.Repeat(map[string]func(*rapid.T){
			"live1": advanceAndHeartbeat, "live2": advanceAndHeartbeat, "live3": advanceAndHeartbeat, "live4": advanceAndHeartbeat,
			"advance": advance,
			"ask": func(t *rapid.T) {
				from, to := anyInstance(t), rapid.SampledFrom(append(slices.Clone(m.names), "")).Draw(t, "to")
				if from.name != to && !from.paused {
					m.messages = append(m.messages, m.newMessage(from, to))
				}
			},
			"deliver": func(t *rapid.T) {
				if len(m.messages) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
				wasAnswered := m.messages[i].answered
				if !m.deliver(&m.messages[i], rapid.Bool().Draw(t, "fetch")) || wasAnswered {
					m.messages = slices.Delete(m.messages, i, i+1)
				}
			},
			"write1":  m.writePlacement,
			"write2":  m.writePlacement,
			"take":    m.takeOver,
			"release": func(t *rapid.T) { m.reportReleases(anyInstance(t)) },
			"restart": func(t *rapid.T) {
				n := anyInstance(t)
				m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return msg.from == n.name })
				m.startInstance(n)
			},
			"pause":   func(t *rapid.T) { n := anyInstance(t); n.paused = !n.paused },
			"isolate": func(t *rapid.T) { toggle(anyInstance(t).name) },
			"cut": func(t *rapid.T) {
				a, b := anyInstance(t).name, anyInstance(t).name
				toggle(min(a, b) + "-" + max(a, b))
			},
			"cut off": func(t *rapid.T) { toggle(anyInstance(t).name + "-platform") },
			"stuck": func(t *rapid.T) {
				n := anyInstance(t)
				toggle(n.name + "-fetch")
				m.brokenLinks[n.name+"-platform"] = m.brokenLinks[n.name+"-fetch"]
			},
			"platform": func(*rapid.T) { m.platformDown = !m.platformDown },
			"heal":     func(*rapid.T) { clear(m.brokenLinks); m.platformDown = false },
			"":         m.checkHolders,
		})
		confirmed += m.confirmedCount
		moves += m.moveCount
		takeovers += m.takeoverCount
	})
	t.Logf("%d confirmed leases over %d moves, %d after a takeover", confirmed, moves, takeovers)
	if confirmed < 1000 || moves < 1000 || takeovers < 1000 {
		t.Fatal("too few confirmed leases, moves or takeovers for a meaningful check")
	}
}

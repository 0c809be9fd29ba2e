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

// leaseNode is one instance of the model. Its clock runs at its own rate.
type leaseNode struct {
	name   string
	rate   float64
	paused bool
	rights *Rights
	store  *state.Store
}

// message is a heartbeat or a platform read that is under way. Each takes two
// deliveries: to the one who answers and back.
type message struct {
	from, to  string // to is "" for the platform
	epoch     int64  // of the question
	sentAt    time.Time
	answered  bool
	granted   bool
	released  []string
	placement state.Placement // of the one who answers
}

type leaseModel struct {
	now       time.Duration // real time
	nodes     map[string]*leaseNode
	names     []string
	cut       map[string]bool // instance names and pairs without a link
	down      bool            // platform
	placement state.Placement
	messages  []message
	// until is the real time at which the last right of an instance to send to
	// a target ends, by target and instance.
	until     map[string]map[string]time.Duration
	confirmed int
	moves     int
	replaced  int
	takeovers int // confirmed rights of holders that took over
}

var leaseTargets = []string{"t1", "t2", "t3"}

func newLeaseModel(t *rapid.T) *leaseModel {
	m := &leaseModel{nodes: map[string]*leaseNode{}, cut: map[string]bool{}, until: map[string]map[string]time.Duration{}}
	for _, name := range []string{"a", "b", "c", "d"} {
		// Rates up to 3% off differ by less than MaxClockError over the wait.
		n := &leaseNode{name: name, rate: rapid.Float64Range(0.97, 1.03).Draw(t, "rate")}
		m.nodes[name], m.names = n, append(m.names, name)
		m.start(n)
	}
	for _, target := range leaseTargets {
		m.until[target] = map[string]time.Duration{}
	}
	m.placement = nextPlacement(state.Placement{}, "z", []string{"a", "b", "c"}, leaseTargets)
	m.placement.Epoch = 1
	return m
}

func (m *leaseModel) start(n *leaseNode) {
	n.store, n.paused = state.NewStore(), false
	n.store.Update(func(s *state.Snapshot) {
		s.Targets = map[string]state.Target{}
		for _, t := range leaseTargets {
			s.Targets[t] = state.Target{Name: t, Zone: "z", Incarnation: "i"}
		}
	})
	n.rights = NewRights(n.name, "z", n.store)
	for _, at := range m.until {
		delete(at, n.name)
	}
}

func (m *leaseModel) clock(n *leaseNode) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(m.now) * n.rate))
}

func (m *leaseModel) adopt(n *leaseNode, p state.Placement) {
	if p.Epoch > n.store.Load().Placements["z"].Epoch {
		n.store.Update(func(s *state.Snapshot) { s.Placements = map[string]state.Placement{"z": p} })
		n.rights.ObserveAdopted(p.Epoch, m.clock(n))
	}
}

func (m *leaseModel) linked(a, b string) bool {
	if b == "" {
		return !m.down && !m.cut[a+"-platform"]
	}
	return !m.cut[a] && !m.cut[b] && !m.cut[min(a, b)+"-"+max(a, b)]
}

func (m *leaseModel) ask(from *leaseNode, to string) message {
	epoch, _ := from.rights.Released()
	return message{from: from.name, to: to, epoch: epoch, sentAt: m.clock(from)}
}

// deliver takes a message one way. It returns false if it got lost. With
// fetch, a heartbeat's answer is followed by a fetch of the placement.
func (m *leaseModel) deliver(msg *message, fetch bool) bool {
	if !m.linked(msg.from, msg.to) {
		return false
	}
	if !msg.answered {
		msg.answered = true
		if msg.to == "" {
			msg.placement = m.placement
			return true
		}
		to := m.nodes[msg.to]
		if to.paused {
			return false
		}
		msg.granted = to.rights.Grant(msg.from, msg.epoch, m.clock(to))
		_, msg.released = to.rights.Released()
		msg.placement = to.store.Load().Placements["z"]
		return true
	}
	from := m.nodes[msg.from]
	if from.paused {
		return false
	}
	if msg.to == "" || fetch {
		m.adopt(from, msg.placement)
	}
	if msg.to == "" {
		from.rights.ObservePlatform(msg.placement.Epoch, msg.sentAt)
		return true
	}
	from.rights.ObserveAnswer(msg.to, msg.epoch, msg.granted, msg.sentAt)
	from.rights.ObserveEpoch(msg.to, msg.placement.Epoch, msg.released, m.clock(from))
	return true
}

// round is one heartbeat of each instance to each other, and reads.
func (m *leaseModel) round(t *rapid.T) {
	reads := rapid.Bool().Draw(t, "reads")
	for _, from := range m.names {
		if m.nodes[from].paused {
			continue
		}
		fetch := !m.cut[from+"-fetch"]
		for _, to := range append(slices.Clone(m.names), "") {
			if to == from || to == "" && !reads {
				continue
			}
			msg := m.ask(m.nodes[from], to)
			if m.deliver(&msg, fetch) {
				m.deliver(&msg, fetch)
			}
		}
	}
}

func (m *leaseModel) write(t *rapid.T) {
	n := m.nodes[rapid.SampledFrom(m.names).Draw(t, "writer")]
	p := n.store.Load().Placements["z"]
	if n.paused || !m.linked(n.name, "") || p.Epoch != m.placement.Epoch || !settled(p, n.rights.Evidence(), n.name, m.clock(n)) {
		return
	}
	members := rapid.SliceOfNDistinct(rapid.SampledFrom(m.names), 1, 4, rapid.ID).Draw(t, "members")
	slices.Sort(members)
	targets := slices.Clone(leaseTargets)
	if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
		targets = targets[1:]
	}
	changed := nextPlacement(p, "z", members, targets)
	changed.Epoch = p.Epoch + 1
	m.placement = changed
	m.moves += len(changed.Previous)
	if rapid.Bool().Draw(t, "answered") {
		m.adopt(n, changed)
	}
}

// replace crashes an instance and starts one of another name in its place.
func (m *leaseModel) replace(n *leaseNode) {
	gone := n.name
	delete(m.nodes, gone)
	for _, at := range m.until {
		delete(at, gone)
	}
	m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return msg.from == gone || msg.to == gone })
	m.replaced++
	n.name = fmt.Sprintf("%s%d", gone[:1], m.replaced)
	m.nodes[n.name], m.names[slices.Index(m.names, gone)] = n, n.name
	m.start(n)
}

// takeOver lets an instance that is no member, and reaches none, write the
// placement. The members crash or are cut off from it, and one of each epoch
// that may have a lease crashes, which is what orphanDelay assumes. The model
// does without the delay.
func (m *leaseModel) takeOver(t *rapid.T) {
	n, p := m.nodes[rapid.SampledFrom(m.names).Draw(t, "taker")], m.placement
	if n.paused || !m.linked(n.name, "") {
		return
	}
	if slices.Contains(p.Members, n.name) {
		m.replace(n)
	}
	for _, name := range slices.Concat(p.PreviousMembers, p.Members) {
		if old := m.nodes[name]; old == nil || name == n.name {
			continue
		} else if rapid.Bool().Draw(t, "crash") {
			m.replace(old)
		} else {
			m.cut[min(n.name, name)+"-"+max(n.name, name)] = true
		}
	}
	for _, members := range [][]string{p.PreviousMembers, p.Members} {
		if len(members) > 1 && !slices.ContainsFunc(members, func(name string) bool { return m.nodes[name] == nil }) {
			return
		}
	}
	m.adopt(n, p)
	n.rights.ObservePlatform(p.Epoch, m.clock(n))
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

// release lets an instance report the targets that moved away from it. None
// is in flight there, so its last right has no effect any more.
func (m *leaseModel) release(n *leaseNode) {
	p := n.store.Load().Placements["z"]
	for target, previous := range p.Previous {
		if previous == n.name && !n.paused {
			n.rights.MarkReleased(target, p.Epoch)
			delete(m.until[target], n.name)
		}
	}
}

// check fails if an instance is confirmed while another one is, or while what
// another one sent under its right may still run.
func (m *leaseModel) check(t *rapid.T) {
	for _, target := range leaseTargets {
		for _, name := range m.names {
			n := m.nodes[name]
			r := n.rights.Right(target, m.clock(n))
			if r.Kind != Confirmed {
				continue
			}
			m.confirmed++
			if p := n.store.Load().Placements["z"]; p.Previous[target] != "" && p.PreviousMembers == nil {
				m.takeovers++
			}
			for other, until := range m.until[target] {
				if other != name && m.now < until {
					t.Fatalf("%s and %s are both confirmed for %s at %v (epochs %d and %d)", name, other, target, m.now,
						n.store.Load().Placements["z"].Epoch, m.nodes[other].store.Load().Placements["z"].Epoch)
				}
			}
			end := time.Duration(float64(r.Until.Sub(time.Unix(1000, 0))) / n.rate)
			m.until[target][name] = max(end, m.until[target][name])
		}
	}
}

// Guards against two instances that may both send to a cold target, over
// pauses, cuts, platform outages, lost and late messages, joins, leaves and
// restarts, and over members that crash while others take over.
func TestOneConfirmedHolder(t *testing.T) {
	confirmed, moves, takeovers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		node := func(t *rapid.T) *leaseNode { return m.nodes[rapid.SampledFrom(m.names).Draw(t, "node")] }
		toggle := func(key string) {
			if m.cut[key] = !m.cut[key]; !m.cut[key] {
				delete(m.cut, key)
			}
		}
		advance := func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
		}
		live := func(t *rapid.T) { advance(t); m.round(t) }
		t.Repeat(map[string]func(*rapid.T){
			"live1": live, "live2": live, "live3": live, "live4": live,
			"advance": advance,
			"ask": func(t *rapid.T) {
				from, to := node(t), rapid.SampledFrom(append(slices.Clone(m.names), "")).Draw(t, "to")
				if from.name != to && !from.paused {
					m.messages = append(m.messages, m.ask(from, to))
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
			"write1":  m.write,
			"write2":  m.write,
			"take":    m.takeOver,
			"release": func(t *rapid.T) { m.release(node(t)) },
			"restart": func(t *rapid.T) {
				n := node(t)
				m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return msg.from == n.name })
				m.start(n)
			},
			"pause":   func(t *rapid.T) { n := node(t); n.paused = !n.paused },
			"isolate": func(t *rapid.T) { toggle(node(t).name) },
			"cut":     func(t *rapid.T) { a, b := node(t).name, node(t).name; toggle(min(a, b) + "-" + max(a, b)) },
			"cut off": func(t *rapid.T) { toggle(node(t).name + "-platform") },
			"stuck": func(t *rapid.T) {
				n := node(t)
				toggle(n.name + "-fetch")
				m.cut[n.name+"-platform"] = m.cut[n.name+"-fetch"]
			},
			"platform": func(*rapid.T) { m.down = !m.down },
			"heal":     func(*rapid.T) { clear(m.cut); m.down = false },
			"":         m.check,
		})
		confirmed += m.confirmed
		moves += m.moves
		takeovers += m.takeovers
	})
	t.Logf("%d confirmed rights over %d moves, %d after a takeover", confirmed, moves, takeovers)
	if confirmed < 1000 || moves < 1000 || takeovers < 1000 {
		t.Fatal("the model hardly confirmed or moved anything")
	}
}

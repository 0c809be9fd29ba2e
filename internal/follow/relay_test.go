package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/logs"
)

const (
	// contact is the contact time of the tests, and applied the time in which a
	// change has to be in force: the users' figures.
	contact = 5 * time.Second
	applied = 3 * time.Second
)

// group are instances that reach each other, by name.
type group struct {
	mu      sync.Mutex
	members map[string]*member
}

func (g *group) member(name string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name]
}

// member is an instance with its own way to a store.
type member struct {
	group    *group
	name     string
	readers  []string    // that it asks
	silent   atomic.Bool // it does not answer others
	store    *fakeStore
	link     *Link
	sink     *replacingSink
	follower *Follower[struct{}]
	relay    *Relay
}

// start adds an instance and runs it until ctx ends.
func (g *group) start(ctx context.Context, name string, readers ...string) *member {
	logger := logs.OrDiscard(nil)
	m := &member{group: g, name: name, readers: readers, store: &fakeStore{revision: 1}, link: NewLink(logger), sink: &replacingSink{}}
	m.follower = NewFollower(logger, "things", m.link, m.store, m.sink, WatchWait(contact), 0)
	m.relay = NewRelay(logger, m.link, m, MaxAge(contact), m.follower)
	g.mu.Lock()
	g.members[name] = m
	g.mu.Unlock()
	go m.follower.Run(ctx) //nolint:errcheck // ends with ctx
	go m.relay.Run(ctx)    //nolint:errcheck // ends with ctx
	return m
}

func (m *member) Readers() []string { return m.readers }

func (m *member) Any() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for name := range m.group.members {
		if name != m.name {
			return name
		}
	}
	return ""
}

func (m *member) Fetch(ctx context.Context, name string, have map[string]int64) (Answer, error) {
	other := m.group.member(name)
	if other == nil || other.silent.Load() {
		<-ctx.Done()
		return Answer{}, errors.New("no answer")
	}
	return other.relay.Answer(have), nil
}

func (m *member) calls() int {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return m.store.calls
}

// add adds an object to the stores of the instances.
func add(name string, to ...*member) {
	for _, m := range to {
		m.store.add(name)
	}
}

func relayTest(t *testing.T, f func(ctx context.Context, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, &group{members: map[string]*member{}})
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that keeps to an old state while others know better.
func TestRelayServesInstancesThatTheStoreTurnsAway(t *testing.T) {
	relayTest(t, func(ctx context.Context, g *group) {
		served, turnedAway := g.start(ctx, "served"), g.start(ctx, "turned away")
		time.Sleep(time.Second)
		turnedAway.store.set(func() { turnedAway.store.away = true })
		add("a", served)
		add("b", served)
		time.Sleep(4 * time.Second)
		if n, r := turnedAway.sink.listed(), turnedAway.follower.Revision(); n != 2 || r != 3 {
			t.Errorf("%d objects at revision %d, want 2 at 3", n, r)
		}
		turnedAway.store.set(func() { turnedAway.store.away, turnedAway.store.revision = false, 3 })
		time.Sleep(5 * time.Second)
		if turnedAway.link.Lost() {
			t.Error("the store is back, and the instance does not call it")
		}
	})
}

// Guards the store against calls by instances for which another one reads, and
// these against changes that come late.
func TestFewInstancesRead(t *testing.T) {
	relayTest(t, func(ctx context.Context, g *group) {
		reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
		time.Sleep(3 * time.Second)
		before := other.calls()
		for range 10 {
			add("x", reader, other)
			time.Sleep(time.Second)
			if n, want := other.follower.Revision(), reader.follower.Revision(); n != want {
				t.Errorf("revision %d a second after a change, want %d", n, want)
			}
		}
		if n := other.calls() - before; n > 0 {
			t.Errorf("%d calls to the store beside those of the reader", n)
		}
	})
}

// Guards against an instance that trusts a reader that has lost the store, or
// that does not answer.
func TestReaderThatIsCutOffIsNotTrusted(t *testing.T) {
	cut := map[string]func(m *member){
		"store away":   func(m *member) { m.store.set(func() { m.store.away = true }) },
		"store silent": func(m *member) { m.store.set(func() { m.store.silent = true }) },
		"no answer":    func(m *member) { m.silent.Store(true) },
	}
	for name, cut := range cut {
		t.Run(name, func(t *testing.T) {
			relayTest(t, func(ctx context.Context, g *group) {
				reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
				other.store.set(func() { other.store.slow = 600 * time.Millisecond })
				time.Sleep(3 * time.Second)
				cut(reader)
				time.Sleep(10 * time.Millisecond)
				add("x", other)
				time.Sleep(applied)
				if r := other.follower.Revision(); r != 2 {
					t.Errorf("revision %d, want 2", r)
				}
			})
		})
	}
}

// Guards against a state that goes back when a watch of this instance ends after
// another one has given a later state.
func TestLateWatchDoesNotRevert(t *testing.T) {
	sink := &recordingSink{}
	f := NewFollower(logs.OrDiscard(nil), "things", NewLink(logs.OrDiscard(nil)), &fakeStore{}, sink, time.Second, 0)
	f.TakeOver(Listing{Revision: 5})
	f.TakeOver(Listing{Revision: 9})
	f.apply(5, []Change[struct{}]{{Item: Item[struct{}]{Name: "a", Revision: 7}}}, 10)
	if sink.count() != 0 || f.Revision() != 9 {
		t.Errorf("%d changes taken, revision %d", sink.count(), f.Revision())
	}
}

// Guards replicas whose entries lapsed while the store was away: the instance
// that reads for this one has seen the store return.
func TestReturnOfTheStoreIsRelayed(t *testing.T) {
	relayTest(t, func(ctx context.Context, g *group) {
		reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
		time.Sleep(3 * time.Second)
		reader.store.set(func() { reader.store.away = true })
		time.Sleep(2 * time.Second)
		reader.store.set(func() { reader.store.away = false })
		time.Sleep(3 * time.Second)
		if a, b := reader.link.BackAt(), other.link.BackAt(); a.IsZero() || b.Sub(a).Abs() > 100*time.Millisecond {
			t.Errorf("the store is back since %v, the other instance says %v", a, b)
		}
	})
}

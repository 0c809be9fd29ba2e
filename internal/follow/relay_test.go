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
	// contactTime is the instances' contact time, and maxChangeDelay the time in
	// which a change has to be in force. Both are the users' figures.
	contactTime    = 5 * time.Second
	maxChangeDelay = 3 * time.Second
)

// group holds instances that can ask each other, by name.
type group struct {
	mu      sync.Mutex
	members map[string]*member
}

func (g *group) member(name string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name]
}

// member is an instance with a store of its own, so that each can lose its store
// separately.
type member struct {
	group        *group
	name         string
	readers      []string    // names of its readers
	unresponsive atomic.Bool // does not answer other instances
	store        *fakeStore
	link         *Link
	sink         *replacingSink
	state        *stateSink
	follower     *Follower[struct{}]
	relay        *Relay
}

// start adds an instance and runs it until ctx ends.
func (g *group) start(ctx context.Context, name string, readers ...string) *member {
	return g.startAfterSeeds(ctx, name, 0, readers...)
}

// startAfterSeeds is start for an instance that waits for its readers before it reads from
// the store.
func (g *group) startAfterSeeds(ctx context.Context, name string, wait time.Duration, readers ...string) *member {
	logger := logs.OrDiscard(nil)
	m := &member{group: g, name: name, readers: readers, store: &fakeStore{era: 1, revision: 1}, link: NewLink(logger), sink: &replacingSink{}, state: &stateSink{}}
	m.follower = NewFollower(logger, "things", m.link, m.store, sinks{m.sink, m.state}, WatchWait(contactTime), 0)
	m.relay = NewRelay(logger, m.link, m, MaxRelayAge(contactTime), m.follower)
	if wait > 0 {
		m.relay.AwaitSeeds(wait)
	}
	g.mu.Lock()
	g.members[name] = m
	g.mu.Unlock()
	go m.follower.Run(ctx) //nolint:errcheck // ends with ctx
	go m.relay.Run(ctx)    //nolint:errcheck // ends with ctx
	return m
}

// sinks passes what a follower reads to several sinks.
type sinks []Sink[struct{}]

func (s sinks) Replace(items []Item[struct{}]) {
	for _, sink := range s {
		sink.Replace(items)
	}
}

func (s sinks) Apply(changes []Change[struct{}]) {
	for _, sink := range s {
		sink.Apply(changes)
	}
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

func (m *member) Fetch(ctx context.Context, name string, have map[string]Revision) (FetchResult, error) {
	other := m.group.member(name)
	if other == nil || other.unresponsive.Load() {
		<-ctx.Done()
		return FetchResult{}, errors.New("no answer")
	}
	return other.relay.ChangesSince(have), nil
}

func (m *member) calls() int {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return m.store.calls
}

// addObject adds an object to the stores of some instances.
func addObject(name string, to ...*member) {
	for _, m := range to {
		m.store.add(name)
	}
}

func runRelayTest(t *testing.T, f func(ctx context.Context, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, &group{members: map[string]*member{}})
		cancel()
		synctest.Wait()
	})
}

// If all instances of a large fleet list the store when they start, that is most of the
// calls of a day. Guards against that, against an instance that never reads if its seeds
// do not answer, and against one that takes over what a seed knows that lost the store.
func TestStartingInstanceAsksSeeds(t *testing.T) {
	const wait = 1500 * time.Millisecond
	runRelayTest(t, func(ctx context.Context, g *group) {
		seed := g.start(ctx, "seed")
		addObject("a", seed)
		started := g.startAfterSeeds(ctx, "started", wait, "seed")
		time.Sleep(wait)
		if n, calls := started.sink.listed(), started.calls(); n != 1 || calls != 0 {
			t.Errorf("%d objects after %d calls to the store, want 1 and none", n, calls)
		}
		seed.unresponsive.Store(true)
		alone := g.startAfterSeeds(ctx, "alone", wait, "seed")
		time.Sleep(wait + time.Second)
		if alone.calls() == 0 {
			t.Error("the instance waits for seeds that do not answer")
		}
		seed.unresponsive.Store(false)
		seed.store.withLock(func() { seed.store.unavailable = true })
		time.Sleep(2 * MaxRelayAge(contactTime))
		later := g.startAfterSeeds(ctx, "later", wait, "seed")
		later.store.withLock(func() { later.store.revision = 5 })
		time.Sleep(wait + time.Second)
		if r := later.follower.Revision(); r.Number != 5 {
			t.Errorf("revision %v, want 5", r)
		}
	})
}

// Guards against an instance that keeps an outdated state because the store refuses
// only its calls, while other instances have the current one. It also has to call
// the store again once the store accepts its calls.
func TestRelayServesInstancesRefusedByStore(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, g *group) {
		served, refused := g.start(ctx, "served"), g.start(ctx, "turned away")
		time.Sleep(time.Second)
		refused.store.withLock(func() { refused.store.unavailable = true })
		addObject("a", served)
		addObject("b", served)
		time.Sleep(4 * time.Second)
		if n, r := refused.sink.listed(), refused.follower.Revision(); n != 2 || r.Number != 3 {
			t.Errorf("%d objects at revision %v, want 2 at 3", n, r)
		}
		refused.store.withLock(func() { refused.store.unavailable, refused.store.revision = false, 3 })
		time.Sleep(5 * time.Second)
		if refused.link.Lost() {
			t.Error("the store answers again, but the instance did not call it")
		}
	})
}

// Guards against calls to the store by an instance that has a reader, and against
// changes that reach this instance late.
func TestOnlyReaderCallsStore(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, g *group) {
		reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
		time.Sleep(3 * time.Second)
		before := other.calls()
		for range 10 {
			addObject("x", reader, other)
			time.Sleep(time.Second)
			if n, want := other.follower.Revision(), reader.follower.Revision(); n != want {
				t.Errorf("revision %v a second after a change, want %v", n, want)
			}
		}
		if n := other.calls() - before; n > 0 {
			t.Errorf("%d calls to the store by the instance that has a reader", n)
		}
	})
}

// Guards against an outdated state on an instance whose reader has lost the store
// or does not answer: it has to read from the store itself in time, also if its
// own calls are slow.
func TestReaderThatIsCutOffIsNotTrusted(t *testing.T) {
	faults := map[string]func(m *member){
		"store unavailable":  func(m *member) { m.store.withLock(func() { m.store.unavailable = true }) },
		"store unresponsive": func(m *member) { m.store.withLock(func() { m.store.unresponsive = true }) },
		"no answer":          func(m *member) { m.unresponsive.Store(true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			runRelayTest(t, func(ctx context.Context, g *group) {
				reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
				other.store.withLock(func() { other.store.answerDelay = 600 * time.Millisecond })
				time.Sleep(3 * time.Second)
				inject(reader)
				time.Sleep(10 * time.Millisecond)
				addObject("x", other)
				time.Sleep(maxChangeDelay)
				if r := other.follower.Revision(); r.Number != 2 {
					t.Errorf("revision %v, want 2", r)
				}
			})
		})
	}
}

// Guards against a state that reverts to an earlier revision: a watch of this
// instance ends after another instance has relayed a later state.
func TestLateWatchDoesNotRevert(t *testing.T) {
	sink := &recordingSink{}
	f := NewFollower(logs.OrDiscard(nil), "things", NewLink(logs.OrDiscard(nil)), &fakeStore{}, sink, time.Second, 0)
	f.ApplyListing(Listing{Revision: Revision{Number: 5}})
	f.ApplyListing(Listing{Revision: Revision{Number: 9}})
	f.apply(Revision{Number: 5}, []Change[struct{}]{{Item: Item[struct{}]{Name: "a", Revision: 7}}}, Revision{Number: 10})
	if sink.count() != 0 || f.Revision().Number != 9 {
		t.Errorf("%d changes applied, revision %v; want 0 and 9", sink.count(), f.Revision())
	}
}

// Guards against the loss of live replicas whose entries lapsed during an outage
// of the store: they are held from the store's return, which an instance that has
// a reader learns from the reader.
func TestReturnOfTheStoreIsRelayed(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, g *group) {
		reader, other := g.start(ctx, "reader"), g.start(ctx, "other", "reader")
		time.Sleep(3 * time.Second)
		reader.store.withLock(func() { reader.store.unavailable = true })
		time.Sleep(2 * time.Second)
		reader.store.withLock(func() { reader.store.unavailable = false })
		time.Sleep(3 * time.Second)
		if a, b := reader.link.ReturnedAt(), other.link.ReturnedAt(); a.IsZero() || b.Sub(a).Abs() > 100*time.Millisecond {
			t.Errorf("the store returned at %v; the instance with a reader has %v", a, b)
		}
	})
}

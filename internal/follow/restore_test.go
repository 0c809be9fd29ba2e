package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// When the store has come back from a copy, it gives out its revisions again. Guards
// against changes that are not taken because an earlier era had reached a higher
// number, against a state that misses changes because the same number stands for
// another one, and against calls without a pause. A watch may wait across the moment,
// and the store may come back more than once.
func TestChangesAfterTheStoreIsRestoredAreTaken(t *testing.T) {
	outage := func(s *fakeStore, restore func()) {
		s.withLock(func() { s.unavailable = true })
		time.Sleep(2 * time.Second)
		restore()
		s.withLock(func() { s.unavailable = false })
	}
	cases := map[string]struct {
		restore func(s *fakeStore)
		added   []string // to the store afterwards; it had reached revision 4
		want    string
	}{
		"below the old number":  {func(s *fakeStore) { s.restore(2) }, []string{"x"}, "a x"},
		"at the old number":     {func(s *fakeStore) { s.restore(2) }, []string{"x", "y"}, "a x y"},
		"above the old number":  {func(s *fakeStore) { s.restore(2) }, []string{"x", "y", "z"}, "a x y z"},
		"nothing was lost":      {func(s *fakeStore) { s.restore(4) }, []string{"x"}, "a b c x"},
		"without a change":      {func(s *fakeStore) { s.restore(2) }, nil, "a"},
		"after an outage":       {func(s *fakeStore) { outage(s, func() { s.restore(2) }) }, []string{"x", "y"}, "a x y"},
		"twice":                 {func(s *fakeStore) { s.restore(3); s.add("b2"); s.restore(2) }, []string{"x", "y"}, "a x y"},
		"twice during a outage": {func(s *fakeStore) { outage(s, func() { s.restore(3); s.restore(2) }) }, []string{"x"}, "a x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, link := &fakeStore{era: 1, revision: 1}, NewLink(logs.OrDiscard(nil))
				ctx, cancel := context.WithCancel(t.Context())
				sinks := map[time.Duration]*stateSink{WatchWait(contactTime): {}, 25 * time.Second: {}} // by the wait of the watches
				for wait, sink := range sinks {
					go NewFollower(logs.OrDiscard(nil), "things", link, store, sink, wait, 0).Run(ctx) //nolint:errcheck // ends with ctx
				}
				for _, name := range []string{"a", "b", "c"} {
					store.add(name)
				}
				time.Sleep(time.Second)
				c.restore(store)
				store.withLock(func() { store.calls = 0 })
				for _, name := range c.added {
					store.add(name)
				}
				time.Sleep(maxChangeDelay)
				for wait, sink := range sinks {
					if got := sink.state(); got != c.want {
						t.Errorf("objects %q with watches that wait %v, want %q", got, wait, c.want)
					}
				}
				store.withLock(func() {
					if store.calls > 40 {
						t.Errorf("%d calls in %v", store.calls, maxChangeDelay)
					}
				})
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a store whose first restore goes unnoticed, whatever number its eras
// start with, and against a start that counts as a restore.
func TestFirstRestoreIsNoticed(t *testing.T) {
	for _, first := range []int64{0, 1, 7} {
		link := NewLink(logs.OrDiscard(nil))
		link.noteRevision(Revision{first, 5})
		if !link.RestoredAt().IsZero() {
			t.Errorf("the first answer, of era %d, counts as a restore", first)
		}
		link.noteRevision(Revision{first + 1, 3})
		if link.RestoredAt().IsZero() {
			t.Errorf("a restore after era %d was not noticed", first)
		}
	}
}

// Guards against a relay across the moment at which the store comes back from a copy:
// an instance that did not notice takes what one that did has read, and does not bring
// the earlier state back to it.
func TestRestoredStoreIsRelayed(t *testing.T) {
	runRelayTest(t, func(ctx context.Context, g *group) {
		reader, other, cutOff := g.start(ctx, "reader"), g.start(ctx, "other", "reader"), g.start(ctx, "cut off")
		addObject("a", reader, other, cutOff)
		addObject("b", reader, other, cutOff)
		addObject("c", reader, other, cutOff)
		time.Sleep(3 * time.Second)
		cutOff.store.withLock(func() { cutOff.store.unavailable = true })
		for _, m := range []*member{reader, other} {
			m.store.restore(2)
		}
		addObject("x", reader, other)
		addObject("y", reader, other)
		time.Sleep(maxChangeDelay)
		for _, m := range []*member{reader, other, cutOff} {
			if got := m.state.state(); got != "a x y" {
				t.Errorf("%s: objects %q, want those of the later era", m.name, got)
			}
		}
		if other.link.RestoredAt().IsZero() || other.link.ReturnedAt().IsZero() {
			t.Error("an instance that has a reader does not know that the store has come back from a copy")
		}
		before := reader.state.listings
		reader.follower.ApplyListing(Listing{Revision: Revision{1, 9}, Objects: []RawObject{{Name: "old", Revision: 9}}})
		if got := reader.state.state(); got != "a x y" || reader.state.listings != before {
			t.Errorf("objects %q after the listing of an earlier era", got)
		}
	})
}

// Guards against requests to replicas that have left: a copy from which the store comes
// back still lists them. A replica that reports again is used, also if its entry was
// removed while it lived. Guards also against the loss of replicas that the copy lacks.
func TestReplicasOfTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		report := func(id string, sequence int64) Item[catalog.Replica] {
			return Item[catalog.Replica]{Name: id, Valid: true, Value: catalog.Replica{ID: id, Service: "s", StartedAt: 1, Sequence: sequence}}
		}
		store, link := catalog.NewStore(time.Second), NewLink(logs.OrDiscard(nil))
		sink := NewReplicaSink(logs.OrDiscard(nil), store, link)
		go sink.Run(ctx) //nolint:errcheck // ends with ctx
		link.noteRevision(Revision{1, 5})
		sink.Replace([]Item[catalog.Replica]{report("left", 4), report("new", 1)})
		listed := func(id string) bool { _, ok := store.Load().Replica(id); return ok }
		sink.Apply([]Change[catalog.Replica]{{Item: Item[catalog.Replica]{Name: "left"}, Deleted: true}})
		time.Sleep(time.Second)
		link.noteRevision(Revision{2, 3})
		sink.Replace([]Item[catalog.Replica]{report("left", 3)})
		if listed("left") {
			t.Error("a replica that had left is used because the copy lists it")
		}
		if !listed("new") {
			t.Error("a replica that the copy lacks was removed before it could report again")
		}
		sink.Apply([]Change[catalog.Replica]{{Item: report("left", 5)}})
		if !listed("left") {
			t.Error("a replica that reports again is not used")
		}
		time.Sleep(lapseHold + 200*time.Millisecond)
		if listed("new") {
			t.Error("a replica that has not reported again is still used")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against requests to an evacuated zone whose evacuation the copy lacks until the
// operator has written it again.
func TestEvacuationThatTheCopyLacksIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, link := catalog.NewStore(time.Second), NewLink(logs.OrDiscard(nil))
		sink := NewZoneSink(logs.OrDiscard(nil), store, link)
		go sink.Run(ctx) //nolint:errcheck // ends with ctx
		link.noteRevision(Revision{1, 5})
		sink.Replace([]Item[struct{}]{{Name: "z1"}, {Name: "z2"}})
		link.noteRevision(Revision{2, 3})
		sink.Replace(nil)
		if !store.Load().IsEvacuated("z1") {
			t.Error("the evacuation ended with the listing of the copy")
		}
		sink.Apply([]Change[struct{}]{{Item: Item[struct{}]{Name: "z1"}}})
		time.Sleep(lapseHold + 200*time.Millisecond)
		if !store.Load().IsEvacuated("z1") || store.Load().IsEvacuated("z2") {
			t.Errorf("evacuated: %v, want what the operator has written again", store.Load().Evacuated())
		}
		sink.Replace(nil)
		if store.Load().IsEvacuated("z1") {
			t.Error("an evacuation that was taken back is still in force")
		}
		cancel()
		synctest.Wait()
	})
}

// fakeRegistry counts registrations.
type fakeRegistry struct {
	mu         sync.Mutex
	registered int
}

func (r *fakeRegistry) Register(context.Context, string, catalog.Instance) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered++
	return true, nil
}

func (r *fakeRegistry) Deregister(context.Context, string) error { return nil }

func (r *fakeRegistry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered
}

// Only the instances write their registrations, so a copy may lack them for good. Guards
// against an instance that does not register again, also while another instance reads
// for it, against one that does so though it stops, and against shares that grow
// because the list lacks instances that live.
func TestInstanceRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		logger, store, registry := logs.OrDiscard(nil), catalog.NewStore(time.Second), &fakeRegistry{}
		link := NewLink(logger)
		sink := NewInstanceSink(logger, store, link, "d1")
		registrar := NewRegistrar(logger, link, registry, sink, "d1", catalog.Instance{Address: "a1"})
		go sink.Run(ctx)      //nolint:errcheck // ends with ctx
		go registrar.Run(ctx) //nolint:errcheck // ends with ctx
		link.noteRevision(Revision{1, 5})
		registrar.Register(ctx)
		sink.Replace([]Item[catalog.Instance]{{Name: "d1", Value: catalog.Instance{Address: "a1"}}, {Name: "d2"}})
		time.Sleep(time.Minute)
		if n := registry.count(); n != 1 {
			t.Fatalf("%d registrations of an instance that the store lists, want 1", n)
		}
		link.pause(time.Now(), time.Now().Add(time.Hour))
		link.noteRevision(Revision{2, 3})
		sink.Replace(nil)
		if n := len(store.Load().InstanceNames); n != 2 {
			t.Errorf("%d instances known right after the listing of the copy, want 2", n)
		}
		time.Sleep(2 * time.Second)
		if n := registry.count(); n != 2 {
			t.Fatalf("%d registrations after the copy lacked the instance, want 2", n)
		}
		sink.Replace([]Item[catalog.Instance]{{Name: "d1"}})
		time.Sleep(instanceHold + 2*time.Second)
		if n := len(store.Load().InstanceNames); n != 1 {
			t.Errorf("%d instances known after the hold, want 1", n)
		}
		registrar.Deregister()
		link.noteRevision(Revision{3, 2})
		sink.Replace(nil)
		time.Sleep(time.Minute)
		if n := registry.count(); n != 2 {
			t.Errorf("%d registrations, want none of an instance that stops", n)
		}
		cancel()
		synctest.Wait()
	})
}

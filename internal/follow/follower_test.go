package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// fakeStore is a store with one kind of objects. A deaf watch waits without ever
// hearing of a change.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	changes  []Change[struct{}]
	deaf     bool
	away     bool
	silent   bool // calls get no answer
	slow     time.Duration
	calls    int
}

var errAway = errors.New("store is away")

func (s *fakeStore) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, Change[struct{}]{Item: Item[struct{}]{Name: name, Revision: s.revision, Valid: true}})
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) List(context.Context) ([]Item[struct{}], int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, errAway
	}
	return nil, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, since int64, wait time.Duration) ([]Change[struct{}], int64, error) {
	s.mu.Lock()
	s.calls++
	deaf, away, silent := s.deaf, s.away, s.silent
	s.mu.Unlock()
	if silent && !sleep(ctx, wait+time.Second) {
		return nil, since, ctx.Err()
	}
	away = away || silent
	if away {
		return nil, since, errAway
	}
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var news []Change[struct{}]
		for _, c := range s.changes {
			if c.Revision > since {
				news = append(news, c)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(news) > 0 && !deaf || !time.Now().Before(end) {
			slow := s.slowness()
			if !sleep(ctx, slow) {
				return nil, since, ctx.Err()
			}
			return news, revision, nil
		}
		if !sleep(ctx, time.Millisecond) {
			return nil, since, ctx.Err()
		}
	}
}

func (s *fakeStore) slowness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

func (s *fakeStore) Decode(o RawObject) Item[struct{}] {
	return Item[struct{}]{Name: o.Name, Revision: o.Revision, Valid: true}
}

type recordingSink struct {
	mu    sync.Mutex
	names []string
}

func (s *recordingSink) Replace([]Item[struct{}]) {}

func (s *recordingSink) Apply(changes []Change[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		s.names = append(s.names, c.Name)
	}
}

func (s *recordingSink) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.names)
}

// TestDeafWatchIsArmedAgain guards against a store that drops its history and
// leaves a watch waiting that hears nothing any more: a replica that left was
// sent to until the end of the wait.
func TestDeafWatchIsArmedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink, link := &fakeStore{revision: 1}, &recordingSink{}, NewLink(logs.OrDiscard(nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store.deaf = true
		go NewFollower(logs.OrDiscard(nil), "things", link, store, sink, time.Minute, 0).Run(ctx) //nolint:errcheck // ends with ctx
		time.Sleep(time.Second)
		store.set(func() { store.deaf = false })
		store.add("a")
		link.note(2) // another kind's answer names the revision
		time.Sleep(staleGrace + probeWait + 50*time.Millisecond)
		if sink.count() != 1 {
			t.Fatalf("%d changes applied, want 1", sink.count())
		}
		cancel()
		synctest.Wait()
	})
}

// TestOutageCostsFewCalls guards the price of an outage: one follower tries the
// store for all, and all go on when it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logs.OrDiscard(nil)
		store, link := &fakeStore{revision: 1}, NewLink(logger)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sinks := make([]*recordingSink, 4)
		for i := range sinks {
			sinks[i] = &recordingSink{}
			go NewFollower(logger, "things", link, store, sinks[i], 2*time.Second, 0).Run(ctx) //nolint:errcheck // ends with ctx
		}
		time.Sleep(time.Second)
		store.set(func() { store.away, store.calls = true, 0 })
		time.Sleep(10 * time.Second)
		var calls int
		store.set(func() { calls, store.away = store.calls, false })
		if calls > 25 {
			t.Errorf("%d calls in 10 s without a store, want 25 at most", calls)
		}
		store.add("a")
		time.Sleep(2 * time.Second)
		for i, s := range sinks {
			if s.count() != 1 {
				t.Errorf("follower %d applied %d changes, want 1", i, s.count())
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestLapsedReplicaIsHeld guards replicas whose entries lapsed while the store
// was away: they are used until they had time to report again.
func TestLapsedReplicaIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logs.OrDiscard(nil)
		store, link := catalog.NewStore(time.Second), NewLink(logger)
		sink := NewReplicaSink(logger, store, link)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go sink.Run(ctx) //nolint:errcheck // ends with ctx
		r := catalog.Replica{ID: "r1", Service: "s", Born: 1}
		item := Item[catalog.Replica]{Name: "r1", Value: r, Valid: true}
		sink.Replace([]Item[catalog.Replica]{item})
		link.report("replicas", errAway)
		time.Sleep(5 * time.Second)
		link.report("replicas", nil)
		sink.Replace(nil)
		time.Sleep(lapseHold - 200*time.Millisecond)
		if store.Load().Count() != 1 {
			t.Fatal("the replica is gone before it could report again")
		}
		time.Sleep(400 * time.Millisecond)
		if store.Load().Count() != 0 {
			t.Fatal("the replica is still used two seconds after the return of the store")
		}
		sink.Replace([]Item[catalog.Replica]{item})
		sink.Replace(nil)
		if store.Load().Count() != 0 {
			t.Fatal("a removal in calm times is not taken at once")
		}
		cancel()
		synctest.Wait()
	})
}

// replacingSink counts the objects of the last list.
type replacingSink struct {
	recordingSink
	objects int
}

func (s *replacingSink) Replace(items []Item[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = len(items)
}

func (s *replacingSink) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects
}

package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/logs"
)

// fakeStore is a store with one kind of object.
type fakeStore struct {
	mu                 sync.Mutex
	era, revision      int64
	changes            []Change[struct{}]
	watchesMissChanges bool          // watches do not report changes that come during their wait
	unavailable        bool          // calls fail at once
	unresponsive       bool          // watches get no answer and fail a second after their wait
	answerDelay        time.Duration // of watches
	calls              int
}

var errUnavailable = errors.New("store is unavailable")

func (s *fakeStore) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, Change[struct{}]{Item: Item[struct{}]{Name: name, Revision: s.revision, Valid: true}})
}

// restore makes the store come back from a copy as it was at a revision. Watches that
// wait are not ended.
func (s *fakeStore) restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = revision
	s.changes = slices.DeleteFunc(s.changes, func(c Change[struct{}]) bool { return c.Revision > revision })
}

func (s *fakeStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// callTime is how long a call to the store takes at least.
const callTime = time.Millisecond

func (s *fakeStore) List(ctx context.Context) ([]Item[struct{}], Revision, error) {
	if !sleep(ctx, callTime) {
		return nil, Revision{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return nil, Revision{}, errUnavailable
	}
	items := make([]Item[struct{}], len(s.changes))
	for i, c := range s.changes {
		items[i] = c.Item
	}
	return items, Revision{s.era, s.revision}, nil
}

func (s *fakeStore) Watch(ctx context.Context, since Revision, wait time.Duration) ([]Change[struct{}], Revision, error) {
	s.mu.Lock()
	s.calls++
	missChanges, unavailable, unresponsive := s.watchesMissChanges, s.unavailable, s.unresponsive
	s.mu.Unlock()
	if unresponsive && !sleep(ctx, wait+time.Second) {
		return nil, since, ctx.Err()
	}
	unavailable = unavailable || unresponsive
	if unavailable {
		return nil, since, errUnavailable
	}
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		var later []Change[struct{}]
		for _, c := range s.changes {
			if c.Revision > since.Number {
				later = append(later, c)
			}
		}
		revision := Revision{s.era, s.revision}
		s.mu.Unlock()
		if since.Number > revision.Number {
			sleep(ctx, callTime)
			return nil, since, ErrHistoryGone
		}
		if len(later) > 0 && !missChanges || !time.Now().Before(end) {
			delay := s.currentDelay()
			if !sleep(ctx, delay) {
				return nil, since, ctx.Err()
			}
			return later, revision, nil
		}
		if !sleep(ctx, time.Millisecond) {
			return nil, since, ctx.Err()
		}
	}
}

func (s *fakeStore) currentDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerDelay
}

func (s *fakeStore) Decode(o RawObject) Item[struct{}] {
	return Item[struct{}]{Name: o.Name, Revision: o.Revision, Valid: true}
}

// stateSink holds the names of the current objects, and counts the listings.
type stateSink struct {
	mu       sync.Mutex
	names    map[string]bool
	listings int
}

func (s *stateSink) Replace(items []Item[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = map[string]bool{}
	s.listings++
	for _, item := range items {
		s.names[item.Name] = true
	}
}

func (s *stateSink) Apply(changes []Change[struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		s.names[c.Name] = true
	}
}

// state returns the sorted names, joined.
func (s *stateSink) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(s.names)), " ")
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

// Guards against requests to a replica that has left. When a store drops its
// history, an open watch may report no further changes; unless the watch is
// restarted, the replica is used until the end of the watch's wait.
func TestLaggingWatchIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sink, link := &fakeStore{revision: 1}, &recordingSink{}, NewLink(logs.OrDiscard(nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store.watchesMissChanges = true
		go NewFollower(logs.OrDiscard(nil), "things", link, store, sink, time.Minute, 0).Run(ctx) //nolint:errcheck // ends with ctx
		time.Sleep(time.Second)
		store.withLock(func() { store.watchesMissChanges = false })
		store.add("a")
		link.noteRevision(Revision{Number: 2}) // the answer to a call for another kind names the revision
		time.Sleep(watchLagLimit + probeWait + 50*time.Millisecond)
		if sink.count() != 1 {
			t.Fatalf("%d changes applied, want 1", sink.count())
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against many calls, each of which has a cost, while the store is
// unavailable: only one follower at a time probes it. All followers have to
// continue when it returns.
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
		store.withLock(func() { store.unavailable, store.calls = true, 0 })
		time.Sleep(10 * time.Second)
		var calls int
		store.withLock(func() { calls, store.unavailable = store.calls, false })
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

// Guards against the loss of live replicas whose entries lapsed during an outage
// of the store, in which they could not report. They are used until they have had
// time to report again. Without an outage, a removal takes effect at once.
func TestLapsedReplicaIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logs.OrDiscard(nil)
		store, link := catalog.NewStore(time.Second), NewLink(logger)
		sink := NewReplicaSink(logger, store, link)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go sink.Run(ctx) //nolint:errcheck // ends with ctx
		r := catalog.Replica{ID: "r1", Service: "s", StartedAt: 1}
		item := Item[catalog.Replica]{Name: "r1", Value: r, Valid: true}
		sink.Replace([]Item[catalog.Replica]{item})
		link.recordResult("replicas", errUnavailable)
		time.Sleep(5 * time.Second)
		link.recordResult("replicas", nil)
		sink.Replace(nil)
		time.Sleep(lapseHold - 200*time.Millisecond)
		if store.Load().ReplicaCount() != 1 {
			t.Fatal("the replica was removed before it could report again")
		}
		time.Sleep(400 * time.Millisecond)
		if store.Load().ReplicaCount() != 0 {
			t.Fatal("the replica is still used two seconds after the store returned")
		}
		sink.Replace([]Item[catalog.Replica]{item})
		sink.Replace(nil)
		if store.Load().ReplicaCount() != 0 {
			t.Fatal("without an outage, the replica was not removed at once")
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

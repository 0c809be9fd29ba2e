package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// errRetry says that a call was not made because the state of the link changed.
var errRetry = errors.New("link changed")

// errBehind says that a watch was given up because it missed a revision.
var errBehind = errors.New("watch is behind")

func isOutage(err error) bool {
	return err != nil && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, errBehind)
}

// probeWait is the wait of the watch that tries a lost link: short, because only
// its answer shows that the store is back.
const probeWait = 100 * time.Millisecond

// shortWait is the wait of watches that end before a missed revision would be
// noticed.
const shortWait = 4 * time.Second

// Follower follows one kind of object.
type Follower[T any] struct {
	logger *log.Logger
	kind   string
	link   *Link
	source Source[T]
	sink   Sink[T]
	wait   time.Duration
	gather time.Duration

	mirror
	applying sync.Mutex // orders the calls of the sink
}

// Kind returns the name of the kind.
func (f *Follower[T]) Kind() string { return f.kind }

// NewFollower returns a Follower. wait is the longest time that a watch waits
// for a change; a silent store is noticed after it. gather is the pause after
// changes in which further ones gather, because each call has a price.
func NewFollower[T any](logger *log.Logger, kind string, link *Link, source Source[T], sink Sink[T], wait, gather time.Duration) *Follower[T] {
	return &Follower[T]{logger: logger, kind: kind, link: link, source: source, sink: sink, wait: wait, gather: gather}
}

// Run follows the kind until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.list(ctx) {
			f.watch(ctx)
		}
	}
	return nil
}

func (f *Follower[T]) list(ctx context.Context) bool {
	var items []Item[T]
	var revision int64
	err := f.link.call(ctx, f.kind, func(ctx context.Context) (err error) {
		items, revision, err = f.source.List(ctx)
		return err
	})
	if err != nil {
		return false
	}
	f.logger.Info().Str("event", "listed").Str("kind", f.kind).Int("objects", len(items)).Int64("revision", revision).Msg("list read")
	f.link.note(revision)
	f.replace(items, revision)
	return true
}

// replace takes a whole list over, unless a later one is in.
func (f *Follower[T]) replace(items []Item[T], revision int64) {
	f.applying.Lock()
	defer f.applying.Unlock()
	raw := make([]RawObject, len(items))
	for i, item := range items {
		raw[i] = RawObject{Name: item.Name, Revision: item.Revision, Value: item.Raw}
	}
	if f.mirror.replace(raw, revision) {
		f.sink.Replace(items)
	}
}

// TakeOver implements Relayed.
func (f *Follower[T]) TakeOver(l Listing) {
	items := make([]Item[T], len(l.Objects))
	for i, o := range l.Objects {
		items[i] = f.source.Decode(o)
	}
	f.replace(items, l.Revision)
}

// MoveOn implements Relayed.
func (f *Follower[T]) MoveOn(revision int64) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.advance(nil, nil, revision)
}

// apply takes the changes after since. They are left to the next watch if
// another instance has given a later state meanwhile.
func (f *Follower[T]) apply(since int64, changes []Change[T], revision int64) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if f.Revision() != since {
		return
	}
	var changed []RawObject
	var deleted []string
	for _, c := range changes {
		if c.Deleted {
			deleted = append(deleted, c.Name)
		} else {
			changed = append(changed, RawObject{Name: c.Name, Revision: c.Revision, Value: c.Raw})
		}
	}
	f.mirror.advance(changed, deleted, revision)
	if len(changes) > 0 {
		f.sink.Apply(changes)
	}
}

// watch returns when the history is gone.
func (f *Follower[T]) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.wait
		if f.link.Lost() {
			wait = probeWait
		}
		revision := f.Revision()
		changes, next, err := f.poll(ctx, revision, wait)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.logger.Info().Str("event", "history gone").Str("kind", f.kind).Int64("revision", revision).Msg("list is read again")
			return
		case err != nil:
			continue
		}
		f.apply(revision, changes, next)
		if len(changes) > 0 {
			sleep(ctx, f.gather)
		}
	}
}

// poll makes one watching call. A long one is given up with errBehind when
// another answer of the store names a revision that is later than all that were
// known when the call was made, and the call stays silent.
func (f *Follower[T]) poll(ctx context.Context, revision int64, wait time.Duration) (changes []Change[T], next int64, err error) {
	known := f.link.Revision()
	err = f.link.call(ctx, f.kind, func(ctx context.Context) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		if wait > shortWait {
			go func() {
				if f.link.behind(ctx.Done(), known) {
					cancel(errBehind)
				}
			}()
		}
		var err error
		changes, next, err = f.source.Watch(ctx, revision, wait)
		if err != nil && errors.Is(context.Cause(ctx), errBehind) {
			return errBehind
		}
		f.link.note(next)
		return err
	})
	return changes, next, err
}

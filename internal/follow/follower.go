package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// errLinkChanged is returned in place of a call if the link was lost or regained
// while the call waited for its turn to probe.
var errLinkChanged = errors.New("state of the link changed before the call")

// errWatchBehind says that a watch was cancelled because it did not report a
// revision that the store had already named in another answer.
var errWatchBehind = errors.New("watch missed a revision")

// errEarlierEra says that an answer of the store is older than others: it is of an era
// from which the store has come back since.
var errEarlierEra = errors.New("answer is of an earlier era of the store")

func isOutage(err error) bool {
	return err != nil && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, errWatchBehind)
}

// probeWait is how long a watch waits for changes when it probes a lost link. It
// is short because only an answer shows that the store has returned.
const probeWait = 100 * time.Millisecond

// maxUncheckedWait is the longest wait of a watch that is not checked for missed
// revisions: it ends early enough by itself.
const maxUncheckedWait = 4 * time.Second

// Follower lists and watches one kind of object in the store and passes what it
// reads to a Sink. It also keeps a copy of the objects for other instances, and
// accepts listings that they have read.
type Follower[T any] struct {
	logger     *log.Logger
	kind       string
	link       *Link
	source     Source[T]
	sink       Sink[T]
	maxWait    time.Duration
	batchDelay time.Duration

	mirror
	sinkMu sync.Mutex // held while the state changes and the sink is called
}

// Kind returns the name of the kind.
func (f *Follower[T]) Kind() string { return f.kind }

// NewFollower returns a Follower. maxWait bounds how long a watch waits for a
// change, and so also how long an unresponsive store goes unnoticed. After each
// change the Follower pauses for batchDelay, so that one call reads several
// changes: each call to the store has a cost.
func NewFollower[T any](logger *log.Logger, kind string, link *Link, source Source[T], sink Sink[T], maxWait, batchDelay time.Duration) *Follower[T] {
	return &Follower[T]{logger: logger, kind: kind, link: link, source: source, sink: sink, maxWait: maxWait, batchDelay: batchDelay}
}

// Run lists the kind and then watches it, until ctx ends.
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
	var revision Revision
	err := f.link.call(ctx, f.kind, func(ctx context.Context) (err error) {
		if items, revision, err = f.source.List(ctx); err == nil && revision.Era < f.link.Era() {
			return errEarlierEra
		}
		return err
	})
	if err != nil {
		return false
	}
	f.logger.Info().Str("event", "listed").Str("kind", f.kind).Int("objects", len(items)).Int64("revision", revision.Number).Int64("era", revision.Era).Msg("all objects of a kind listed")
	f.link.noteRevision(revision)
	f.replace(items, revision)
	return true
}

// replace replaces the state by a full list, unless the state has a later
// revision.
func (f *Follower[T]) replace(items []Item[T], revision Revision) {
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	raw := make([]RawObject, len(items))
	for i, item := range items {
		raw[i] = RawObject{Name: item.Name, Revision: item.Revision, Value: item.Raw}
	}
	if !f.mirror.replace(raw, revision) {
		f.logger.Info().Str("event", "listing dropped").Str("kind", f.kind).Str("revision", revision.String()).
			Str("known", f.Revision().String()).Msg("listing is older than the known state")
		return
	}
	f.sink.Replace(items)
}

// ApplyListing implements RelayedFollower.
func (f *Follower[T]) ApplyListing(l Listing) {
	items := make([]Item[T], len(l.Objects))
	for i, o := range l.Objects {
		items[i] = f.source.Decode(o)
	}
	f.replace(items, l.Revision)
}

// AdvanceTo implements RelayedFollower.
func (f *Follower[T]) AdvanceTo(revision Revision) {
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	f.advance(nil, revision)
}

// apply applies the changes after the revision since. It drops them if a relayed
// listing has changed the revision meanwhile; the next watch then starts from
// that revision.
func (f *Follower[T]) apply(since Revision, changes []Change[T], revision Revision) {
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	if f.Revision() != since {
		return
	}
	raw := make([]rawChange, len(changes))
	for i, c := range changes {
		raw[i] = rawChange{RawObject{Name: c.Name, Revision: c.Revision, Value: c.Raw}, c.Deleted}
	}
	f.mirror.advance(raw, revision)
	if len(changes) > 0 {
		f.sink.Apply(changes)
	}
}

// watch applies changes as they come. It returns when the store no longer has the
// history after the current revision, when another answer has shown that it has come
// back from a copy, or when ctx ends.
func (f *Follower[T]) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.maxWait
		if f.link.Lost() {
			wait = probeWait
		}
		revision := f.Revision()
		if revision.Era < f.link.Era() {
			return // the store may have the number, and then only waits for changes
		}
		changes, next, err := f.poll(ctx, revision, wait)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.logger.Info().Str("event", "history gone").Str("kind", f.kind).Int64("revision", revision.Number).Int64("era", revision.Era).Msg("the store no longer has this revision; listing again")
			return
		case err != nil:
			continue
		}
		f.apply(revision, changes, next)
		if len(changes) > 0 {
			sleep(ctx, f.batchDelay)
		}
	}
}

// poll makes one watch call. If wait is longer than maxUncheckedWait, it returns
// errWatchBehind when another answer of the store names a revision later than all
// known at the start of the call, and the call does not return within
// watchLagLimit after that.
func (f *Follower[T]) poll(ctx context.Context, revision Revision, wait time.Duration) (changes []Change[T], next Revision, err error) {
	known := f.link.Revision()
	err = f.link.call(ctx, f.kind, func(ctx context.Context) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		if wait > maxUncheckedWait {
			go func() {
				if f.link.awaitMissedRevision(ctx.Done(), known) {
					cancel(errWatchBehind)
				}
			}()
		}
		var err error
		changes, next, err = f.source.Watch(ctx, revision, wait)
		if err != nil && errors.Is(context.Cause(ctx), errWatchBehind) {
			return errWatchBehind
		}
		if err != nil {
			return err
		}
		f.link.noteRevision(next)
		switch {
		case next.Era < revision.Era:
			return errEarlierEra
		case next.Era > revision.Era:
			// The changes follow another state than the one that was read.
			return ErrHistoryGone
		}
		return nil
	})
	return changes, next, err
}

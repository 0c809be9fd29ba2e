package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// FetchResult is what another instance knows of the store's content, and how recent
// that is.
type FetchResult struct {
	// Listings holds, by kind, all objects of each kind that may have changed since
	// the revision that the asking instance has.
	Listings map[string]Listing
	// Unchanged holds, by kind, the revision up to which each other kind was read.
	Unchanged map[string]Revision
	// Age is the time since the store last answered the other instance, or one that
	// relayed the answer to it.
	Age time.Duration
	// SinceReturn is the time since the last outage of the store ended; 0 if there was
	// none.
	SinceReturn time.Duration
}

// revision returns the revision up to which the other instance has read a kind; zero if
// it has not.
func (a FetchResult) revision(kind string) Revision {
	return later(a.Listings[kind].Revision, a.Unchanged[kind])
}

// Peers asks other instances what they have read from the store.
type Peers interface {
	// Readers returns the instances that read from the store for this one, the
	// nearest first; none if this instance reads for itself.
	Readers() []string
	// Any returns one of the other instances, or "" if none is known.
	Any() string
	// Fetch asks an instance for what changed after the revisions of have, which
	// are by kind.
	Fetch(ctx context.Context, instance string, have map[string]Revision) (FetchResult, error)
}

// RelayedFollower is a Follower as the relay uses it, independent of the type of its
// objects.
type RelayedFollower interface {
	Kind() string
	Revision() Revision
	// LatestChange returns the revision of the latest change that is known to be
	// included.
	LatestChange() Revision
	// ListingSince returns the revision up to which the kind was read, and all
	// objects if one of them may have changed after since.
	ListingSince(since Revision) (l Listing, changed bool)
	// ApplyListing replaces the state by a listing that another instance has read,
	// unless the state has a later revision.
	ApplyListing(l Listing)
	// AdvanceTo records that nothing has changed up to a revision.
	AdvanceTo(revision Revision)
}

const (
	// relayInterval is the pause between two rounds of requests to other instances.
	// It is a small part of the seconds in which a change has to be in force.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds one request: several round trips between regions.
	relayTimeout = 400 * time.Millisecond
	// maxReadersAsked bounds the readers that are asked in one round.
	maxReadersAsked = 2
	// startInterval is the pause between two rounds while a starting instance has nothing
	// yet.
	startInterval = 100 * time.Millisecond
	// avoidFor is how long a reader that did not answer is not asked again.
	avoidFor = 5 * time.Second
)

const (
	// watchShare is the share of the contact time that the shortest watch waits for
	// changes. Its answers show that the store can be reached.
	watchShare = 0.15
	// relayShare is the share of the contact time up to which relayed answers are
	// recent enough to replace the store's. It is longer than a watch of the reader
	// plus one request to it. It is well below the time in which a change has to be
	// in force, three fifths of the contact time, because after it the instance
	// still has to read from the store itself.
	relayShare = 0.3
)

// WatchWait returns how long a watch waits for changes if its answers have to show
// that the store can be reached. contact is the time after a disturbance of the
// platform within which an instance has to be up to date again.
func WatchWait(contact time.Duration) time.Duration {
	return time.Duration(watchShare * float64(contact))
}

// MaxRelayAge returns the age up to which relayed answers replace the store's.
func MaxRelayAge(contact time.Duration) time.Duration {
	return time.Duration(relayShare * float64(contact))
}

// Relay keeps the followers of an instance up to date from what other instances
// have read. It always asks the readers, if this instance has any, and pauses the
// instance's own calls to the store while their answers are recent. While the
// store does not answer this instance, it asks any other one, because a store may
// refuse some instances and serve others.
type Relay struct {
	logger    *log.Logger
	link      *Link
	peers     Peers
	followers []RelayedFollower
	// maxAge is the age up to which relayed answers replace the store's.
	maxAge      time.Duration
	avoidUntil  map[string]time.Time
	storePaused bool
	// startUntil is the end of the time in which a starting instance waits for what
	// others have read. startTimeout bounds one request then.
	startUntil   time.Time
	startTimeout time.Duration
}

// NewRelay returns a Relay for followers. Relayed answers replace the store's while
// the store's own answer behind them is at most maxAge old.
func NewRelay(logger *log.Logger, link *Link, peers Peers, maxAge time.Duration, followers ...RelayedFollower) *Relay {
	return &Relay{logger: logger, link: link, peers: peers, followers: followers, maxAge: maxAge, avoidUntil: map[string]time.Time{}}
}

// AwaitSeeds makes an instance that starts ask others before it reads from the store, for
// some time at most: if all instances of a large fleet list the store when they start
// together, that is most of the calls of a day. It is called before Run and before the
// followers run.
func (r *Relay) AwaitSeeds(wait time.Duration) {
	// The answer holds all objects, and all instances may start at once. There is time to
	// ask two.
	r.startUntil, r.startTimeout = time.Now().Add(wait), wait/2
	r.link.pause(time.Time{}, r.startUntil)
}

// Run asks other instances in intervals until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.askInstances(ctx)
		if r.isStarting() {
			sleep(ctx, startInterval)
		} else {
			sleep(ctx, relayInterval)
		}
	}
	return nil
}

// isStarting reports whether this instance still waits for what others have read.
func (r *Relay) isStarting() bool {
	return time.Now().Before(r.startUntil) && !r.storePaused
}

// askInstances asks the readers until one gives a recent and complete answer, and
// then pauses calls to the store. If none does and the link is lost, it asks any
// other instance.
func (r *Relay) askInstances(ctx context.Context) {
	readers := r.peers.Readers()
	r.link.setRelayed(len(readers) > 0)
	for _, name := range r.readersToAsk(readers) {
		confirmed, fresh := r.fetchFrom(ctx, name)
		if fresh {
			r.link.pause(confirmed, confirmed.Add(r.maxAge))
			r.logReader(name, true)
			return
		}
	}
	r.logReader("", false)
	if !r.link.Lost() {
		return
	}
	// Unless calls to the store are still paused, a follower goes on probing it
	// meanwhile.
	if other := r.peers.Any(); other != "" {
		r.fetchFrom(ctx, other)
	}
}

// readersToAsk returns the first maxReadersAsked readers, without those that
// recently did not answer.
func (r *Relay) readersToAsk(readers []string) []string {
	var usable []string
	for _, name := range readers {
		if len(usable) < maxReadersAsked && !time.Now().Before(r.avoidUntil[name]) {
			usable = append(usable, name)
		}
	}
	return usable
}

// logReader logs when relaying from a reader starts or stops.
func (r *Relay) logReader(reader string, paused bool) {
	if paused != r.storePaused {
		r.storePaused = paused
		r.logger.Info().Str("event", "reader").Str("reader", reader).Bool("relayed", paused).
			Msg("relaying from a reader started or stopped")
	}
}

// fetchFrom asks an instance and passes its answer to the followers. confirmed is
// when the store last answered that instance. fresh reports whether the answer
// replaces one of the store; if it does not, it is used only while the link is
// lost.
func (r *Relay) fetchFrom(ctx context.Context, instance string) (confirmed time.Time, fresh bool) {
	timeout := relayTimeout
	if r.isStarting() {
		timeout = max(min(r.startTimeout, time.Until(r.startUntil)), relayTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	have := make(map[string]Revision, len(r.followers))
	for _, f := range r.followers {
		have[f.Kind()] = f.Revision()
	}
	askedAt := time.Now()
	a, err := r.peers.Fetch(ctx, instance, have)
	if err != nil {
		if !r.isStarting() { // or the instance may be starting too
			r.avoidUntil[instance] = time.Now().Add(avoidFor)
		}
		r.logger.Info().Str("event", "peer silent").Str("peer", instance).Err(err).Msg("instance did not answer a request for its listings")
		return time.Time{}, false
	}
	confirmed = askedAt.Add(-a.Age)
	fresh = time.Since(confirmed) <= r.maxAge && r.coversLocalState(a)
	if !fresh {
		r.logger.Debug().Str("event", "peer behind").Str("peer", instance).Dur("age", a.Age).Msg("answer of an instance is too old or lacks changes")
		if !r.link.Lost() {
			return confirmed, false
		}
	}
	if a.SinceReturn > 0 {
		r.link.noteReturn(askedAt.Add(-a.SinceReturn))
	}
	for _, f := range r.followers {
		if revision := a.revision(f.Kind()); revision.Era > r.link.Era() {
			r.link.noteRevision(revision)
		}
		if l, changed := a.Listings[f.Kind()]; changed {
			r.logger.Info().Str("event", "relayed").Str("kind", f.Kind()).Str("peer", instance).Str("from", f.Revision().String()).
				Str("revision", l.Revision.String()).Int("objects", len(l.Objects)).Dur("age", a.Age).Msg("listing of another instance received")
			f.ApplyListing(l)
		} else if revision, ok := a.Unchanged[f.Kind()]; ok {
			f.AdvanceTo(revision)
		}
	}
	return confirmed, fresh
}

// coversLocalState reports whether the other instance has read all kinds and knows
// each change that this one knows.
func (r *Relay) coversLocalState(a FetchResult) bool {
	for _, f := range r.followers {
		revision := a.revision(f.Kind())
		if revision.IsZero() || revision.Before(f.LatestChange()) {
			return false
		}
	}
	return true
}

// ChangesSince returns the answer to an instance that has the revisions of have, which
// are by kind.
func (r *Relay) ChangesSince(have map[string]Revision) FetchResult {
	a := FetchResult{Listings: map[string]Listing{}, Unchanged: map[string]Revision{}}
	for _, f := range r.followers {
		since := have[f.Kind()]
		if l, changed := f.ListingSince(since); changed {
			a.Listings[f.Kind()] = l
		} else {
			a.Unchanged[f.Kind()] = l.Revision
		}
	}
	a.Age, a.SinceReturn = r.link.ages()
	return a
}

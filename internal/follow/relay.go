package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// Answer is what another instance has read from the store.
type Answer struct {
	// Listings are the kinds whose objects changed since the revisions asked for.
	Listings map[string]Listing
	// Unchanged are the revisions of the other kinds.
	Unchanged map[string]int64
	// Age is the time since the store last answered, to the other instance or to
	// one that it asked.
	Age time.Duration
	// Back is the time since the store returned after an outage; 0 if there was
	// none.
	Back time.Duration
}

// Peers asks other instances what they have read from the store.
type Peers interface {
	// Readers returns the instances that read from the store for this one, the
	// nearest first; none if this instance reads for itself.
	Readers() []string
	// Any returns some other instance, or "" if none is known.
	Any() string
	// Fetch asks an instance for what changed since the revisions of have.
	Fetch(ctx context.Context, instance string, have map[string]int64) (Answer, error)
}

// Relayed is a follower of one kind, whatever the type of its objects.
type Relayed interface {
	Kind() string
	Revision() int64
	Seen() int64
	Held(since int64) (l Listing, changed bool)
	// TakeOver takes a listing that another instance has read.
	TakeOver(l Listing)
	// MoveOn notes that nothing has changed up to a revision.
	MoveOn(revision int64)
}

const (
	// relayInterval is the pause between two questions to other instances. It is
	// a small part of the seconds in which a change has to be in force.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds one question: several round trips between regions.
	relayTimeout = 400 * time.Millisecond
	// readersAsked bounds the instances that are asked at a time.
	readersAsked = 2
	// avoidFor is how long a reader is passed over that did not answer.
	avoidFor = 5 * time.Second
)

const (
	// watchShare is the part of the contact time that one watch waits. Its answers
	// show that the store can be reached.
	watchShare = 0.15
	// relayShare is the part of the contact time up to which the answers of
	// another instance stand for the store's: longer than the watch waits and a
	// question takes, and well below the time in which a change has to be in
	// force, three fifths of the contact time, because the instance still has to
	// read for itself then.
	relayShare = 0.3
)

// WatchWait returns the wait of the watch that shows that the store can be
// reached.
func WatchWait(contact time.Duration) time.Duration {
	return time.Duration(watchShare * float64(contact))
}

// MaxAge returns the age up to which the answers of other instances stand for the
// store's.
func MaxAge(contact time.Duration) time.Duration { return time.Duration(relayShare * float64(contact)) }

// Relay learns from other instances: always, if others read from the store for
// this one, and while the store does not answer this one. A store may turn some
// instances away and serve the others.
type Relay struct {
	logger    *log.Logger
	link      *Link
	peers     Peers
	followers []Relayed
	// maxAge is the age up to which the answers of others stand for the store's.
	maxAge time.Duration
	avoid  map[string]time.Time
	rested bool
}

// NewRelay returns a Relay for followers. Answers up to maxAge after the store's
// own stand for them.
func NewRelay(logger *log.Logger, link *Link, peers Peers, maxAge time.Duration, followers ...Relayed) *Relay {
	return &Relay{logger: logger, link: link, peers: peers, followers: followers, maxAge: maxAge, avoid: map[string]time.Time{}}
}

// Run asks other instances until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.round(ctx)
		sleep(ctx, relayInterval)
	}
	return nil
}

// round asks those that read for this instance. If none helps and the store does
// not answer, it asks any other one.
func (r *Relay) round(ctx context.Context) {
	for _, name := range r.usable(r.peers.Readers()) {
		confirmed, fresh := r.ask(ctx, name)
		if fresh {
			r.link.rest(confirmed, confirmed.Add(r.maxAge))
			r.logRest(name, true)
			return
		}
	}
	r.logRest("", false)
	if !r.link.Lost() {
		return
	}
	// An instance that reads for itself goes on to try the store meanwhile.
	if other := r.peers.Any(); other != "" {
		r.ask(ctx, other)
	}
}

// usable returns the readers to ask now.
func (r *Relay) usable(readers []string) []string {
	var list []string
	for _, name := range readers {
		if len(list) < readersAsked && !time.Now().Before(r.avoid[name]) {
			list = append(list, name)
		}
	}
	return list
}

// logRest logs whether the store is left alone.
func (r *Relay) logRest(reader string, resting bool) {
	if resting != r.rested {
		r.rested = resting
		r.logger.Info().Str("event", "reader").Str("reader", reader).Bool("relayed", resting).
			Msg("who reads from the store for this instance has changed")
	}
}

// ask asks an instance. It returns when the store last answered the other one, and
// whether that answer stands for one of the store to this instance.
func (r *Relay) ask(ctx context.Context, instance string) (confirmed time.Time, fresh bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	have := make(map[string]int64, len(r.followers))
	for _, f := range r.followers {
		have[f.Kind()] = f.Revision()
	}
	asked := time.Now()
	a, err := r.peers.Fetch(ctx, instance, have)
	if err != nil {
		r.avoid[instance] = time.Now().Add(avoidFor)
		r.logger.Info().Str("event", "peer silent").Str("peer", instance).Err(err).Msg("instance does not answer")
		return time.Time{}, false
	}
	confirmed = asked.Add(-a.Age)
	fresh = time.Since(confirmed) <= r.maxAge && r.complete(a)
	if !fresh {
		r.logger.Debug().Str("event", "peer behind").Str("peer", instance).Dur("age", a.Age).Msg("instance knows less, or nothing new")
		if !r.link.Lost() {
			return confirmed, false
		}
	}
	if a.Back > 0 {
		r.link.noteBack(asked.Add(-a.Back))
	}
	for _, f := range r.followers {
		if l, changed := a.Listings[f.Kind()]; changed {
			r.logger.Info().Str("event", "relayed").Str("kind", f.Kind()).Str("peer", instance).Int64("from", f.Revision()).
				Int64("revision", l.Revision).Int("objects", len(l.Objects)).Dur("age", a.Age).Msg("read by another instance")
			f.TakeOver(l)
		} else if revision, ok := a.Unchanged[f.Kind()]; ok {
			f.MoveOn(revision)
		}
	}
	return confirmed, fresh
}

// complete reports whether the other instance has read all kinds, and has each
// change that this one has.
func (r *Relay) complete(a Answer) bool {
	for _, f := range r.followers {
		revision := max(a.Listings[f.Kind()].Revision, a.Unchanged[f.Kind()])
		if revision == 0 || revision < f.Seen() {
			return false
		}
	}
	return true
}

// Answer returns what an instance that has the revisions of have is missing.
func (r *Relay) Answer(have map[string]int64) Answer {
	a := Answer{Listings: map[string]Listing{}, Unchanged: map[string]int64{}}
	for _, f := range r.followers {
		since := have[f.Kind()]
		if l, changed := f.Held(since); changed {
			a.Listings[f.Kind()] = l
		} else {
			a.Unchanged[f.Kind()] = l.Revision
		}
	}
	a.Age, a.Back = r.link.ages()
	return a
}

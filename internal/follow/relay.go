package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// Peers asks another instance what it has read from the store.
type Peers interface {
	// Fetch returns the kinds of which the other instance has a later revision
	// than have says.
	Fetch(ctx context.Context, have map[string]int64) (map[string]Listing, error)
}

// Relayed is a follower of one kind, whatever the type of its objects.
type Relayed interface {
	Kind() string
	Revision() int64
	Held(since int64) (Listing, bool)
	// TakeOver takes a listing that another instance has read.
	TakeOver(l Listing)
}

const (
	// relayInterval is the pause between two questions to other instances while
	// the store does not answer. They cost nothing but a round trip.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds one question: several round trips between regions.
	relayTimeout = 400 * time.Millisecond
)

// Relay learns from other instances while the store does not answer this one. A
// store may turn some instances away and serve the others.
type Relay struct {
	logger    *log.Logger
	link      *Link
	peers     Peers
	followers []Relayed
}

// NewRelay returns a Relay for followers.
func NewRelay(logger *log.Logger, link *Link, peers Peers, followers ...Relayed) *Relay {
	return &Relay{logger: logger, link: link, peers: peers, followers: followers}
}

// Run asks while the link is lost, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		lost, changed := r.link.state()
		if lost {
			r.ask(ctx)
			sleep(ctx, relayInterval)
		} else {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (r *Relay) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	have := make(map[string]int64, len(r.followers))
	for _, f := range r.followers {
		have[f.Kind()] = f.Revision()
	}
	listings, err := r.peers.Fetch(ctx, have)
	if err != nil {
		r.logger.Debug().Err(err).Msg("no instance to ask")
		return
	}
	for _, f := range r.followers {
		l, newer := listings[f.Kind()]
		if !newer || !r.link.Lost() {
			continue
		}
		r.logger.Info().Str("event", "relayed").Str("kind", f.Kind()).Int64("from", f.Revision()).
			Int64("revision", l.Revision).Int("objects", len(l.Objects)).Msg("read by another instance")
		f.TakeOver(l)
	}
}

// Answer returns what an instance that has the revisions of have is missing.
func (r *Relay) Answer(have map[string]int64) map[string]Listing {
	listings := map[string]Listing{}
	for _, f := range r.followers {
		if l, newer := f.Held(have[f.Kind()]); newer {
			listings[f.Kind()] = l
		}
	}
	return listings
}

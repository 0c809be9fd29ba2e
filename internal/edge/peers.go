package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/follow"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// peers asks other instances over the peer protocol.
type peers struct {
	name, zone string
	address    string // own
	seeds      []string
	catalog    *catalog.Store
	conns      *peer.Conns
}

// Readers implements follow.Peers. One instance of each zone reads from the
// store, the first by name. The others ask that of their zone, or else that of
// another one.
func (p *peers) Readers() []string {
	snap := p.catalog.Load()
	first := map[string]string{} // by zone, to an address
	for _, name := range snap.Daemons {
		d := snap.Registered[name]
		if d.Zone == "" || d.Address == "" {
			continue
		}
		if _, later := first[d.Zone]; later {
			continue
		}
		if name == p.name {
			return nil
		}
		first[d.Zone] = d.Address
	}
	own := first[p.zone]
	delete(first, p.zone)
	list := slices.Collect(maps.Values(first))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if own != "" {
		list = slices.Insert(list, 0, own)
	}
	return list
}

// Any implements follow.Peers. It draws an instance at random, so that one that
// is away or as ignorant does not hide the others.
func (p *peers) Any() string {
	known := map[string]bool{}
	for _, d := range p.catalog.Load().Registered {
		known[d.Address] = true
	}
	for _, a := range p.seeds {
		known[a] = true
	}
	delete(known, p.address)
	delete(known, "")
	if len(known) == 0 {
		return ""
	}
	list := slices.Collect(maps.Keys(known))
	return list[rand.IntN(len(list))]
}

// Fetch implements follow.Peers. In the reply, an object without a name gives the
// revision of its kind.
func (p *peers) Fetch(ctx context.Context, address string, have map[string]int64) (follow.Answer, error) {
	req := &peerpb.FetchRequest{}
	for kind, revision := range have {
		req.Have = append(req.Have, &peerpb.ObjectVersion{Kind: kind, Version: revision})
	}
	reply, err := p.conns.Client(address).Fetch(ctx, req)
	if err != nil {
		return follow.Answer{}, err
	}
	a := follow.Answer{
		Listings: map[string]follow.Listing{}, Unchanged: map[string]int64{},
		Age: time.Duration(reply.AgeMs) * time.Millisecond, Back: time.Duration(reply.BackMs) * time.Millisecond,
	}
	for _, o := range reply.Objects {
		l := a.Listings[o.Kind]
		if o.Name == "" {
			l.Revision = o.Version
		} else {
			l.Objects = append(l.Objects, follow.RawObject{Name: o.Name, Revision: o.Version, Value: o.Value})
		}
		a.Listings[o.Kind] = l
	}
	for _, v := range reply.Unchanged {
		a.Unchanged[v.Kind] = v.Version
	}
	return a, nil
}

// peerService answers other instances. Of the peer protocol, instances on the
// users' platform use Fetch only.
type peerService struct{ relay *follow.Relay }

// Fetch returns what this instance has read, and when.
func (s peerService) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	have := make(map[string]int64, len(req.Have))
	for _, v := range req.Have {
		have[v.Kind] = v.Version
	}
	a := s.relay.Answer(have)
	reply := &peerpb.FetchReply{AgeMs: a.Age.Milliseconds(), BackMs: a.Back.Milliseconds()}
	for kind, revision := range a.Unchanged {
		reply.Unchanged = append(reply.Unchanged, &peerpb.ObjectVersion{Kind: kind, Version: revision})
	}
	for kind, l := range a.Listings {
		reply.Objects = append(reply.Objects, &peerpb.Object{Kind: kind, Version: l.Revision})
		for _, o := range l.Objects {
			reply.Objects = append(reply.Objects, &peerpb.Object{Kind: kind, Name: o.Name, Version: o.Revision, Value: o.Value})
		}
	}
	return reply, nil
}

func unused() error { return twirp.NewError(twirp.Unimplemented, "not used on this platform") }

// Execute is not used.
func (peerService) Execute(context.Context, *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	return nil, unused()
}

// Exchange is not used.
func (peerService) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return nil, unused()
}

// Handover is not used.
func (peerService) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return nil, unused()
}

// RunOnce is not used.
func (peerService) RunOnce(context.Context, *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	return nil, unused()
}

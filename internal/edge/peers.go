package edge

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/follow"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// errNoPeer says that no other instance is known.
var errNoPeer = errors.New("no other instance is known")

// peers asks other instances over the peer protocol.
type peers struct {
	self    string // own address
	seeds   []string
	catalog *catalog.Store
	conns   *peer.Conns
}

// pick returns the address of another instance, drawn at random, so that one that
// is away or as ignorant does not hide the others.
func (p *peers) pick() string {
	known := map[string]bool{}
	for _, a := range p.catalog.Load().Addresses {
		known[a] = true
	}
	for _, a := range p.seeds {
		known[a] = true
	}
	delete(known, p.self)
	delete(known, "")
	list := make([]string, 0, len(known))
	for a := range known {
		list = append(list, a)
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

// Fetch implements follow.Peers. In the reply, an object without a name gives the
// revision of its kind.
func (p *peers) Fetch(ctx context.Context, have map[string]int64) (map[string]follow.Listing, error) {
	address := p.pick()
	if address == "" {
		return nil, errNoPeer
	}
	req := &peerpb.FetchRequest{}
	for kind, revision := range have {
		req.Have = append(req.Have, &peerpb.ObjectVersion{Kind: kind, Version: revision})
	}
	reply, err := p.conns.Client(address).Fetch(ctx, req)
	if err != nil {
		return nil, err
	}
	listings := map[string]follow.Listing{}
	for _, o := range reply.Objects {
		l := listings[o.Kind]
		if o.Name == "" {
			l.Revision = o.Version
		} else {
			l.Objects = append(l.Objects, follow.RawObject{Name: o.Name, Revision: o.Version, Value: o.Value})
		}
		listings[o.Kind] = l
	}
	return listings, nil
}

// peerService answers other instances. Of the peer protocol, instances on the
// users' platform use Fetch only.
type peerService struct{ relay *follow.Relay }

// Fetch returns the kinds of which this instance has a later revision.
func (s peerService) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	have := make(map[string]int64, len(req.Have))
	for _, v := range req.Have {
		have[v.Kind] = v.Version
	}
	reply := &peerpb.FetchReply{}
	for kind, l := range s.relay.Answer(have) {
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

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
	"github.com/baobabsill/baobabsill/internal/forward"
	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/replica"
)

// peers implements follow.Peers and forward.Lenders over the peer protocol. For
// follow.Peers, it names instances by their peer addresses.
type peers struct {
	name, zone string
	ownAddress string // for other instances
	seeds      []string
	catalog    *catalog.Store
	conns      *peer.Conns
}

// Readers implements follow.Peers. The first instance of each zone by name is the
// zone's reader, which reads from the store. The others ask the reader of their
// own zone, and after it those of other zones in random order. Until the list of
// instances is known, the seeds are the readers.
func (p *peers) Readers() []string {
	snap := p.catalog.Load()
	if snap.InstanceNames == nil {
		return p.otherSeeds()
	}
	readers := map[string]string{} // address by zone
	for _, name := range snap.InstanceNames {
		instance := snap.Instances[name]
		if instance.Zone == "" || instance.Address == "" {
			continue
		}
		if _, hasReader := readers[instance.Zone]; hasReader {
			continue
		}
		if name == p.name {
			return nil
		}
		readers[instance.Zone] = instance.Address
	}
	ownReader := readers[p.zone]
	delete(readers, p.zone)
	ordered := slices.Collect(maps.Values(readers))
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	if ownReader != "" {
		ordered = slices.Insert(ordered, 0, ownReader)
	}
	return ordered
}

// otherSeeds returns the seeds in random order; none if this instance is one of them, so
// that it reads from the store.
func (p *peers) otherSeeds() []string {
	if slices.Contains(p.seeds, p.ownAddress) {
		return nil
	}
	seeds := slices.Clone(p.seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// Any implements follow.Peers. It chooses at random, so that an instance that does
// not answer, or has no later state, is not asked each time in place of others.
func (p *peers) Any() string {
	known := map[string]bool{}
	for _, instance := range p.catalog.Load().Instances {
		known[instance.Address] = true
	}
	for _, a := range p.seeds {
		known[a] = true
	}
	delete(known, p.ownAddress)
	delete(known, "")
	if len(known) == 0 {
		return ""
	}
	addresses := slices.Collect(maps.Keys(known))
	return addresses[rand.IntN(len(addresses))]
}

// Fetch implements follow.Peers. An object without a name in the reply carries the
// revision of its kind's listing.
func (p *peers) Fetch(ctx context.Context, address string, have map[string]follow.Revision) (follow.FetchResult, error) {
	req := &peerpb.FetchRequest{}
	for kind, revision := range have {
		req.Have = append(req.Have, &peerpb.ObjectVersion{Kind: kind, Version: revision.Number, Era: revision.Era})
	}
	reply, err := p.conns.Client(address).Fetch(ctx, req)
	if err != nil {
		return follow.FetchResult{}, err
	}
	a := follow.FetchResult{
		Listings: map[string]follow.Listing{}, Unchanged: map[string]follow.Revision{},
		Age: time.Duration(reply.AgeMs) * time.Millisecond, SinceReturn: time.Duration(reply.BackMs) * time.Millisecond,
	}
	for _, o := range reply.Objects {
		l := a.Listings[o.Kind]
		if o.Name == "" {
			l.Revision = follow.Revision{Era: o.Era, Number: o.Version}
		} else {
			l.Objects = append(l.Objects, follow.RawObject{Name: o.Name, Revision: o.Version, Value: o.Value})
		}
		a.Listings[o.Kind] = l
	}
	for _, v := range reply.Unchanged {
		a.Unchanged[v.Kind] = follow.Revision{Era: v.Era, Number: v.Version}
	}
	return a, nil
}

// BorrowTokens implements forward.Lenders. The instance is named by its name.
func (p *peers) BorrowTokens(ctx context.Context, name string, requests []replica.LoanRequest) ([]replica.Loan, error) {
	address := p.catalog.Load().Instances[name].Address
	if address == "" {
		return nil, nil // it has not registered an address yet
	}
	req := &peerpb.BorrowTokensRequest{}
	for _, r := range requests {
		req.Requests = append(req.Requests, &peerpb.TokenRequest{Replica: fromIncarnation(r.Incarnation), LiftedOnly: r.LiftedOnly})
	}
	reply, err := p.conns.Client(address).BorrowTokens(ctx, req)
	if err != nil {
		return nil, err
	}
	loans := make([]replica.Loan, len(reply.Grants))
	for i, g := range reply.Grants {
		loans[i] = replica.Loan{Incarnation: toIncarnation(g.Replica), Tokens: g.Tokens, Lifted: g.Lifted}
	}
	return loans, nil
}

func toIncarnation(r *peerpb.ReplicaIncarnation) replica.Incarnation {
	return replica.Incarnation{ID: r.GetReplica(), StartedAt: r.GetStartedAt()}
}

func fromIncarnation(i replica.Incarnation) *peerpb.ReplicaIncarnation {
	return &peerpb.ReplicaIncarnation{Replica: i.ID, StartedAt: i.StartedAt}
}

// peerService answers other instances. Instances on the users' platform use only
// Fetch and BorrowTokens of the peer protocol.
type peerService struct {
	relay     *follow.Relay
	forwarder *forward.Forwarder
}

// BorrowTokens lends what this instance has left for limited replicas.
func (s peerService) BorrowTokens(_ context.Context, req *peerpb.BorrowTokensRequest) (*peerpb.BorrowTokensReply, error) {
	requests := make([]replica.LoanRequest, len(req.Requests))
	for i, r := range req.Requests {
		requests[i] = replica.LoanRequest{Incarnation: toIncarnation(r.Replica), LiftedOnly: r.LiftedOnly}
	}
	reply := &peerpb.BorrowTokensReply{}
	for _, loan := range s.forwarder.Lend(requests) {
		reply.Grants = append(reply.Grants, &peerpb.TokenGrant{Replica: fromIncarnation(loan.Incarnation), Tokens: loan.Tokens, Lifted: loan.Lifted})
	}
	return reply, nil
}

// Fetch returns what this instance has read from the store since the revisions of
// the asking instance, and the age of that state.
func (s peerService) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	have := make(map[string]follow.Revision, len(req.Have))
	for _, v := range req.Have {
		have[v.Kind] = follow.Revision{Era: v.Era, Number: v.Version}
	}
	a := s.relay.ChangesSince(have)
	reply := &peerpb.FetchReply{AgeMs: a.Age.Milliseconds(), BackMs: a.SinceReturn.Milliseconds()}
	for kind, revision := range a.Unchanged {
		reply.Unchanged = append(reply.Unchanged, &peerpb.ObjectVersion{Kind: kind, Version: revision.Number, Era: revision.Era})
	}
	for kind, l := range a.Listings {
		reply.Objects = append(reply.Objects, &peerpb.Object{Kind: kind, Version: l.Revision.Number, Era: l.Revision.Era})
		for _, o := range l.Objects {
			reply.Objects = append(reply.Objects, &peerpb.Object{Kind: kind, Name: o.Name, Version: o.Revision, Value: o.Value})
		}
	}
	return reply, nil
}

func errUnimplemented() error {
	return twirp.NewError(twirp.Unimplemented, "not used on this platform")
}

// Execute is not used.
func (peerService) Execute(context.Context, *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	return nil, errUnimplemented()
}

// Exchange is not used.
func (peerService) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return nil, errUnimplemented()
}

// Handover is not used.
func (peerService) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return nil, errUnimplemented()
}

// RunOnce is not used.
func (peerService) RunOnce(context.Context, *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	return nil, errUnimplemented()
}

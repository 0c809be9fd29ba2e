package daemon

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// peerService serves the peer protocol by means of the components of the Daemon.
type peerService struct{ *Daemon }

// Execute runs a sub-request on a target that this instance holds.
func (s peerService) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	return s.dispatcher.Execute(ctx, req), nil
}

// Exchange answers a heartbeat.
func (s peerService) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.membership.Exchange(ctx, req)
}

// Fetch returns objects that are newer than those of the asking instance.
func (s peerService) Fetch(ctx context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return s.sync.Fetch(ctx, req)
}

// Handover takes over the state of targets from their previous holder.
func (s peerService) Handover(ctx context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return s.placement.Handover(ctx, req)
}

// BorrowTokens is not used: only replicas of the users' platform name rate limits.
func (s peerService) BorrowTokens(context.Context, *peerpb.BorrowTokensRequest) (*peerpb.BorrowTokensReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "not used here")
}

// Gather is not used: holders answer for one target.
func (s peerService) Gather(context.Context, *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "not used here")
}

// RunOnce runs an at-most-once request or looks up its outcome.
func (s peerService) RunOnce(ctx context.Context, req *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	return s.once.ServePeer(ctx, req), nil
}

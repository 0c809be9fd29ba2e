package daemon

import (
	"context"

	"github.com/baobabsill/baobabsill/internal/outcome"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/placement"
	"github.com/baobabsill/baobabsill/internal/state"
)

// route returns the name of the instance that holds a target.
func (d *Daemon) route(snap *state.Snapshot, target string) string {
	return placement.InstanceFor(snap, d.self.Name, d.self.Zone, target)
}

// Execute sends a sub-request to the instance that holds its target, which
// may be the local one.
func (d *Daemon) Execute(ctx context.Context, instance string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	if instance == d.self.Name {
		return d.dispatcher.Execute(ctx, req), nil
	}
	i, ok := d.store.Load().Instances[instance]
	if !ok {
		return &peerpb.ExecuteReply{
			AttemptId: req.AttemptId, Outcome: string(outcome.NotRun), Reason: string(outcome.ReasonUnreachable),
		}, nil
	}
	return d.conns.Client(i.PeerAddress).Execute(ctx, req)
}

// RunOnce forwards an at-most-once request to another instance.
func (d *Daemon) RunOnce(ctx context.Context, i state.Instance, req *peerpb.RunOnceRequest) (*peerpb.RunOnceReply, error) {
	return d.conns.Client(i.PeerAddress).RunOnce(ctx, req)
}

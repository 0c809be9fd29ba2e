package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/peer"
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// releaseMoved releases the targets that the placement moved away from this
// instance, as soon as they are idle, and hands their state over.
func (c *Controller) releaseMoved(ctx context.Context, calls *sync.WaitGroup, snap *state.Snapshot) {
	p := snap.Placements[c.config.Zone]
	for target, previous := range p.Previous {
		if previous != c.config.Self || c.config.Rights.IsReleased(target, p.Epoch) || !c.config.Pool.Idle(target) {
			continue
		}
		load := c.config.Pool.Release(target)
		c.config.Rights.MarkReleased(target, p.Epoch)
		to := p.Holders[target]
		c.logger.Info().Str("target", target).Str("to", to).Int64("epoch", p.Epoch).
			Str("phase", string(load.Phase)).Str("reason", "placement moved it and it is idle").Msg("target released")
		if to == "" {
			continue
		}
		load.Target = target
		c.mu.Lock()
		c.handovers[target] = true
		c.mu.Unlock()
		calls.Go(func() {
			c.handOver(ctx, to, p.Epoch, load)
			c.mu.Lock()
			delete(c.handovers, target)
			c.mu.Unlock()
		})
	}
}

// handOver sends a target's state to its next holder until it accepts or the
// placement changes. Without it, the next holder starts the target cold.
func (c *Controller) handOver(ctx context.Context, to string, epoch int64, load state.Load) {
	ctx, cancel := context.WithTimeout(ctx, 2*LeaseTerm)
	defer cancel()
	for c.config.Store.Load().Placements[c.config.Zone].Epoch == epoch && ctx.Err() == nil {
		if i, ok := c.config.Store.Load().Instances[to]; ok {
			callCtx, done := context.WithTimeout(ctx, callTimeout)
			reply, err := c.config.Peers.Client(i.PeerAddress).Handover(callCtx, &peerpb.HandoverRequest{
				From: c.config.Self, Zone: c.config.Zone, Epoch: epoch, Targets: []*peerpb.TargetLoad{peer.EncodeLoad(load)},
			})
			done()
			if err == nil && reply.Accepted {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconcileEvery):
		}
	}
	c.logger.Warn().Str("target", load.Target).Str("to", to).Int64("epoch", epoch).
		Str("reason", "the next holder did not accept").Msg("handover failed")
}

// Handover takes over targets that their previous holder released. It accepts
// only at the local epoch; the sender repeats it until then.
func (c *Controller) Handover(_ context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	p := c.config.Store.Load().Placements[c.config.Zone]
	if req.Zone != c.config.Zone || req.Epoch != p.Epoch {
		return &peerpb.HandoverReply{}, nil
	}
	for _, m := range req.Targets {
		load := peer.DecodeLoad(m)
		if p.Holders[load.Target] != c.config.Self || p.Previous[load.Target] != req.From {
			continue
		}
		// A repeated message must not overwrite the state that this holder
		// learned since.
		c.mu.Lock()
		repeated := c.adopted[load.Target] == p.Epoch
		c.adopted[load.Target] = p.Epoch
		c.mu.Unlock()
		if repeated {
			continue
		}
		if load.Phase != "" {
			c.config.Pool.Adopt(load)
		}
		c.config.Rights.ObserveHandover(load.Target, p.Epoch)
		c.logger.Info().Str("target", load.Target).Str("from", req.From).Int64("epoch", p.Epoch).
			Str("phase", string(load.Phase)).Str("reason", "previous holder released it").Msg("target taken over")
	}
	return &peerpb.HandoverReply{Accepted: true}, nil
}

// Release takes this instance out of the placement and waits until its targets
// are handed over, or until ctx ends. Run must go on meanwhile, and the peers
// must know already that this instance drains, or they add it again. The last
// instance of a zone releases the placement instead.
func (c *Controller) Release(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for {
		o, err := c.read(ctx)
		if platform.ErrNotFound.Has(err) {
			break
		}
		if err == nil {
			p := c.config.Store.Load().Placements[c.config.Zone]
			if p.Epoch >= o.Version && !slices.Contains(p.Members, c.config.Self) {
				break
			}
			if p.Epoch == o.Version {
				c.leave(ctx, p)
				continue
			}
		}
		if !sleep(ctx, reconcileEvery) {
			return ctx.Err()
		}
	}
	for !c.handedOver() {
		if !sleep(ctx, reconcileEvery/2) {
			return ctx.Err()
		}
	}
	return nil
}

// leave writes the placement without this instance when that is possible.
func (c *Controller) leave(ctx context.Context, p state.Placement) {
	snap := c.config.Store.Load()
	c.config.Rights.ObserveAdopted(p.Epoch, time.Now())
	n := nextPlacement(p, c.config.Zone, without(p.Members, c.config.Self), zoneTargets(snap, c.config.Zone))
	reason := "instance stops"
	if len(n.Members) == 0 {
		reason = "last instance stops"
		n = state.Placement{Zone: c.config.Zone, Released: true}
		// The right ends first: whoever takes a released placement starts at
		// once.
		c.config.Rights.Close()
		for t := range p.Holders {
			if !c.config.Pool.Idle(t) {
				sleep(ctx, reconcileEvery/2)
				return
			}
		}
	}
	if !settled(p, c.config.Rights.Evidence(), c.config.Self, time.Now()) || c.write(ctx, p, n, reason) != nil {
		sleep(ctx, reconcileEvery)
	}
}

// handedOver reports whether nothing that moved away is left here.
func (c *Controller) handedOver() bool {
	p := c.config.Store.Load().Placements[c.config.Zone]
	for target, previous := range p.Previous {
		if previous == c.config.Self && !c.config.Rights.IsReleased(target, p.Epoch) {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.handovers) == 0
}

// sleep waits and reports whether ctx is still running.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

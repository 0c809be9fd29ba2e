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

// releaseMovedTargets releases each target that the placement moved away from
// this instance as soon as the target is idle, and hands its state over.
func (c *Controller) releaseMovedTargets(ctx context.Context, calls *sync.WaitGroup, snap *state.Snapshot) {
	p := snap.Placements[c.config.Zone]
	for target, previous := range p.Previous {
		if previous != c.config.Self || c.config.Leases.IsReleased(target, p.Epoch) || !c.config.Pool.Idle(target) {
			continue
		}
		load := c.config.Pool.Release(target)
		c.config.Leases.MarkReleased(target, p.Epoch)
		to := p.Holders[target]
		c.logger.Info().Str("target", target).Str("to", to).Int64("epoch", p.Epoch).
			Str("phase", string(load.Phase)).Str("reason", "placement moved it and it is idle").Msg("target released")
		if to == "" {
			continue
		}
		load.Target = target
		c.mu.Lock()
		c.pendingHandovers[target] = true
		c.mu.Unlock()
		calls.Go(func() {
			c.sendHandover(ctx, to, p.Epoch, load)
			c.mu.Lock()
			delete(c.pendingHandovers, target)
			c.mu.Unlock()
		})
	}
}

// sendHandover sends the state of a target to its next holder until that accepts,
// the placement changes or two LeaseTerms have passed. A holder that gets no
// handover starts the target cold.
func (c *Controller) sendHandover(ctx context.Context, to string, epoch int64, load state.Load) {
	ctx, cancel := context.WithTimeout(ctx, 2*LeaseTerm)
	defer cancel()
	for c.config.Store.Load().Placements[c.config.Zone].Epoch == epoch && ctx.Err() == nil {
		if i, ok := c.config.Store.Load().Instances[to]; ok {
			callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
			reply, err := c.config.Peers.Client(i.PeerAddress).Handover(callCtx, &peerpb.HandoverRequest{
				From: c.config.Self, Zone: c.config.Zone, Epoch: epoch, Targets: []*peerpb.TargetLoad{peer.EncodeLoad(load)},
			})
			cancelCall()
			if err == nil && reply.Accepted {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconcileInterval):
		}
	}
	c.logger.Warn().Str("target", load.Target).Str("to", to).Int64("epoch", epoch).
		Str("reason", "the next holder did not accept").Msg("handover failed")
}

// Handover takes over targets that their previous holder released. It rejects a
// message of another epoch than the local one, and the sender tries again.
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
		// A repeated message must not overwrite what this holder has learned
		// about the target since the first one.
		c.mu.Lock()
		repeated := c.acceptedHandovers[load.Target] == p.Epoch
		c.acceptedHandovers[load.Target] = p.Epoch
		c.mu.Unlock()
		if repeated {
			continue
		}
		if load.Phase != "" {
			c.config.Pool.AdoptLoad(load)
		}
		c.config.Leases.ObserveHandover(load.Target, p.Epoch)
		c.logger.Info().Str("target", load.Target).Str("from", req.From).Int64("epoch", p.Epoch).
			Str("phase", string(load.Phase)).Str("reason", "previous holder released it").Msg("target taken over")
	}
	return &peerpb.HandoverReply{Accepted: true}, nil
}

// Release removes this instance from the placement and waits until its targets
// are handed over or ctx ends. The last instance of a zone releases the whole
// placement instead. Run must still be running, and the peers must already know
// that this instance is draining, or they would add it again.
func (c *Controller) Release(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for {
		o, err := c.readPlacement(ctx)
		if platform.ErrNotFound.Has(err) {
			break
		}
		if err == nil {
			p := c.config.Store.Load().Placements[c.config.Zone]
			if p.Epoch >= o.Version && !slices.Contains(p.Members, c.config.Self) {
				break
			}
			if p.Epoch == o.Version {
				c.leavePlacement(ctx, p)
				continue
			}
		}
		if !sleep(ctx, reconcileInterval) {
			return ctx.Err()
		}
	}
	for !c.handoversDone() {
		if !sleep(ctx, reconcileInterval/2) {
			return ctx.Err()
		}
	}
	return nil
}

// leavePlacement writes the placement without this instance once all moves of p
// have ended and, for the last instance of the zone, its targets are idle. Until
// then it waits for a short time and its caller repeats it.
func (c *Controller) leavePlacement(ctx context.Context, p state.Placement) {
	snap := c.config.Store.Load()
	c.config.Leases.ObserveAdoptedEpoch(p.Epoch, time.Now())
	n := nextPlacement(p, c.config.Zone, without(p.Members, c.config.Self), zoneTargets(snap, c.config.Zone))
	reason := "instance stops"
	if len(n.Members) == 0 {
		reason = "last instance stops"
		n = state.Placement{Zone: c.config.Zone, Released: true}
		// The leases end before the write, because the instance that follows a
		// released placement starts without waiting.
		c.config.Leases.Close()
		for t := range p.Holders {
			if !c.config.Pool.Idle(t) {
				sleep(ctx, reconcileInterval/2)
				return
			}
		}
	}
	if !allMovesEnded(p, c.config.Leases.Evidence(), c.config.Self, time.Now()) || c.writePlacement(ctx, p, n, reason) != nil {
		sleep(ctx, reconcileInterval)
	}
}

// handoversDone reports whether all targets that moved away from this instance
// are released and no handover is pending.
func (c *Controller) handoversDone() bool {
	p := c.config.Store.Load().Placements[c.config.Zone]
	for target, previous := range p.Previous {
		if previous == c.config.Self && !c.config.Leases.IsReleased(target, p.Epoch) {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingHandovers) == 0
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

package edge

import (
	"context"
	"time"

	"github.com/baobabsill/baobabsill/internal/follow"
)

const (
	// balancerDelay is how long the balancer may still send new connections: it
	// asks each second and takes an instance out after two refusals.
	balancerDelay = 2500 * time.Millisecond
	// exitMargin is kept of the grace time for the end of the process.
	exitMargin = 400 * time.Millisecond
)

// shutdown lets the balancer and the callers go before the instance ends.
func (d *Daemon) shutdown(force context.Context) error {
	started, grace, self := time.Now(), d.settings.Load().Grace, d.settings.Load().Name
	d.stopping.Store(true)
	d.server.AnnounceClose()
	d.logger.Info().Str("event", "stop").Dur("grace", grace).Int64("in_flight", d.forwarder.InFlight()).
		Msg("instance stops")
	follow.Deregister(d.logger, d.store, self)
	end := started.Add(grace - exitMargin)
	wait(force, min(balancerDelay, grace/2)-time.Since(started))
	ctx, cancel := context.WithDeadline(force, end)
	defer cancel()
	err := d.server.Drain(ctx)
	d.logger.Info().Str("event", "stopped").Dur("took", time.Since(started)).Int64("cut_off", d.forwarder.InFlight()).
		Msg("instance has stopped")
	return err
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

package edge

import (
	"context"
	"time"
)

const (
	// balancerRemovalDelay is how long the load balancer may still send new
	// connections after the instance reports that it is not ready: the balancer asks
	// each second and removes an instance after two refusals.
	balancerRemovalDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the exit of the
	// process after the drain.
	exitMargin = 400 * time.Millisecond
	// finalAnswerMargin is the part of the drain that is reserved for writing the answers
	// of the requests that are still in flight near its end.
	finalAnswerMargin = 100 * time.Millisecond
)

// shutdown reports not ready, makes each answer close its connection, deregisters
// the instance, and waits until the load balancer has removed it. Then it drains the
// requests in flight, until exitMargin before the end of the grace time. Those that take
// longer are answered finalAnswerMargin before that.
func (d *Daemon) shutdown(force context.Context) error {
	started, grace := time.Now(), d.settings.Load().Grace
	d.stopping.Store(true)
	d.server.AnnounceClose()
	d.forwarder.SetLeaving()
	end := started.Add(grace - exitMargin)
	d.forwarder.EndRequestsAt(end.Add(-finalAnswerMargin))
	d.logger.Info().Str("event", "stop").Dur("grace", grace).Int64("in_flight", d.forwarder.InFlight()).
		Msg("instance stops")
	d.registrar.Deregister()
	pause(force, min(balancerRemovalDelay, grace/2)-time.Since(started))
	ctx, cancel := context.WithDeadline(force, end)
	defer cancel()
	err := d.server.Drain(ctx)
	d.logger.Info().Str("event", "stopped").Dur("took", time.Since(started)).Int64("cut_off", d.forwarder.InFlight()).
		Msg("instance has stopped")
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

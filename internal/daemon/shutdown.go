package daemon

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/internal/control"
)

// leaveTimeout bounds the removal of the own object from the platform.
const leaveTimeout = 2 * time.Second

// arrivalGrace is how long sub-requests are still served that peers sent before
// they heard that the instance stops. It is far above the delay between zones.
const arrivalGrace = 100 * time.Millisecond

// shutdown stops the instance in an order that refuses nothing which could
// have been served: readiness goes first, then the targets pass to their new
// holders while requests still arrive, and the sockets close last.
func (d *Daemon) shutdown(force context.Context) error {
	d.membership.SetState(control.StateDraining)
	d.logger.Info().Str("event", "drain").Msg("instance drains")
	pause(force, d.settings.Shutdown.DrainDelay)

	ctx, cancel := context.WithTimeout(force, d.settings.Shutdown.DrainTimeout)
	defer cancel()
	var failed errs.Group
	// During an outage of the platform the release cannot end, and the requests
	// in flight need the other half of the time.
	release, cancelRelease := context.WithTimeout(ctx, d.settings.Shutdown.DrainTimeout/2)
	defer cancelRelease()
	failed.Add(named("placement", d.placement.Release(release)))
	failed.Add(named("caller requests", d.api.Shutdown(ctx)))
	failed.Add(named("at-most-once requests", d.once.Close(ctx)))

	leave, cancelLeave := context.WithTimeout(force, leaveTimeout)
	defer cancelLeave()
	failed.Add(named("instance object", d.membership.Leave(leave)))
	// During an outage of the platform the placement still names this instance.
	d.membership.SetState(control.StateStopping)
	d.membership.Refresh(leave)
	pause(force, arrivalGrace)
	failed.Add(named("peer requests", d.peers.Shutdown(ctx)))
	if force.Err() != nil {
		return Error.New("shutdown cut short by a second signal: %v", failed.Err())
	}
	if err := failed.Err(); err != nil {
		// A platform outage or a stuck target must not fail a planned stop:
		// peers notice the missing heartbeats.
		d.logger.Warn().Str("event", "drain").Err(err).Msg("not everything was handed over")
	}
	d.logger.Info().Str("event", "stop").Msg("instance stopped")
	return nil
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func named(step string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", step, err)
}

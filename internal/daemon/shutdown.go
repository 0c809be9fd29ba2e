package daemon

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/internal/control"
)

// leaveTimeout bounds the removal of the instance's object from the platform.
const leaveTimeout = 2 * time.Second

// arrivalGrace is how long the instance still serves sub-requests after it has told
// its peers that it stops: peers may have sent some before they received this. It
// is far above the network delay between zones.
const arrivalGrace = 100 * time.Millisecond

// shutdown stops the instance without refusing a request that it could have
// served: it first reports not ready, then hands its targets over to new holders
// while requests still arrive, and closes the sockets last.
func (d *Daemon) shutdown(force context.Context) error {
	d.membership.SetState(control.StateDraining)
	d.logger.Info().Str("event", "drain").Msg("instance drains")
	pause(force, d.settings.Shutdown.DrainDelay)

	ctx, cancel := context.WithTimeout(force, d.settings.Shutdown.DrainTimeout)
	defer cancel()
	var failures errs.Group
	// During an outage of the platform the release cannot end, so it gets half of
	// the time. The other half is for the requests in flight.
	releaseCtx, cancelRelease := context.WithTimeout(ctx, d.settings.Shutdown.DrainTimeout/2)
	defer cancelRelease()
	failures.Add(stepError("placement", d.placement.Release(releaseCtx)))
	failures.Add(stepError("caller requests", d.api.Shutdown(ctx)))
	failures.Add(stepError("at-most-once requests", d.once.Close(ctx)))

	leaveCtx, cancelLeave := context.WithTimeout(force, leaveTimeout)
	defer cancelLeave()
	failures.Add(stepError("instance object", d.membership.Leave(leaveCtx)))
	// During an outage of the platform the placement still names this instance, so
	// the peers are told that it stops.
	d.membership.SetState(control.StateStopping)
	d.membership.Refresh(leaveCtx)
	pause(force, arrivalGrace)
	failures.Add(stepError("peer requests", d.peers.Shutdown(ctx)))
	if force.Err() != nil {
		return Error.New("shutdown cut short by a second signal: %v", failures.Err())
	}
	if err := failures.Err(); err != nil {
		// An outage of the platform or a blocked target must not make a planned
		// stop fail: peers notice the missing heartbeats.
		d.logger.Warn().Str("event", "drain").Err(err).Msg("not everything was handed over")
	}
	d.logger.Info().Str("event", "stop").Msg("instance stopped")
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func stepError(step string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("%s: %v", step, err)
}

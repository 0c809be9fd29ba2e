// Package lifecycle runs the components of an instance from its start to the
// end of its graceful shutdown.
package lifecycle

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Run runs the components until stop ends, calls shutdown, and then cancels the
// components and waits for them. force is passed to shutdown, which returns
// early when it ends. If a component fails before stop ends, Run cancels the
// others and returns the error without a shutdown.
func Run(stop, force context.Context, components []func(context.Context) error, shutdown func(force context.Context) error) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(force))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range components {
		group.Go(func() error {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		})
	}
	select {
	case <-stop.Done():
	case <-ctx.Done(): // a component failed
		return group.Wait()
	}
	err := shutdown(force)
	cancel()
	return errs.Combine(err, group.Wait())
}

// Every calls f at intervals until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}

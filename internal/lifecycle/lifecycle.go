// Package lifecycle runs the parts of an instance from its start to the end of its
// graceful shutdown.
package lifecycle

import (
	"context"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Run runs the parts until stop ends, calls shutdown, and then ends the parts.
// force cuts the shutdown short. If a part fails first, the others end, and its
// error is returned without a shutdown.
func Run(stop, force context.Context, parts []func(context.Context) error, shutdown func(force context.Context) error) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(force))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range parts {
		group.Go(func() error {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		})
	}
	select {
	case <-stop.Done():
	case <-ctx.Done(): // a part failed
		return group.Wait()
	}
	err := shutdown(force)
	cancel()
	return errs.Combine(err, group.Wait())
}

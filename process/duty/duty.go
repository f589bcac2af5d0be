// Package duty runs the goroutines of a process, one for each duty, through a
// planned stop.
package duty

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Task works until its context ends. An error ends the whole process.
type Task func(ctx context.Context) error

// Run runs every duty in a goroutine of its own. When ctx ends, which is a
// planned stop, stop is called while the duties go on; its context ends when a
// duty has failed. When stop returns, the duties end. Run returns the first
// error of a duty.
func Run(ctx context.Context, stop func(work context.Context), duties ...Task) error {
	work, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	group, groupCtx := errgroup.WithContext(work)
	for _, d := range duties {
		group.Go(func() error { return d(groupCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			stop(groupCtx)
			finish()
		case <-groupCtx.Done():
		}
		return nil
	})
	return group.Wait()
}

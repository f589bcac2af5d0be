// Package taskgroup runs the concurrent tasks of a process and shuts them down gracefully.
package taskgroup

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Task runs until its context is canceled. An error stops all tasks of the process.
type Task func(ctx context.Context) error

// Run runs each task in a goroutine of its own. When ctx is canceled, which starts a
// graceful shutdown, Run calls stop while the tasks continue; the context of stop is
// canceled if a task fails. When stop returns, the contexts of the tasks are canceled.
// Run returns the first error of a task.
func Run(ctx context.Context, stop func(ctx context.Context), tasks ...Task) error {
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, groupCtx := errgroup.WithContext(taskCtx)
	for _, task := range tasks {
		group.Go(func() error { return task(groupCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			stop(groupCtx)
			cancelTasks()
		case <-groupCtx.Done():
		}
		return nil
	})
	return group.Wait()
}

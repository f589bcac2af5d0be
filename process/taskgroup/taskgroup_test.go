package taskgroup_test

import (
	"context"
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/process/taskgroup"
)

func TestRun(t *testing.T) {
	convey.Convey("Tasks continue while stop runs", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var runningAtStop bool
		ended := make(chan struct{})
		task := func(ctx context.Context) error {
			<-ctx.Done()
			close(ended)
			return nil
		}
		stop := func(context.Context) {
			select {
			case <-ended:
			default:
				runningAtStop = true
			}
		}
		cancel()
		convey.So(taskgroup.Run(ctx, stop, task), convey.ShouldBeNil)
		convey.So(runningAtStop, convey.ShouldBeTrue)
	})
	convey.Convey("A task that fails stops the others and its error is returned", t, func() {
		failure := errors.New("socket closed")
		fail := func(context.Context) error { return failure }
		wait := func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		}
		err := taskgroup.Run(context.Background(), func(context.Context) {}, fail, wait)
		convey.So(errors.Is(err, failure), convey.ShouldBeTrue)
	})
}

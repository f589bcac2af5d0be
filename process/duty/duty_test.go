package duty_test

import (
	"context"
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/process/duty"
)

func TestRun(t *testing.T) {
	convey.Convey("Duties go on while the process stops by plan", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var working bool
		ended := make(chan struct{})
		work := func(ctx context.Context) error {
			<-ctx.Done()
			close(ended)
			return nil
		}
		stop := func(context.Context) {
			select {
			case <-ended:
			default:
				working = true
			}
		}
		cancel()
		convey.So(duty.Run(ctx, stop, work), convey.ShouldBeNil)
		convey.So(working, convey.ShouldBeTrue)
	})
	convey.Convey("A duty that fails ends the others and is reported", t, func() {
		failure := errors.New("socket closed")
		fail := func(context.Context) error { return failure }
		wait := func(ctx context.Context) error {
			<-ctx.Done()
			return nil
		}
		err := duty.Run(context.Background(), func(context.Context) {}, fail, wait)
		convey.So(errors.Is(err, failure), convey.ShouldBeTrue)
	})
}

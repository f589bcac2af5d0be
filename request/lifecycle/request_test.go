package lifecycle

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestFailures(t *testing.T) {
	steps := []func(*Request){
		func(*Request) {},
		(*Request).Queue,
		(*Request).Start,
		func(r *Request) { r.Send() },
		(*Request).BeginResponse,
		(*Request).EndResponse,
	}
	convey.Convey("Not run is reported before the first byte only, and never for other attempts with a key", t, func() {
		for _, kind := range errkind.Kinds() {
			for last := range steps {
				var r Request
				for _, step := range steps[:last+1] {
					step(&r)
				}
				sent := r.Phase() >= Sent
				begun := r.Phase() >= Responding
				failure := r.Fail(kind)
				convey.So(failure.Abort, convey.ShouldEqual, begun)
				convey.So(failure.Try == errkind.NotExecuted, convey.ShouldEqual, !sent)
				aboutKey := kind == errkind.KeyInProgress || kind == errkind.KeyUnverifiable
				convey.So(failure.Run == errkind.NotExecuted, convey.ShouldEqual, !sent && !aboutKey)
				convey.So(r.Phase().Terminal(), convey.ShouldBeTrue)
				convey.So(r.Send(), convey.ShouldBeFalse)
			}
		}
	})
	convey.Convey("A sent request is reported as not run if a sibling confirms it", t, func() {
		var r Request
		convey.So(r.Send(), convey.ShouldBeTrue)
		convey.So(r.FailNotRun(errkind.Draining).Run, convey.ShouldEqual, errkind.NotExecuted)
		convey.So(r.Send(), convey.ShouldBeFalse)
	})
	convey.Convey("A sibling's confirmation is ignored after the response has begun", t, func() {
		var r Request
		r.Send()
		r.BeginResponse()
		convey.So(r.FailNotRun(errkind.Draining).Abort, convey.ShouldBeTrue)
	})
}

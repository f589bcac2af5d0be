package lifecycle

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestVerdicts(t *testing.T) {
	steps := []func(*Request){
		func(*Request) {},
		(*Request).Queue,
		(*Request).Start,
		func(r *Request) { r.Send() },
		(*Request).BeginAnswer,
		(*Request).EndAnswer,
	}
	convey.Convey("Not run is said before the first byte only, and never of other tries under a key", t, func() {
		for _, kind := range errkind.Kinds() {
			for last := range steps {
				var r Request
				for _, step := range steps[:last+1] {
					step(&r)
				}
				sent := r.Phase() >= Sent
				begun := r.Phase() >= Answering
				verdict := r.Fail(kind)
				convey.So(verdict.Abort, convey.ShouldEqual, begun)
				convey.So(verdict.Try == errkind.NotExecuted, convey.ShouldEqual, !sent)
				aboutKey := kind == errkind.KeyInProgress || kind == errkind.KeyUnverifiable
				convey.So(verdict.Run == errkind.NotExecuted, convey.ShouldEqual, !sent && !aboutKey)
				convey.So(r.Phase().Terminal(), convey.ShouldBeTrue)
				convey.So(r.Send(), convey.ShouldBeFalse)
			}
		}
	})
	convey.Convey("A sibling's promise brings a sent request back to not run", t, func() {
		var r Request
		convey.So(r.Send(), convey.ShouldBeTrue)
		convey.So(r.Disclaim(errkind.Draining).Run, convey.ShouldEqual, errkind.NotExecuted)
		convey.So(r.Send(), convey.ShouldBeFalse)
	})
	convey.Convey("A sibling's promise means nothing once an answer has begun", t, func() {
		var r Request
		r.Send()
		r.BeginAnswer()
		convey.So(r.Disclaim(errkind.Draining).Abort, convey.ShouldBeTrue)
	})
}

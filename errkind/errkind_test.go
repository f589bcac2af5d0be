package errkind_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestTableIsCompleteAndDistinct(t *testing.T) {
	convey.Convey("Every kind has a name and an exit code of its own", t, func() {
		names := make(map[string]errkind.Kind)
		codes := make(map[int]errkind.Kind)
		for _, kind := range errkind.Kinds() {
			answer := kind.Properties()
			convey.So(answer.Name, convey.ShouldNotBeEmpty)
			convey.So(answer.ExitCode, convey.ShouldBeBetween, 0, 126)
			convey.So(answer.HTTPStatus, convey.ShouldBeBetween, 199, 600)
			convey.So(names, convey.ShouldNotContainKey, answer.Name)
			convey.So(codes, convey.ShouldNotContainKey, answer.ExitCode)
			names[answer.Name] = kind
			codes[answer.ExitCode] = kind
		}
	})
}

func TestKindSurvivesWrapping(t *testing.T) {
	convey.Convey("The kind of an error is found through foreign wrapping", t, func() {
		inner := errkind.New(errkind.Conflict, "version %d is not current", 7)
		outer := fmt.Errorf("apply: %w", inner)
		convey.So(errkind.Of(outer), convey.ShouldEqual, errkind.Conflict)
		convey.So(errkind.ExitCode(outer), convey.ShouldEqual, errkind.Conflict.Properties().ExitCode)
		convey.So(outer.Error(), convey.ShouldEqual, "apply: version 7 is not current")
	})
	convey.Convey("An outer kind replaces an inner one", t, func() {
		inner := errkind.New(errkind.StoreUnavailable, "connection refused")
		outer := errkind.Wrap(inner, errkind.OutcomeUnknown, "write root")
		convey.So(errkind.Is(outer, errkind.OutcomeUnknown), convey.ShouldBeTrue)
		convey.So(outer.Error(), convey.ShouldEqual, "write root: connection refused")
	})
	convey.Convey("An error without a kind is internal, and no error has no code", t, func() {
		convey.So(errkind.Of(fmt.Errorf("plain")), convey.ShouldEqual, errkind.Internal)
		convey.So(errkind.ExitCode(nil), convey.ShouldEqual, 0)
		convey.So(errkind.Wrap(nil, errkind.Usage, "nothing"), convey.ShouldBeNil)
	})
}

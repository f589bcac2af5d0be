package main

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestReadFigures(t *testing.T) {
	convey.Convey("Only lines that start with bench are read", t, func() {
		f, err := readFigures(strings.NewReader("ok pkg\nbench a 1.5 ms\nBenchmarkA 1 2 ns/op\n"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.value("a"), convey.ShouldEqual, 1.5)
		convey.So(f.checkComplete(), convey.ShouldBeNil)
	})
	convey.Convey("A value that is not a number is rejected", t, func() {
		_, err := readFigures(strings.NewReader("bench a much ms\n"))
		convey.So(errkind.Is(err, errkind.Malformed), convey.ShouldBeTrue)
	})
	convey.Convey("A missing figure is reported by name", t, func() {
		_, err := deriveRows(&figures{values: map[string]float64{}})
		convey.So(errkind.Is(err, errkind.Partial), convey.ShouldBeTrue)
		convey.So(err.Error(), convey.ShouldContainSubstring, "membership_bytes_balancer_at_2600")
	})
}

func TestLimit(t *testing.T) {
	convey.Convey("An exceeded limit is marked", t, func() {
		convey.So(row{value: 2, limit: 1}.formatLimit(), convey.ShouldEqual, "1, **exceeded**")
		convey.So(row{value: 1, limit: 1}.formatLimit(), convey.ShouldEqual, "1")
		convey.So(row{value: 1}.formatLimit(), convey.ShouldEqual, "")
	})
}

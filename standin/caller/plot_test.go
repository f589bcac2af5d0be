package caller

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

func TestPlots(t *testing.T) {
	dir := t.TempDir()
	marks := []Mark{{Second: 1, Label: "1"}}
	runs := []struct {
		name    string
		seconds []Second
	}{
		{"empty", nil},
		{"short", []Second{{Answered: 3, P99: 2}, {Second: 1, Answered: 4, NotRun: 1}}},
	}
	for _, run := range runs {
		for _, format := range []string{".svg", ".png"} {
			convey.Convey("A plot of a run that is "+run.name+" as "+format, t, func() {
				path := filepath.Join(dir, run.name+format)
				convey.So(WritePlot(path, run.name, run.seconds, marks), convey.ShouldBeNil)
				convey.So(WriteSeries(path+format, run.name, "share", nil, marks), convey.ShouldBeNil)
				info, err := os.Stat(path)
				convey.So(err, convey.ShouldBeNil)
				convey.So(info.Size(), convey.ShouldBeGreaterThan, 0)
			})
		}
	}
	convey.Convey("A plot with an unsupported file extension returns an error", t, func() {
		err := WritePlot(filepath.Join(dir, "plot.txt"), "", nil, nil)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Usage)
	})
}

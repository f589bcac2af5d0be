package explain_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/process/explain"
)

// readLog reads a recorded log file.
func readLog(t *testing.T, name string) *explain.Log {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = file.Close() }()
	var log explain.Log
	convey.So(log.Read(file), convey.ShouldBeNil)
	convey.So(log.Skipped, convey.ShouldEqual, 0)
	return &log
}

func TestRecordedFailures(t *testing.T) {
	cases := []struct {
		name, file, subject string
		findings            []string
		printed             []string
	}{
		{
			"a request that its caller canceled", "never-answered.log", "e346f0e9c94ed8fc",
			[]string{"side-asahikawa-1: the server started its response after 88."},
			[]string{"frontend-sapporo-2", "flow looked up", "by=registered", "member=frontend-kushiro-1"},
		},
		{
			"a reset flow", "reset.log", "100.66.0.18:1050",
			[]string{"frontend-pasco-3: reset the flow (peer_unavailable) at version 35"},
			[]string{"state=draining", "state=down", "agent stopping", "member silent", "kind=peer_unavailable"},
		},
		{
			"a flow refused during a drain", "draining.log", "100.65.0.30:1043",
			[]string{"side-junin-1: refused the flow (draining), forwarded to 10.3.0.15:7380", "side-pasco-4: the server started its response after 11."},
			[]string{"report_age=", "state=draining", "hops=1"},
		},
	}
	for _, c := range cases {
		convey.Convey("The trace of "+c.name+" shows the cause", t, func() {
			trace, err := readLog(t, c.file).Explain(c.subject)
			convey.So(err, convey.ShouldBeNil)
			findings := strings.Join(trace.Findings, "\n")
			for _, want := range c.findings {
				convey.So(findings, convey.ShouldContainSubstring, want)
			}
			var b strings.Builder
			convey.So(explain.Write(&b, trace), convey.ShouldBeNil)
			for _, want := range c.printed {
				convey.So(b.String(), convey.ShouldContainSubstring, want)
			}
		})
	}
}

func TestOrderOfLines(t *testing.T) {
	convey.Convey("Lines of one process keep their order even if its clock was set back", t, func() {
		const lines = `{"time":"2026-01-01T00:00:05Z","process":"a","msg":"flow opened","caller":"c","service_address":"s"}
text {"time":"2026-01-01T00:00:01Z","process":"a","msg":"flow reset","caller":"c","service_address":"s","kind":"not_found"}
not a line
`
		var log explain.Log
		convey.So(log.Read(strings.NewReader(lines)), convey.ShouldBeNil)
		convey.So(log.Skipped, convey.ShouldEqual, 1)
		trace, err := log.Explain("c")
		convey.So(err, convey.ShouldBeNil)
		convey.So(trace.Lines[0].Message, convey.ShouldEqual, "flow opened")
		convey.So(trace.Lines[1].Message, convey.ShouldEqual, "flow reset")
	})
	convey.Convey("The decision of the admission queue explains a refusal", t, func() {
		const lines = `{"time":"2026-01-01T00:00:05Z","process":"a","msg":"admission queue","caller":"c","service_address":"s","outcome":"refused","waited":0.0215,"expected_wait":1.25,"ahead":83,"priority":2,"late":true,"waiting":83,"pending":87,"service_time":0.048}
{"time":"2026-01-01T00:00:05Z","process":"a","msg":"flow reset","caller":"c","service_address":"s","kind":"overloaded","era":2,"revision":3}
{"time":"2026-01-01T00:00:06Z","process":"b","msg":"flow reset","caller":"c","service_address":"s","kind":"not_found","revision":4}
`
		var log explain.Log
		convey.So(log.Read(strings.NewReader(lines)), convey.ShouldBeNil)
		trace, err := log.Explain("c")
		convey.So(err, convey.ShouldBeNil)
		convey.So(trace.Findings, convey.ShouldResemble, []string{
			"a: refused after 21.5 ms in the admission queue, expected 1250.0 ms with 83 ahead at priority 2; 87 pending",
			"a: reset the flow (overloaded) at version 3 of era 2",
			"b: reset the flow (not_found) at version 4",
		})
	})
	convey.Convey("A subject that no line contains is not found", t, func() {
		var log explain.Log
		_, err := log.Explain("x")
		convey.So(errkind.Is(err, errkind.NotFound), convey.ShouldBeTrue)
	})
}

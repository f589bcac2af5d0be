package fleet_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/fleet"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

// endTimeout bounds the wait for callers whose run is over.
const endTimeout = 60 * time.Second

// load is a running stand-in for callers.
type load struct {
	t       *testing.T
	process *fleet.Process
	report  string
}

// startLoad starts callers with orders, status streams and downloads.
func startLoad(t *testing.T, f *fleet.Fleet, duration time.Duration, extra ...string) *load {
	t.Helper()
	report := filepath.Join(t.TempDir(), "report.json")
	ordering := f.ServiceAddress("ordering").String()
	catalogue := f.ServiceAddress("catalogue").String()
	arguments := []string{
		"--duration", duration.String(),
		"--orders", "http://" + ordering + "/orders", "--orders-per-second", "20",
		"--status", "http://" + ordering + "/status?interval=200ms", "--streams", "30", "--status-interval", "200ms",
		"--downloads", "http://" + catalogue + "/download", "--downloads-per-second", "2",
		"--service", ordering + "=ordering", "--service", catalogue + "=catalogue",
		"--repeat", "unknown", "--repeats", "5",
		"--report", report,
	}
	process, err := f.Caller(append(arguments, extra...)...)
	convey.So(err, convey.ShouldBeNil)
	return &load{t: t, process: process, report: report}
}

// end waits for the end of the run and returns its report.
func (l *load) end() caller.Report {
	report := l.read()
	l.logSamples("orders", report.Orders)
	l.logSamples("status", report.Status)
	l.logSamples("downloads", report.Downloads)
	return report
}

// read waits for the end of the run and reads its report.
func (l *load) read() caller.Report {
	select {
	case <-l.process.Done():
	case <-time.After(endTimeout):
		l.t.Fatal("callers did not end")
	}
	convey.So(l.process.Wait(), convey.ShouldBeNil)
	text, err := os.ReadFile(l.report)
	convey.So(err, convey.ShouldBeNil)
	var report caller.Report
	convey.So(json.Unmarshal(text, &report), convey.ShouldBeNil)
	return report
}

// logSamples writes the first requests of a class that did not end well to the
// log of the test.
func (l *load) logSamples(name string, class *caller.ClassReport) {
	for _, sample := range class.Samples {
		l.t.Logf("%s: %s after %s: %s", name, sample.Outcome, sample.After, sample.Detail)
	}
}

// shouldBeUnharmed checks what must hold whatever fails by plan: no flow broke,
// every answer was whole and of the right service, and streams went on.
func shouldBeUnharmed(report caller.Report) {
	convey.So(report.Totals.BrokenFlows, convey.ShouldEqual, 0)
	convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
	convey.So(report.Totals.CorruptedResponses, convey.ShouldEqual, 0)
	convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
	convey.So(report.Status.Answered, convey.ShouldEqual, 30)
	convey.So(report.Status.Lines, convey.ShouldBeGreaterThan, 30)
	convey.So(report.Orders.Answered, convey.ShouldBeGreaterThan, 0)
}

// duplicateRuns counts the runs of orders beyond the first under their key.
func duplicateRuns(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	seen := make(map[string]bool)
	duplicates := 0
	for _, vm := range f.Servers("") {
		var log server.ExecutionLog
		convey.So(f.ReadJSON(t.Context(), vm.BackendControl, "/fault/executions", &log), convey.ShouldBeNil)
		for _, execution := range log.Executions {
			if seen[execution.Key] {
				duplicates++
			}
			seen[execution.Key] = true
		}
	}
	return duplicates
}

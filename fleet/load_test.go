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

// endTimeout limits the wait for callers to exit and for conditions.
const endTimeout = 60 * time.Second

// load is a running process of simulated callers.
type load struct {
	t          *testing.T
	process    *fleet.Process
	reportPath string
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
	process, err := f.StartCaller(append(arguments, extra...)...)
	convey.So(err, convey.ShouldBeNil)
	return &load{t: t, process: process, reportPath: report}
}

// wait waits for the callers to exit, logs failed requests and returns the report.
func (l *load) wait() caller.Report {
	report := l.readReport()
	l.logSamples("orders", report.Orders)
	l.logSamples("status", report.Status)
	l.logSamples("downloads", report.Downloads)
	return report
}

// readReport waits for the callers to exit and returns their report.
func (l *load) readReport() caller.Report {
	select {
	case <-l.process.Done():
	case <-time.After(endTimeout):
		l.t.Fatal("callers did not exit")
	}
	convey.So(l.process.Wait(), convey.ShouldBeNil)
	text, err := os.ReadFile(l.reportPath)
	convey.So(err, convey.ShouldBeNil)
	var report caller.Report
	convey.So(json.Unmarshal(text, &report), convey.ShouldBeNil)
	return report
}

// logSamples logs the first failed requests of a class.
func (l *load) logSamples(name string, class *caller.ClassReport) {
	for _, sample := range class.Samples {
		l.t.Logf("%s: %s after %s: %s", name, sample.Outcome, sample.After, sample.Detail)
	}
}

// shouldBeUnaffected checks what must hold during planned changes and tolerated
// failures: no flow is broken, every response is complete and from the right
// service, and streams continue.
func shouldBeUnaffected(report caller.Report) {
	convey.So(report.Totals.BrokenFlows, convey.ShouldEqual, 0)
	convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
	convey.So(report.Totals.CorruptedResponses, convey.ShouldEqual, 0)
	convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
	convey.So(report.Status.Answered, convey.ShouldEqual, 30)
	convey.So(report.Status.Lines, convey.ShouldBeGreaterThan, 30)
	convey.So(report.Orders.Answered, convey.ShouldBeGreaterThan, 0)
}

// duplicateExecutions returns the number of order executions after the first with
// the same key.
func duplicateExecutions(t *testing.T, f *fleet.Fleet) int {
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

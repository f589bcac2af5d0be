package fleet_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/fleet"
)

// raceRounds is the number of times that two operators apply concurrently.
const raceRounds = 5

func TestRacingOperators(t *testing.T) {
	t.Parallel()
	convey.Convey("Of two operators who change the same version concurrently, one succeeds", t, func() {
		f := startSmallFleet(t)
		for round := range raceRounds {
			succeeded := raceOperators(t, f, round)
			convey.So(succeeded, convey.ShouldEqual, 1)
		}
		_, err := f.RunCtl(t.Context(), "status")
		convey.So(err, convey.ShouldBeNil)
	})
}

// raceOperators lets two operators apply different texts based on the same version
// and returns how many of them succeeded.
func raceOperators(t *testing.T, f *fleet.Fleet, round int) int {
	t.Helper()
	base := fmt.Sprint(round + 1)
	var accepted atomic.Int64
	var operators sync.WaitGroup
	for operator := range 2 {
		timeout := fmt.Sprintf(`timeout = "%ds"`, 11+2*round+operator)
		text := bytes.Replace(andesConfig(t), []byte(`timeout = "10s"`), []byte(timeout), 1)
		path := filepath.Join(t.TempDir(), "config.toml")
		convey.So(os.WriteFile(path, text, 0o600), convey.ShouldBeNil)
		operators.Go(func() {
			if _, err := f.RunCtl(t.Context(), "apply", "--expect-version", base, path); err == nil {
				accepted.Add(1)
			}
		})
	}
	operators.Wait()
	return int(accepted.Load())
}

func TestDomainOutInOut(t *testing.T) {
	t.Parallel()
	convey.Convey("The last of three changes of a failure domain takes effect", t, func() {
		f := startSmallFleet(t)
		startLoad(t, f, 2*loadDuration)
		time.Sleep(stabilizationTime)
		for _, state := range []string{"out", "in", "out"} {
			_, err := f.RunCtl(t.Context(), "domain", state, outDomain)
			convey.So(err, convey.ShouldBeNil)
		}
		time.Sleep(activationTime)
		before := packetsOfDomain(t, f)
		time.Sleep(stabilizationTime)
		convey.So(packetsOfDomain(t, f), convey.ShouldResemble, before)
	})
}

func TestAtMostOnceWhenAnAgentIsFrozen(t *testing.T) {
	t.Parallel()
	convey.Convey("An agent that is frozen and resumes executes no order twice and mismatches no response", t, func() {
		f := startSmallFleet(t)
		callers := startLoad(t, f, loadDuration)
		time.Sleep(stabilizationTime)
		frozen := f.Process(f.Servers("ordering")[0].AgentName())
		frozen.Freeze()
		time.Sleep(freezeDuration)
		frozen.Resume()
		report := callers.wait()
		convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
		convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
		convey.So(report.Orders.Answered, convey.ShouldBeGreaterThan, 0)
		convey.So(duplicateExecutions(t, f), convey.ShouldEqual, 0)
	})
}

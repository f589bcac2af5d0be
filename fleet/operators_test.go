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

// raceRounds is the number of times two operators apply at once.
const raceRounds = 5

func TestRacingOperators(t *testing.T) {
	t.Parallel()
	convey.Convey("Of two operators who change the same version at once, one wins", t, func() {
		f := startSmall(t)
		for round := range raceRounds {
			winners := race(t, f, round)
			convey.So(winners, convey.ShouldEqual, 1)
		}
		_, err := f.Ctl(t.Context(), "status")
		convey.So(err, convey.ShouldBeNil)
	})
}

// race lets two operators apply different texts on top of the same version and
// returns how many were told that theirs was accepted.
func race(t *testing.T, f *fleet.Fleet, round int) int {
	t.Helper()
	base := fmt.Sprint(round + 1)
	var accepted atomic.Int64
	var operators sync.WaitGroup
	for operator := range 2 {
		timeout := fmt.Sprintf(`timeout = "%ds"`, 11+2*round+operator)
		text := bytes.Replace(andesText(t), []byte(`timeout = "10s"`), []byte(timeout), 1)
		path := filepath.Join(t.TempDir(), "config.toml")
		convey.So(os.WriteFile(path, text, 0o600), convey.ShouldBeNil)
		operators.Go(func() {
			if _, err := f.Ctl(t.Context(), "apply", "--expect-version", base, path); err == nil {
				accepted.Add(1)
			}
		})
	}
	operators.Wait()
	return int(accepted.Load())
}

func TestDomainOutInOut(t *testing.T) {
	t.Parallel()
	convey.Convey("The last of three orders about a failure domain holds", t, func() {
		f := startSmall(t)
		startLoad(t, f, 2*runTime)
		time.Sleep(settle)
		for _, order := range []string{"out", "in", "out"} {
			_, err := f.Ctl(t.Context(), "domain", order, outDomain)
			convey.So(err, convey.ShouldBeNil)
		}
		time.Sleep(inForceTime)
		before := packetsOfDomain(t, f)
		time.Sleep(settle)
		convey.So(packetsOfDomain(t, f), convey.ShouldResemble, before)
	})
}

func TestPausedAgent(t *testing.T) {
	t.Parallel()
	convey.Convey("An agent that is paused and resumes runs no order twice and crosses no answer", t, func() {
		f := startSmall(t)
		callers := startLoad(t, f, runTime)
		time.Sleep(settle)
		paused := f.Process(f.Servers("ordering")[0].AgentName())
		paused.Freeze()
		time.Sleep(frozenFor)
		paused.Resume()
		report := callers.end()
		convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
		convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
		convey.So(report.Orders.Answered, convey.ShouldBeGreaterThan, 0)
		convey.So(duplicateRuns(t, f), convey.ShouldEqual, 0)
	})
}

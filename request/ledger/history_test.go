package ledger

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", cmp.Or(os.Getenv("LEDGER_SEED"), "7"))
	_ = flag.Set("rapid.checks", cmp.Or(os.Getenv("LEDGER_CHECKS"), "400"))
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestAtMostOnceInEveryHistory(t *testing.T) {
	convey.Convey("No history of attempts, message losses, crashes, joins and partitions runs a key twice", t, func() {
		runs := 0
		rapid.Check(t, func(rt *rapid.T) {
			c := newTestCluster(rt, rapid.IntRange(1, 9).Draw(rt, "size"))
			for range rapid.IntRange(20, 150).Draw(rt, "steps") {
				c.step()
			}
			runs += c.totalRuns
		})
		convey.So(runs, convey.ShouldBeGreaterThan, 100)
	})
}

func TestFaultFreeHistoryMatchesReference(t *testing.T) {
	convey.Convey("Without faults every first attempt runs and every retry gets its result", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			c := newTestCluster(rt, rapid.IntRange(1, 9).Draw(rt, "size"))
			seen := make(map[int]bool)
			for range rapid.IntRange(1, 30).Draw(rt, "attempts") {
				number := rapid.IntRange(0, 5).Draw(rt, "key")
				a := c.pick("agent")
				key := Key{Value: fmt.Sprintf("k%d", number), Issued: c.now}
				claim := Claim{Key: key, Token: fmt.Sprint(c.next), Deadline: c.now.Add(time.Second)}
				c.next++
				replicas := a.membership.Replicas(key.Value)
				round := NewRound(len(replicas), a.membership.Quorum(key.Value))
				decision := Pending
				for _, name := range replicas {
					if decision == Pending {
						decision = round.Add(c.agents[name].replica.Claim(claim, c.now))
					}
				}
				want := Run
				if seen[number] {
					want = Replay
				}
				if decision != want {
					rt.Fatalf("attempt with key %d: decision %d, want %d", number, decision, want)
				}
				seen[number] = true
				for _, name := range replicas {
					c.agents[name].replica.Complete(claim, Result{Status: 200}, c.now)
				}
				c.advance(time.Second)
			}
		})
	})
}

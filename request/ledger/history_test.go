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
	convey.Convey("No history of tries, losses, deaths, joins and cuts runs a key twice", t, func() {
		ran := 0
		rapid.Check(t, func(rt *rapid.T) {
			w := newWorld(rt, rapid.IntRange(1, 9).Draw(rt, "size"))
			for range rapid.IntRange(20, 150).Draw(rt, "steps") {
				w.step()
			}
			ran += w.ran
		})
		convey.So(ran, convey.ShouldBeGreaterThan, 100)
	})
}

func TestCalmHistoryAgreesWithNaiveLedger(t *testing.T) {
	convey.Convey("Without failures every first try runs and every repeat gets its result", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			w := newWorld(rt, rapid.IntRange(1, 9).Draw(rt, "size"))
			seen := make(map[int]bool)
			for range rapid.IntRange(1, 30).Draw(rt, "tries") {
				number := rapid.IntRange(0, 5).Draw(rt, "key")
				a := w.pick("agent")
				key := Key{Value: fmt.Sprintf("k%d", number), Issued: w.now}
				claim := Claim{Key: key, Token: fmt.Sprint(w.next), Deadline: w.now.Add(time.Second)}
				w.next++
				homes := a.ring.Replicas(key.Value)
				round := NewRound(len(homes), a.ring.Quorum(key.Value))
				decision := Pending
				for _, h := range homes {
					if decision == Pending {
						decision = round.Add(w.agents[h].book.Claim(claim, w.now))
					}
				}
				want := Run
				if seen[number] {
					want = Replay
				}
				if decision != want {
					rt.Fatalf("try of key %d: decision %d, want %d", number, decision, want)
				}
				seen[number] = true
				for _, h := range homes {
					w.agents[h].book.Complete(claim, Result{Status: 200}, w.now)
				}
				w.advance(time.Second)
			}
		})
	})
}

package admission

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", cmp.Or(os.Getenv("HISTORY_SEED"), "3"))
	_ = flag.Set("rapid.checks", cmp.Or(os.Getenv("HISTORY_CHECKS"), "4"))
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

const (
	headerFault = "X-Fault"
	headerTryID = "X-Request-Id"
)

// faultyServe runs a request and then answers as its fault says.
func faultyServe(w http.ResponseWriter, r *http.Request) {
	switch r.Header.Get(headerFault) {
	case "reset":
		panic(http.ErrAbortHandler)
	case "cut":
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "late":
		<-r.Context().Done()
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "answer to "+r.Header.Get(headerTryID))
}

// historyStep is one step of a random history.
type historyStep struct {
	agent  int
	key    int // 0: none
	fault  string
	action string
}

func drawStep(t *rapid.T) historyStep {
	return historyStep{
		agent:  rapid.IntRange(0, 3).Draw(t, "agent"),
		key:    rapid.IntRange(0, 6).Draw(t, "key"),
		fault:  rapid.SampledFrom([]string{"", "", "", "reset", "cut", "late", "fail"}).Draw(t, "fault"),
		action: rapid.SampledFrom([]string{"", "", "", "", "", "", "", "", "", "drain", "kill"}).Draw(t, "action"),
	}
}

// history runs requests at a fleet and checks what their callers are told.
type history struct {
	t     *rapid.T
	fleet *fleet
	mu    sync.Mutex
	tried map[string]bool // tries that a backend server has run
	keys  map[string]int
	told  map[string]reply
}

func (h *history) serve(_ string, w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.tried[r.Header.Get(headerTryID)] = true
	if key := r.Header.Get(HeaderKey); key != "" {
		h.keys[key]++
	}
	h.mu.Unlock()
	faultyServe(w, r)
}

func (h *history) send(a *agent, id, key, fault string) {
	headers := []string{headerTryID, id, headerFault, fault, HeaderDeadline, "200"}
	if key != "" {
		headers = append(headers, HeaderKey, key)
	}
	got := a.post("tags", headers...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[id] = got
}

// check looks for an untrue refusal, a second run, a foreign or a cut answer.
func (h *history) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, got := range h.told {
		if got.err != nil {
			continue
		}
		if got.header.Get(HeaderTry) == "not-run" && h.tried[id] {
			h.t.Fatalf("try %s was told %q but ran", id, got.promise())
		}
		own := got.body == "answer to "+id
		replayed := got.header.Get(HeaderReplayed) != ""
		if got.status == http.StatusOK && !own && !replayed {
			h.t.Fatalf("try %s got the answer %q", id, got.body)
		}
	}
	for key, runs := range h.keys {
		if runs > 1 {
			h.t.Fatalf("key %s ran %d times", key, runs)
		}
	}
}

func TestRandomHistories(t *testing.T) {
	convey.Convey("Whatever fails, a key runs once at most, refusals are true and answers whole", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			f := newFleet(t, 4)
			defer f.killAll()
			h := &history{t: rt, fleet: f, tried: make(map[string]bool), keys: make(map[string]int), told: make(map[string]reply)}
			f.serve = h.serve
			f.hideDrain = rapid.Bool().Draw(rt, "hidden drain")
			agents := f.list()
			keys := []string{""}
			for range 6 {
				keys = append(keys, f.key())
			}
			var wait sync.WaitGroup
			alive := len(agents)
			for number, step := range rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(rt, "steps") {
				a := agents[step.agent]
				switch {
				case step.action == "drain":
					a.drainNow()
				case step.action == "kill" && alive > 2:
					alive--
					wait.Go(a.kill)
				default:
					wait.Go(func() { h.send(a, fmt.Sprint(number), keys[step.key], step.fault) })
				}
				if number%8 == 7 {
					wait.Wait()
				}
			}
			wait.Wait()
			h.check()
		})
	})
}

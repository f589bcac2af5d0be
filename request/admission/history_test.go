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
	headerFault     = "X-Fault"
	headerAttemptID = "X-Request-Id"
)

// serveWithFault responds with the fault that the request asks for.
func serveWithFault(w http.ResponseWriter, r *http.Request) {
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
	_, _ = io.WriteString(w, "response to "+r.Header.Get(headerAttemptID))
}

// historyStep is one step of a random history.
type historyStep struct {
	agent  int
	key    int // 0 means no key
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

// history sends requests to a cluster and checks the replies to their callers.
type history struct {
	t        *rapid.T
	cluster  *testCluster
	mu       sync.Mutex
	executed map[string]bool // attempts that a backend server has run
	keys     map[string]int
	replies  map[string]reply
}

func (h *history) serve(_ string, w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.executed[r.Header.Get(headerAttemptID)] = true
	if key := r.Header.Get(HeaderKey); key != "" {
		h.keys[key]++
	}
	h.mu.Unlock()
	serveWithFault(w, r)
}

func (h *history) send(a *testAgent, id, key, fault string) {
	headers := []string{headerAttemptID, id, headerFault, fault, HeaderDeadline, "200"}
	if key != "" {
		headers = append(headers, HeaderKey, key)
	}
	got := a.post("tags", headers...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies[id] = got
}

// check fails if a request reported as not run was run, a key was run twice, or a
// reply is truncated or belongs to another request.
func (h *history) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, got := range h.replies {
		if got.err != nil {
			continue
		}
		if got.header.Get(HeaderTry) == "not-run" && h.executed[id] {
			h.t.Fatalf("attempt %s got %q but was run", id, got.guarantee())
		}
		own := got.body == "response to "+id
		replayed := got.header.Get(HeaderReplayed) != ""
		if got.status == http.StatusOK && !own && !replayed {
			h.t.Fatalf("attempt %s got the response %q", id, got.body)
		}
	}
	for key, runs := range h.keys {
		if runs > 1 {
			h.t.Fatalf("key %s was run %d times", key, runs)
		}
	}
}

func TestRandomHistories(t *testing.T) {
	convey.Convey("With any faults, a key is run at most once, no refused request is run, and responses are complete", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			cluster := newTestCluster(t, 4)
			defer cluster.killAll()
			h := &history{t: rt, cluster: cluster, executed: make(map[string]bool), keys: make(map[string]int), replies: make(map[string]reply)}
			cluster.serve = h.serve
			cluster.hideDrain = rapid.Bool().Draw(rt, "hidden drain")
			agents := cluster.list()
			keys := []string{""}
			for range 6 {
				keys = append(keys, cluster.key())
			}
			var wait sync.WaitGroup
			alive := len(agents)
			for number, step := range rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(rt, "steps") {
				a := agents[step.agent]
				switch {
				case step.action == "drain":
					a.startDrain()
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

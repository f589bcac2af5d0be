package admission

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotbank/request/limit"
)

// testCluster is a service of several agents, each with a fake backend server. The
// agents share a clock that a test can advance.
type testCluster struct {
	t           *testing.T
	clockOffset atomic.Int64
	mu          sync.Mutex
	agents      map[string]*testAgent
	// partitioned is true if agents on different sides of the network partition can
	// neither list nor reach each other.
	partitioned bool
	// hideDrain lists draining agents as warm.
	hideDrain  bool
	executions map[string]int // number of executions by idempotency key
	serve      func(agent string, w http.ResponseWriter, r *http.Request)
	issued     uint64 // number of keys returned by key
}

type testAgent struct {
	name          string
	cluster       *testCluster
	gate          *Gate
	frontend      *httptest.Server
	control       *httptest.Server
	remoteControl *httptest.Server // the control address for the other side of a partition
	backend       *httptest.Server
	stop          context.CancelFunc
	stopped       chan struct{}
	once          sync.Once
}

func newTestCluster(t *testing.T, size int) *testCluster {
	c := &testCluster{
		t:          t,
		agents:     make(map[string]*testAgent),
		executions: make(map[string]int),
	}
	t.Cleanup(c.killAll)
	for i := range size {
		c.add(fmt.Sprintf("s%d", i+1))
	}
	c.waitReady()
	return c
}

func (c *testCluster) now() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }

func (c *testCluster) advance(d time.Duration) { c.clockOffset.Add(int64(d)) }

// waitReady waits until every agent knows all members, advances the clock by a day
// in which no key is used, and waits until every agent has confirmed the members.
func (c *testCluster) waitReady() {
	c.t.Helper()
	c.waitMembers()
	c.advance(24 * time.Hour)
	c.waitConfirmed()
}

// waitMembers waits until every agent knows all members.
func (c *testCluster) waitMembers() {
	c.t.Helper()
	all := c.list()
	for _, a := range all {
		waitFor(c.t, "the members are known", func() bool { return a.gate.ledgerNode.MemberCount() == len(all) })
	}
}

// waitConfirmed waits until every agent has confirmed the members.
func (c *testCluster) waitConfirmed() {
	c.t.Helper()
	for _, a := range c.list() {
		waitFor(c.t, "the members are confirmed", a.gate.ledgerNode.Confirmed)
	}
}

func (c *testCluster) list() []*testAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*testAgent, 0, len(c.agents))
	for _, a := range c.agents {
		all = append(all, a)
	}
	return all
}

// inFirstPartition reports whether an agent is on the first side of a partition.
func inFirstPartition(name string) bool { return name == "s1" || name == "s2" }

func (c *testCluster) add(name string) {
	a := &testAgent{name: name, cluster: c, stopped: make(chan struct{})}
	a.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		c.mu.Lock()
		c.executions[r.Header.Get(HeaderKey)]++
		serve := c.serve
		c.mu.Unlock()
		if serve != nil {
			serve(name, w, r)
			return
		}
		fmt.Fprintf(w, "%s ran %s", name, text)
	}))
	a.gate = newGate(Options{
		Service:  "ordering",
		Server:   name,
		Backend:  netip.MustParseAddrPort(a.backend.Listener.Addr().String()),
		Siblings: func() []Sibling { return c.siblingsOf(name) },
	}, c.now)
	_, control := a.gate.Handler()
	a.control = httptest.NewServer(control)
	a.remoteControl = httptest.NewServer(control)
	a.frontend = httptest.NewServer(a.gate)
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	c.mu.Lock()
	c.agents[name] = a
	c.mu.Unlock()
	go func() {
		defer close(a.stopped)
		_ = a.gate.Run(ctx)
	}()
	a.gate.SetLimits(4, 100, 3*time.Second)
}

func (c *testCluster) siblingsOf(viewer string) []Sibling {
	c.mu.Lock()
	defer c.mu.Unlock()
	siblings := []Sibling{}
	for name, a := range c.agents {
		remote := inFirstPartition(name) != inFirstPartition(viewer)
		if name == viewer || remote && c.partitioned {
			continue
		}
		control := a.control
		if remote {
			control = a.remoteControl
		}
		state := limit.Warm
		if a.gate.draining.Load() && !c.hideDrain {
			state = limit.Draining
		}
		siblings = append(siblings, Sibling{
			Server:  name,
			Control: netip.MustParseAddrPort(control.Listener.Addr().String()),
			State:   state,
			Weight:  limit.FullWeight,
		})
	}
	return siblings
}

// partition interrupts the network between the two sides.
func (c *testCluster) partition() {
	c.mu.Lock()
	c.partitioned = true
	c.mu.Unlock()
	for _, a := range c.list() {
		_ = a.remoteControl.Listener.Close()
		a.remoteControl.CloseClientConnections()
	}
}

func (c *testCluster) killAll() {
	for _, a := range c.list() {
		a.kill()
	}
}

func (c *testCluster) agent(name string) *testAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[name]
}

// kill stops the agent without a drain and closes all its connections; its state is
// lost.
func (a *testAgent) kill() {
	a.once.Do(func() {
		a.cluster.mu.Lock()
		if a.cluster.agents[a.name] == a {
			delete(a.cluster.agents, a.name)
		}
		a.cluster.mu.Unlock()
		for _, s := range []*httptest.Server{a.control, a.remoteControl, a.frontend, a.backend} {
			_ = s.Listener.Close()
			s.CloseClientConnections()
		}
		a.stop()
		<-a.stopped
		for _, s := range []*httptest.Server{a.control, a.remoteControl, a.frontend, a.backend} {
			s.Close()
		}
	})
}

// shutdown stops the agent gracefully: the others list it as draining before it is
// removed.
func (a *testAgent) shutdown() {
	_ = a.gate.Drain(context.Background())
	for _, other := range a.cluster.list() {
		if other != a {
			other.gate.ledgerNode.Refresh()
		}
	}
	a.kill()
}

// key returns a new UUID of version 7 with the time of the cluster's clock.
func (c *testCluster) key() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.issued++
	millis := c.now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, c.issued)
}

func (c *testCluster) executionCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[key]
}

func (a *testAgent) post(body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, a.frontend.URL+"/orders", strings.NewReader(body))
	if err != nil {
		a.cluster.t.Error(err)
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func (r reply) guarantee() string {
	return fmt.Sprintf("%d %s %s %s", r.status, r.header.Get(HeaderError), r.header.Get(HeaderRun), r.header.Get(HeaderTry))
}

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

// fleet is a service of several agents, each with a fake backend server. Its
// agents share a clock that a test can advance.
type fleet struct {
	t      *testing.T
	offset atomic.Int64
	mu     sync.Mutex
	agents map[string]*agent
	// cut tells that agents on different sides neither see nor reach each other.
	cut bool
	// hideDrain lets agents be seen warm while they drain.
	hideDrain bool
	runs      map[string]int
	serve     func(agent string, w http.ResponseWriter, r *http.Request)
	issued    uint64
}

type agent struct {
	name    string
	fleet   *fleet
	gate    *Gate
	front   *httptest.Server
	control *httptest.Server
	far     *httptest.Server // the control address as seen from the other side
	backend *httptest.Server
	stop    context.CancelFunc
	stopped chan struct{}
	once    sync.Once
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		t:      t,
		agents: make(map[string]*agent),
		runs:   make(map[string]int),
	}
	t.Cleanup(f.killAll)
	for i := range size {
		f.add(fmt.Sprintf("s%d", i+1))
	}
	f.settle()
	return f
}

func (f *fleet) now() time.Time { return time.Now().Add(time.Duration(f.offset.Load())) }

func (f *fleet) advance(d time.Duration) { f.offset.Add(int64(d)) }

// settle waits until every agent counts the same members and lets the ledger
// settle. The time that it takes counts as a day in which no key was used.
func (f *fleet) settle() {
	f.t.Helper()
	f.meet()
	f.advance(24 * time.Hour)
	f.confirmed()
}

// meet waits until every agent counts all others.
func (f *fleet) meet() {
	f.t.Helper()
	all := f.list()
	for _, a := range all {
		waitFor(f.t, "the members are known", func() bool { return a.gate.keeper.Members() == len(all) })
	}
}

// confirmed waits until every agent has confirmed the members.
func (f *fleet) confirmed() {
	f.t.Helper()
	for _, a := range f.list() {
		waitFor(f.t, "the members are confirmed", a.gate.keeper.Confirmed)
	}
}

func (f *fleet) list() []*agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*agent, 0, len(f.agents))
	for _, a := range f.agents {
		all = append(all, a)
	}
	return all
}

// leftSide tells on which side of a possible cut an agent is.
func leftSide(name string) bool { return name == "s1" || name == "s2" }

func (f *fleet) add(name string) {
	a := &agent{name: name, fleet: f, stopped: make(chan struct{})}
	a.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.runs[r.Header.Get(HeaderKey)]++
		serve := f.serve
		f.mu.Unlock()
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
		Siblings: func() []Sibling { return f.view(name) },
	}, f.now)
	_, control := a.gate.Handler()
	a.control = httptest.NewServer(control)
	a.far = httptest.NewServer(control)
	a.front = httptest.NewServer(a.gate)
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	f.mu.Lock()
	f.agents[name] = a
	f.mu.Unlock()
	go func() {
		defer close(a.stopped)
		_ = a.gate.Run(ctx)
	}()
	a.gate.SetLimits(4, 100, 3*time.Second)
}

func (f *fleet) view(viewer string) []Sibling {
	f.mu.Lock()
	defer f.mu.Unlock()
	siblings := []Sibling{}
	for name, a := range f.agents {
		across := leftSide(name) != leftSide(viewer)
		if name == viewer || across && f.cut {
			continue
		}
		control := a.control
		if across {
			control = a.far
		}
		state := limit.Warm
		if a.gate.draining.Load() && !f.hideDrain {
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

// separate cuts the two sides off from each other.
func (f *fleet) separate() {
	f.mu.Lock()
	f.cut = true
	f.mu.Unlock()
	for _, a := range f.list() {
		_ = a.far.Listener.Close()
		a.far.CloseClientConnections()
	}
}

func (f *fleet) killAll() {
	for _, a := range f.list() {
		a.kill()
	}
}

func (f *fleet) agent(name string) *agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[name]
}

// kill ends the agent at once, with all connections and its memory.
func (a *agent) kill() {
	a.once.Do(func() {
		a.fleet.mu.Lock()
		if a.fleet.agents[a.name] == a {
			delete(a.fleet.agents, a.name)
		}
		a.fleet.mu.Unlock()
		for _, s := range []*httptest.Server{a.control, a.far, a.front, a.backend} {
			_ = s.Listener.Close()
			s.CloseClientConnections()
		}
		a.stop()
		<-a.stopped
		for _, s := range []*httptest.Server{a.control, a.far, a.front, a.backend} {
			s.Close()
		}
	})
}

// leave ends the agent by plan: it is seen draining before it goes.
func (a *agent) leave() {
	_ = a.gate.Drain(context.Background())
	for _, other := range a.fleet.list() {
		if other != a {
			other.gate.keeper.Refresh()
		}
	}
	a.kill()
}

// key returns a fresh UUID of version 7 by the clock of the fleet.
func (f *fleet) key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issued++
	millis := f.now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, f.issued)
}

func (f *fleet) ran(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func (a *agent) post(body string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, a.front.URL+"/orders", strings.NewReader(body))
	if err != nil {
		a.fleet.t.Error(err)
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

func (r reply) promise() string {
	return fmt.Sprintf("%d %s %s %s", r.status, r.header.Get(HeaderError), r.header.Get(HeaderRun), r.header.Get(HeaderTry))
}

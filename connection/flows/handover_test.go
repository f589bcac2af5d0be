package flows_test

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotbank/connection/flows"
	"bergamotbank/version/steering"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

const (
	modelAgents    = 8
	modelBalancers = 3
	modelCallers   = 40
)

// model is the naive version: one directory that knows the holder of each flow.
type model struct {
	t *rapid.T
	w *world
	// taken is the agent whose answer each caller took.
	taken map[int]int
	// established are the flows whose holder saw the acknowledgement.
	established map[int]bool
	moved       map[int]bool
	// out is the failure domain out; knows is what each agent knows of it.
	out        string
	knows      [modelAgents]string
	servers    []steering.Server
	lost, sent int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, w: newWorld(modelAgents, modelBalancers, flows.Options{}),
		taken: make(map[int]int), established: make(map[int]bool), moved: make(map[int]bool),
	}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loss"), 1))
	m.w.lose = func() bool { return random.Float64() < 0.2 }
	m.change()
	m.spreadAll()
	return m
}

// change draws the next true list of servers. A server that is not moved and
// holds flows drains instead of leaving.
func (m *model) change() {
	holders := make(map[int]bool)
	for _, agent := range m.taken {
		holders[agent] = true
	}
	m.servers = nil
	for i := range modelAgents {
		s := server(i)
		s.Weight = rapid.SampledFrom([]uint16{0, 10, 100, 100}).Draw(m.t, "weight")
		gone := !holders[i] && rapid.Bool().Draw(m.t, "gone")
		if !gone && !m.moved[i] {
			m.servers = append(m.servers, s)
		}
	}
}

func (m *model) spreadTo(process int) {
	if process < modelBalancers {
		var in []steering.Server
		for _, s := range m.servers {
			if s.Domain != m.out {
				in = append(in, s)
			}
		}
		m.w.steer(process, in)
		return
	}
	var out []string
	if m.out != "" {
		out = []string{m.out}
	}
	agent := process - modelBalancers
	m.w.agents[agent].SetServers(m.servers, out, m.w.now)
	m.knows[agent] = m.out
	m.w.agents[agent].SetSuspended(m.out == server(agent).Domain)
	if m.out == server(agent).Domain {
		m.giveUp(agent)
	}
}

func (m *model) spreadAll() {
	for process := range modelBalancers + modelAgents {
		m.spreadTo(process)
	}
}

func (m *model) giveUp(agent int) {
	for caller, holder := range m.taken {
		if holder == agent {
			delete(m.taken, caller)
			delete(m.established, caller)
		}
	}
}

func (m *model) balancer() int {
	return rapid.IntRange(0, modelBalancers-1).Draw(m.t, "balancer")
}

// open sends one SYN through several balancers; the caller takes one answer.
func (m *model) open() {
	caller := len(m.taken)
	for m.known(caller) {
		caller++
	}
	if caller >= modelCallers {
		return
	}
	var answers []int
	for range rapid.IntRange(1, 2).Draw(m.t, "copies") {
		o := m.w.send(m.balancer(), toService(caller, syn, 100, 0))
		m.checkPath(o, true)
		if o.delivered && m.w.answer(o.agent, caller).Verdict == flows.Deliver {
			answers = append(answers, o.agent)
		}
	}
	if len(answers) == 0 {
		return
	}
	m.taken[caller] = rapid.SampledFrom(answers).Draw(m.t, "answer")
	m.data(caller, m.balancer())
}

func (m *model) known(caller int) bool {
	_, ok := m.taken[caller]
	return ok
}

// data sends a segment and checks that only the holder gets it.
func (m *model) data(caller, balancer int) bool {
	holder := m.taken[caller]
	o := m.w.data(balancer, caller, holder)
	m.sent++
	m.checkPath(o, false)
	if !o.delivered {
		m.lost++
		return false
	}
	if o.agent != holder {
		m.t.Fatalf("caller %d: holder %d, delivered at %d", caller, holder, o.agent)
	}
	m.established[caller] = true
	return true
}

func (m *model) checkPath(o outcome, isSYN bool) {
	seen := make(map[int]bool)
	for hop, agent := range o.path {
		if hop > 0 && m.knows[o.path[hop-1]] == server(agent).Domain {
			m.t.Fatalf("passed into a failure domain that is out: %v", o.path)
		}
		// Only a draining agent may hand a new flow back, for the last time.
		if seen[agent] && (!isSYN || hop < len(o.path)-1) {
			m.t.Fatalf("agent visited twice: %v", o.path)
		}
		seen[agent] = true
	}
	if o.delivered && m.knows[o.agent] == server(o.agent).Domain {
		m.t.Fatalf("delivered in a failure domain that is out: %v", o.path)
	}
	if o.delivered && m.moved[o.agent] {
		m.t.Fatalf("agent %d of another service got a packet", o.agent)
	}
}

// anyCaller draws a caller with a flow.
func (m *model) anyCaller() (int, bool) {
	if len(m.taken) == 0 {
		return 0, false
	}
	caller := rapid.IntRange(0, modelCallers-1).Draw(m.t, "caller")
	for !m.known(caller) {
		caller = (caller + 1) % modelCallers
	}
	return caller, true
}

func (m *model) step() {
	switch rapid.IntRange(0, 11).Draw(m.t, "step") {
	case 0:
		m.change()
	case 1, 2, 3:
		m.spreadTo(rapid.IntRange(0, modelBalancers+modelAgents-1).Draw(m.t, "process"))
	case 4, 5, 6:
		m.open()
	case 7:
		m.w.pass(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "time")) * flows.TickInterval)
	case 8:
		if rapid.IntRange(0, 3).Draw(m.t, "move") == 0 {
			m.moveAgent(rapid.IntRange(0, modelAgents-1).Draw(m.t, "agent"))
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(m.t, "take out") == 0 {
			m.out = rapid.SampledFrom([]string{"", "junin", "pasco"}).Draw(m.t, "domain")
		}
	default:
		if caller, ok := m.anyCaller(); ok {
			m.data(caller, m.balancer())
		}
	}
}

// moveAgent gives a server to another service at the same address.
func (m *model) moveAgent(agent int) {
	m.w.agents[agent].SetService(netip.MustParseAddrPort("198.18.0.11:80"))
	m.moved[agent] = true
	m.giveUp(agent)
	for i := range m.servers {
		if m.servers[i].Addr == agentAddr(agent) {
			m.servers = append(m.servers[:i:i], m.servers[i+1:]...)
			return
		}
	}
}

// settle spreads the last view and waits until lost messages were repeated. A
// server that took flows through an old view still announces itself.
func (m *model) settle() {
	listed := make(map[netip.AddrPort]bool)
	for _, s := range m.servers {
		listed[s.Addr] = true
	}
	for _, holder := range m.taken {
		if !listed[agentAddr(holder)] {
			m.servers = append(m.servers, drained(holder))
			listed[agentAddr(holder)] = true
		}
	}
	m.spreadAll()
	m.w.lose = func() bool { return false }
	m.w.pass(flows.RefreshInterval + time.Second)
}

func TestHandOverMatchesDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
		}
		m.settle()
		for caller := range modelCallers {
			if !m.established[caller] {
				continue
			}
			for balancer := range modelBalancers {
				if m.w.balancers[balancer].Current().Len() > 0 && !m.data(caller, balancer) {
					t.Fatalf("flow of caller %d lost its holder %d", caller, m.taken[caller])
				}
			}
		}
	})
}

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

// model is the reference model: one directory of the holders of all flows.
type model struct {
	t       *rapid.T
	cluster *testCluster
	// holders maps each caller with a flow to the agent whose SYN-ACK it accepted.
	holders map[int]int
	// established holds the callers whose flow's holder received a segment.
	established map[int]bool
	// moved holds the agents whose server belongs to another service.
	moved map[int]bool
	// outDomain is the failure domain that is out of service, if any.
	outDomain string
	// knownOutDomain is the value of outDomain that each agent knows.
	knownOutDomain [modelAgents]string
	servers        []steering.Server
	lost, sent     int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, cluster: newTestCluster(modelAgents, modelBalancers, flows.Options{}),
		holders: make(map[int]int), established: make(map[int]bool), moved: make(map[int]bool),
	}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loss"), 1))
	m.cluster.dropMessage = func() bool { return random.Float64() < 0.2 }
	m.drawServers()
	m.updateAllProcesses()
	return m
}

// drawServers draws the next list of servers. A server that holds flows and was not
// moved is never absent; it can only drain.
func (m *model) drawServers() {
	holders := make(map[int]bool)
	for _, agent := range m.holders {
		holders[agent] = true
	}
	m.servers = nil
	for i := range modelAgents {
		s := server(i)
		s.Weight = rapid.SampledFrom([]uint16{0, 10, 100, 100}).Draw(m.t, "weight")
		absent := !holders[i] && rapid.Bool().Draw(m.t, "absent")
		if !absent && !m.moved[i] {
			m.servers = append(m.servers, s)
		}
	}
}

// updateProcess gives a balancer or an agent the current servers and the failure
// domain that is out of service.
func (m *model) updateProcess(process int) {
	if process < modelBalancers {
		var in []steering.Server
		for _, s := range m.servers {
			if s.Domain != m.outDomain {
				in = append(in, s)
			}
		}
		m.cluster.setBalancerServers(process, in)
		return
	}
	var out []string
	if m.outDomain != "" {
		out = []string{m.outDomain}
	}
	agent := process - modelBalancers
	m.cluster.agents[agent].SetServers(m.servers, out, m.cluster.now)
	m.knownOutDomain[agent] = m.outDomain
	m.cluster.agents[agent].SetSuspended(m.outDomain == server(agent).Domain)
	if m.outDomain == server(agent).Domain {
		m.deleteFlows(agent)
	}
}

func (m *model) updateAllProcesses() {
	for process := range modelBalancers + modelAgents {
		m.updateProcess(process)
	}
}

// deleteFlows deletes the flows that the agent holds.
func (m *model) deleteFlows(agent int) {
	for caller, holder := range m.holders {
		if holder == agent {
			delete(m.holders, caller)
			delete(m.established, caller)
		}
	}
}

// balancer draws a balancer.
func (m *model) balancer() int {
	return rapid.IntRange(0, modelBalancers-1).Draw(m.t, "balancer")
}

// openFlow sends one or two copies of a SYN through random balancers. The caller
// accepts one of the SYN-ACKs.
func (m *model) openFlow() {
	caller := len(m.holders)
	for m.hasFlow(caller) {
		caller++
	}
	if caller >= modelCallers {
		return
	}
	var answering []int
	for range rapid.IntRange(1, 2).Draw(m.t, "copies") {
		o := m.cluster.send(m.balancer(), toService(caller, syn, 100, 0))
		m.checkPath(o, true)
		if o.delivered && m.cluster.sendSYNACK(o.agent, caller).Verdict == flows.Deliver {
			answering = append(answering, o.agent)
		}
	}
	if len(answering) == 0 {
		return
	}
	m.holders[caller] = rapid.SampledFrom(answering).Draw(m.t, "holder")
	m.sendData(caller, m.balancer())
}

func (m *model) hasFlow(caller int) bool {
	_, ok := m.holders[caller]
	return ok
}

// sendData sends a segment, checks that no agent other than the holder delivers it,
// and reports whether the holder does.
func (m *model) sendData(caller, balancer int) bool {
	holder := m.holders[caller]
	o := m.cluster.sendData(balancer, caller, holder)
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

// checkPath checks that a segment neither loops nor reaches a failure domain or a
// service that it must not reach.
func (m *model) checkPath(o outcome, isSYN bool) {
	seen := make(map[int]bool)
	for hop, agent := range o.path {
		if hop > 0 && m.knownOutDomain[o.path[hop-1]] == server(agent).Domain {
			m.t.Fatalf("forwarded into a failure domain that is out of service: %v", o.path)
		}
		// Only a draining agent may send a new flow back, as the last hop.
		if seen[agent] && (!isSYN || hop < len(o.path)-1) {
			m.t.Fatalf("agent received a segment twice: %v", o.path)
		}
		seen[agent] = true
	}
	if o.delivered && m.knownOutDomain[o.agent] == server(o.agent).Domain {
		m.t.Fatalf("delivered in a failure domain that is out of service: %v", o.path)
	}
	if o.delivered && m.moved[o.agent] {
		m.t.Fatalf("agent %d of another service delivered a segment", o.agent)
	}
}

// anyCaller draws a caller with a flow.
func (m *model) anyCaller() (int, bool) {
	if len(m.holders) == 0 {
		return 0, false
	}
	caller := rapid.IntRange(0, modelCallers-1).Draw(m.t, "caller")
	for !m.hasFlow(caller) {
		caller = (caller + 1) % modelCallers
	}
	return caller, true
}

// step performs a random step.
func (m *model) step() {
	switch rapid.IntRange(0, 11).Draw(m.t, "step") {
	case 0:
		m.drawServers()
	case 1, 2, 3:
		m.updateProcess(rapid.IntRange(0, modelBalancers+modelAgents-1).Draw(m.t, "process"))
	case 4, 5, 6:
		m.openFlow()
	case 7:
		m.cluster.advance(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "time")) * flows.TickInterval)
	case 8:
		if rapid.IntRange(0, 3).Draw(m.t, "move") == 0 {
			m.moveAgent(rapid.IntRange(0, modelAgents-1).Draw(m.t, "agent"))
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(m.t, "out of service") == 0 {
			m.outDomain = rapid.SampledFrom([]string{"", "junin", "pasco"}).Draw(m.t, "domain")
		}
	default:
		if caller, ok := m.anyCaller(); ok {
			m.sendData(caller, m.balancer())
		}
	}
}

// moveAgent moves a server to another service, at the same address.
func (m *model) moveAgent(agent int) {
	m.cluster.agents[agent].SetService(netip.MustParseAddrPort("198.18.0.11:80"))
	m.moved[agent] = true
	m.deleteFlows(agent)
	for i := range m.servers {
		if m.servers[i].Addr == agentAddr(agent) {
			m.servers = append(m.servers[:i:i], m.servers[i+1:]...)
			return
		}
	}
}

// converge gives all processes the same view and waits until lost messages are sent
// again. The view includes the servers that hold flows, also those that accepted a
// flow because of an old view, since such a server still announces itself.
func (m *model) converge() {
	listed := make(map[netip.AddrPort]bool)
	for _, s := range m.servers {
		listed[s.Addr] = true
	}
	for _, holder := range m.holders {
		if !listed[agentAddr(holder)] {
			m.servers = append(m.servers, drainingServer(holder))
			listed[agentAddr(holder)] = true
		}
	}
	m.updateAllProcesses()
	m.cluster.dropMessage = func() bool { return false }
	m.cluster.advance(flows.RefreshInterval + time.Second)
}

// TestHandoverMatchesReferenceModel checks, over random sequences of changes, lost
// messages and views, that a segment of an established flow reaches the agent that
// holds the flow and no other.
func TestHandoverMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
		}
		m.converge()
		for caller := range modelCallers {
			if !m.established[caller] {
				continue
			}
			for balancer := range modelBalancers {
				if m.cluster.balancers[balancer].Current().Len() > 0 && !m.sendData(caller, balancer) {
					t.Fatalf("segment of caller %d did not reach its holder %d", caller, m.holders[caller])
				}
			}
		}
	})
}

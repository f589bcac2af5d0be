package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// datagramHeaders is the size of the IPv4 and UDP headers in bytes.
	datagramHeaders = 28
	// callHeaders is the number of bytes added per call for connection setup and
	// HTTP headers.
	callHeaders = 900
)

// fleet runs cores in virtual time over a simulated network with faults.
type fleet struct {
	now    time.Time
	queue  deliveries
	order  uint64
	random *rand.Rand
	timing Timing

	nodes     []*testNode
	agents    []*testAgent
	processes map[netip.AddrPort]*testProcess

	// measureBusy enables the measurement of the time that the balancers' cores are busy.
	measureBusy bool
	busy        time.Duration

	latency time.Duration
	// loss, duplication and reordering are fractions of the datagrams.
	loss, duplication, reordering float64
	// partitioned reports whether datagrams from one process to another are dropped.
	partitioned func(from, to *testProcess) bool
}

// testProcess is the part common to balancers and agents of the fleet.
type testProcess struct {
	name, domain string
	addr         netip.AddrPort
	bytes        int // in datagrams, sent and received
	callBytes    int // in calls, sent and received
	stopped      bool
	paused       bool
	backlog      []func()
	tick         func()
	handle       func(from netip.AddrPort, envelope *pb.Envelope)
	perform      func()
}

type testNode struct {
	*testProcess
	core   *nodeCore
	events []recordAction
}

type testAgent struct {
	*testProcess
	core *agentCore
}

type delivery struct {
	at    time.Time
	order uint64
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = delivery{}
	*d = (*d)[:len(*d)-1]
	return last
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:         time.Unix(1_800_000_000, 0),
		random:      rand.New(rand.NewPCG(seed, seed)),
		processes:   make(map[netip.AddrPort]*testProcess),
		latency:     3 * time.Millisecond,
		partitioned: func(_, _ *testProcess) bool { return false },
	}
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, delivery{at: f.now.Add(delay), order: f.order, run: run})
}

// run advances the virtual time.
func (f *fleet) run(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(delivery)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// runUntil advances the virtual time until the condition holds or the limit is
// reached. It returns the elapsed time and whether the condition holds.
func (f *fleet) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < limit {
		f.run(tickPeriod)
		if condition() {
			return f.now.Sub(start), true
		}
	}
	return limit, false
}

func (f *fleet) addr(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(index >> 16), byte(index >> 8), byte(index)}), 7000)
}

func (f *fleet) newProcess(name, domain string) *testProcess {
	p := &testProcess{name: name, domain: domain, addr: f.addr(len(f.processes) + 1)}
	f.processes[p.addr] = p
	return p
}

func (f *fleet) seeds(count int) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, n := range f.nodes[:min(count, len(f.nodes))] {
		seeds = append(seeds, n.addr)
	}
	return seeds
}

func (f *fleet) addNode(domain string) {
	n := &testNode{testProcess: f.newProcess(fmt.Sprintf("balancer-%04d", len(f.nodes)), domain)}
	f.startNode(n, f.seeds(3))
	f.nodes = append(f.nodes, n)
	f.startTicks(n.testProcess)
}

// startNode starts a balancer with a core without state.
func (f *fleet) startNode(n *testNode, seeds []netip.AddrPort) {
	self := Peer{Name: n.name, Domain: n.domain, Incarnation: uint64(f.now.UnixMilli()), Packet: n.addr, Control: n.addr}
	core := newNodeCore(self, seeds, f.timing, f.random, f.now)
	n.core = core
	n.tick = func() { f.measure(func() { core.tick(f.now) }) }
	n.handle = func(from netip.AddrPort, envelope *pb.Envelope) {
		f.measure(func() { core.handle(f.now, from, envelope) })
	}
	n.perform = func() { f.performNode(n) }
}

// measure adds the run time of a balancer's core to busy.
func (f *fleet) measure(run func()) {
	if !f.measureBusy {
		run()
		return
	}
	start := time.Now()
	run()
	f.busy += time.Since(start)
}

func (f *fleet) addAgent(service, domain string) {
	a := &testAgent{testProcess: f.newProcess(fmt.Sprintf("%s-%05d", service, len(f.agents)), domain)}
	self := Record{
		Server: a.name, Incarnation: uint64(f.now.UnixMilli()), Service: service, Domain: domain,
		Packet: a.addr, Control: a.addr, State: Warm, Weight: 100,
	}
	f.startAgent(a, self)
	f.agents = append(f.agents, a)
	f.startTicks(a.testProcess)
}

func (f *fleet) startAgent(a *testAgent, self Record) {
	core := newAgentCore(self, f.seeds(8), f.timing, f.random, f.now)
	a.core = core
	a.tick = func() { core.tick(f.now) }
	a.handle = func(from netip.AddrPort, envelope *pb.Envelope) { core.handle(f.now, from, envelope) }
	a.perform = func() { f.performAgent(a) }
}

// startTicks ticks a process periodically, starting at a random phase.
func (f *fleet) startTicks(p *testProcess) {
	var step func()
	step = func() {
		if !p.stopped && !p.paused {
			p.tick()
			p.perform()
		}
		f.after(tickPeriod, step)
	}
	f.after(time.Duration(f.random.Int64N(int64(tickPeriod))), step)
}

// pause suspends a process like SIGSTOP; its socket buffers what arrives.
func (f *fleet) pause(p *testProcess) { p.paused = true }

func (f *fleet) resume(p *testProcess) {
	p.paused = false
	for _, run := range p.backlog {
		run()
	}
	p.backlog = nil
}

func (f *fleet) performNode(n *testNode) {
	for _, a := range n.core.takeActions() {
		switch a := a.(type) {
		case sendAction:
			f.send(n.testProcess, a)
		case recordAction:
			n.events = append(n.events, a)
		case pullAction:
			f.pull(n, a.from)
		}
	}
}

func (f *fleet) performAgent(a *testAgent) {
	for _, act := range a.core.takeActions() {
		switch act := act.(type) {
		case sendAction:
			f.send(a.testProcess, act)
		case fetchAction:
			f.fetch(a, act)
		}
	}
}

// send delivers a datagram, subject to the faults of the network.
func (f *fleet) send(from *testProcess, a sendAction) {
	size := proto.Size(a.envelope) + datagramHeaders
	from.bytes += size
	to, ok := f.processes[a.to]
	if !ok || f.partitioned(from, to) || f.random.Float64() < f.loss {
		return
	}
	copies := 1
	if f.random.Float64() < f.duplication {
		copies = 2
	}
	for range copies {
		delay := f.latency
		if f.random.Float64() < f.reordering {
			delay += time.Duration(f.random.Int64N(int64(2 * time.Second)))
		}
		f.after(delay, func() { f.deliver(from, to, size, a.envelope) })
	}
}

func (f *fleet) deliver(from, to *testProcess, size int, envelope *pb.Envelope) {
	if to.stopped {
		return
	}
	to.bytes += size
	run := func() {
		to.handle(from.addr, envelope)
		to.perform()
	}
	if to.paused {
		to.backlog = append(to.backlog, run)
		return
	}
	run()
}

// reachable reports whether a call and its response are delivered.
func (f *fleet) reachable(a, b *testProcess) bool {
	return b != nil && !b.stopped && !b.paused && !f.partitioned(a, b) && !f.partitioned(b, a)
}

func (f *fleet) nodeAt(addr netip.AddrPort) *testNode {
	for _, n := range f.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// pull transfers the whole state of one balancer to another one.
func (f *fleet) pull(n *testNode, from netip.AddrPort) {
	source := f.nodeAt(from)
	core := n.core
	f.after(4*f.latency, func() {
		if source == nil || !f.reachable(n.testProcess, source.testProcess) {
			core.pullDone(f.now, from, false, fmt.Errorf("unreachable"))
			return
		}
		cursor := ""
		for {
			page := source.core.page(cursor)
			size := proto.Size(page) + callHeaders
			n.callBytes += size
			source.callBytes += size
			core.mergePage(f.now, page)
			cursor = page.Next
			if cursor == "" {
				source.core.mergeIntroduction(f.now, peerToWire(core.self, statusAlive))
				core.pullDone(f.now, from, page.Ready, nil)
				return
			}
		}
	})
}

// fetch transfers the view of its services to an agent.
func (f *fleet) fetch(a *testAgent, fetch fetchAction) {
	core := a.core
	source := f.nodeAt(fetch.from)
	f.after(4*f.latency, func() {
		if source == nil || !f.reachable(a.testProcess, source.testProcess) {
			core.fetchDone(f.now, nil, fmt.Errorf("unreachable"))
			return
		}
		request := &pb.FetchViewRequest{Services: fetch.services, Buckets: fetch.buckets}
		response := fetchViewResponse(source.core.currentView, source.core.join.ready, request)
		size := proto.Size(request) + proto.Size(response) + callHeaders
		a.callBytes += size
		source.callBytes += size
		core.fetchDone(f.now, response, nil)
	})
}

// converged reports whether all running balancers are ready and their views hold
// exactly the running agents and each other.
func (f *fleet) converged() bool {
	nodes, agents := f.running()
	for _, n := range nodes {
		view := n.core.currentView
		if !n.core.join.ready || len(view.Peers) != len(nodes)-1 || !viewMatches(view, agents) {
			return false
		}
	}
	return true
}

func viewMatches(view View, agents []*testAgent) bool {
	if len(view.Servers) != len(agents) {
		return false
	}
	known := make(map[string]Record, len(view.Servers))
	for _, r := range view.Servers {
		known[r.Server] = r
	}
	for _, a := range agents {
		if known[a.name] != a.core.self {
			return false
		}
	}
	return true
}

func (f *fleet) running() (nodes []*testNode, agents []*testAgent) {
	for _, n := range f.nodes {
		if !n.stopped {
			nodes = append(nodes, n)
		}
	}
	for _, a := range f.agents {
		if !a.stopped {
			agents = append(agents, a)
		}
	}
	return nodes, agents
}

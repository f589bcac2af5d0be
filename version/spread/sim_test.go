package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// Delays of the simulation: one-way network delays, and the interval between two
// polls of a watch.
const (
	sameDomainDelay = 250 * time.Microsecond
	storeDelay      = time.Millisecond
	watchInterval   = 2 * time.Second
)

// timer is a pending step of the simulation.
type timer struct {
	at  time.Time
	seq int
	run func()
}

// timers is a heap of pending steps.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// simulation runs machines over a network and a store in virtual time.
type simulation struct {
	now              time.Time
	pending          timers
	nextSeq          int
	random           *rand.Rand
	crossDomainDelay time.Duration
	processes        []*simProcess
	byName           map[string]*simProcess
	// peerList is the cached result of peers.
	peerList []Peer
	// leaves holds the leaves of each home balancer, by its name.
	leaves map[string][]*simProcess

	storeDelay time.Duration
	storeUp    bool
	stored     publish.Version
	// failingReads is the number of the next reads of sections that fail.
	failingReads int
	storeCalls   int
	messages     int
}

// simProcess is a process of a simulation.
type simProcess struct {
	sim         *simulation
	machine     *machine
	peer        Peer
	incarnation int
	// partitioned is true while the process reaches neither the store nor any peer,
	// storePartitioned while it does not reach the store.
	partitioned      bool
	storePartitioned bool
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
	watching    bool
	// seen is the latest version reported by the watch.
	seen    uint64
	contact time.Time
	// homes holds the names of the home balancers of a leaf; nil for other processes.
	homes []string
	// events holds the recorded events.
	events []event.Event
	// activatedAt is the time at which the latest version became active.
	activatedAt time.Time
	// applied holds the versions applied in this incarnation.
	applied []uint64
	// learned is the reference model: all versions learned in this incarnation.
	learned []uint64
}

func newSimulation(seed uint64, domains, each int, crossDomainDelay time.Duration) *simulation {
	m := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), crossDomainDelay: crossDomainDelay, storeUp: true,
		storeDelay: storeDelay, byName: make(map[string]*simProcess), leaves: make(map[string][]*simProcess),
	}
	for d := range domains {
		for i := range each {
			p := &simProcess{sim: m, peer: Peer{Name: fmt.Sprintf("b-%d-%d", d, i), Domain: fmt.Sprintf("d-%d", d)}}
			m.processes = append(m.processes, p)
			m.byName[p.peer.Name] = p
		}
	}
	for _, p := range m.processes {
		p.restart()
	}
	return m
}

// addLeaves adds leaves with two home balancers each.
func (m *simulation) addLeaves(count int) {
	homes := m.peers()
	for i := range count {
		first, second := homes[i%len(homes)], homes[(i+1)%len(homes)]
		leaf := &simProcess{
			sim: m, peer: Peer{Name: fmt.Sprintf("s-%d", i), Domain: first.Domain}, homes: []string{first.Name, second.Name},
		}
		m.processes = append(m.processes, leaf)
		m.byName[leaf.peer.Name] = leaf
		for _, home := range leaf.homes {
			m.leaves[home] = append(m.leaves[home], leaf)
		}
		leaf.restart()
	}
}

func (m *simulation) schedule(d time.Duration, run func()) {
	m.nextSeq++
	heap.Push(&m.pending, timer{at: m.now.Add(d), seq: m.nextSeq, run: run})
}

// advance runs the simulation for d.
func (m *simulation) advance(d time.Duration) {
	end := m.now.Add(d)
	for len(m.pending) > 0 && !m.pending[0].at.After(end) {
		next := heap.Pop(&m.pending).(timer)
		m.now = next.at
		next.run()
	}
	m.now = end
}

// publish publishes the next version in the store.
func (m *simulation) publish() publish.Version {
	m.stored = publish.Version{Root: publish.Root{Version: m.stored.Root.Version + 1, Operation: "op"}}
	for _, p := range m.processes {
		if p.watching {
			p.schedule(m.storeDelay, p.poll)
		}
	}
	return m.stored
}

func (m *simulation) find(name string) *simProcess {
	return m.byName[name]
}

func (m *simulation) peers() []Peer {
	if m.peerList != nil {
		return m.peerList
	}
	for _, p := range m.processes {
		if p.homes == nil {
			m.peerList = append(m.peerList, p.peer)
		}
	}
	return m.peerList
}

// activeCount returns the number of processes in which a version is active.
func (m *simulation) activeCount(version uint64) int {
	count := 0
	for _, p := range m.processes {
		if len(p.applied) > 0 && p.applied[len(p.applied)-1] == version {
			count++
		}
	}
	return count
}

// restart begins a new incarnation with empty state.
func (p *simProcess) restart() {
	p.incarnation++
	p.watching = false
	p.contact = time.Time{}
	p.seen = 0
	p.applied = nil
	p.learned = nil
	p.machine = newMachine(machineOptions{self: p.peer, leaf: p.homes != nil, random: rand.New(rand.NewPCG(p.sim.random.Uint64(), 3))})
	p.schedule(time.Duration(p.sim.random.Int64N(int64(DefaultTick))), p.tick)
}

// schedule runs a step after a delay unless the process has restarted by then. A
// paused process runs it when it resumes.
func (p *simProcess) schedule(d time.Duration, run func()) {
	incarnation := p.incarnation
	p.sim.schedule(d, func() {
		switch {
		case p.incarnation != incarnation:
		case p.sim.now.Before(p.pausedUntil):
			p.schedule(p.pausedUntil.Sub(p.sim.now), run)
		default:
			run()
		}
	})
}

func (p *simProcess) tick() {
	p.perform(p.machine.tick(p.sim.now, p.peers(), p.contact))
	p.schedule(DefaultTick, p.tick)
}

func (p *simProcess) peers() []Peer {
	if p.homes == nil {
		return p.sim.peers()
	}
	var homes []Peer
	for _, name := range p.homes {
		homes = append(homes, p.sim.find(name).peer)
	}
	return homes
}

func (p *simProcess) learn(v publish.Version, accepted bool) {
	p.learned = append(p.learned, v.Root.Version)
	p.perform(p.machine.handleVersion(p.sim.now, v, accepted))
}

func (p *simProcess) perform(actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actQueryPeer:
			p.query(p.sim.find(a.peer.Name))
		case actNotifyPeer:
			p.notify(p.sim.find(a.peer.Name), a.version.Root.Version)
		case actNotifyLeaves:
			for _, leaf := range p.sim.leaves[p.peer.Name] {
				p.notify(leaf, a.version.Root.Version)
			}
		case actReadStore:
			p.schedule(p.sim.storeDelay, p.readStore)
		case actStartWatch:
			p.watching = true
			p.watch()
		case actStopWatch:
			p.watching = false
		case actApply:
			p.apply(a.version.Root.Version)
		case actRecord:
			p.events = append(p.events, a.event)
		default:
		}
	}
}

func (p *simProcess) apply(version uint64) {
	if len(p.applied) > 0 && p.applied[len(p.applied)-1] >= version {
		return
	}
	p.applied = append(p.applied, version)
	p.activatedAt = p.sim.now
	p.perform(p.machine.handleApplied(p.sim.now))
}

func (p *simProcess) delay(other *simProcess) time.Duration {
	if p.peer.Domain == other.peer.Domain {
		return sameDomainDelay
	}
	return p.sim.crossDomainDelay + time.Duration(p.sim.random.Int64N(int64(p.sim.crossDomainDelay)/2))
}

func (p *simProcess) reaches(other *simProcess) bool {
	return !p.partitioned && !other.partitioned
}

func (p *simProcess) notify(other *simProcess, version uint64) {
	p.sim.messages++
	from := p.peer
	other.schedule(p.delay(other), func() {
		if p.reaches(other) {
			other.perform(other.machine.handlePeerVersion(other.sim.now, from, version))
		}
	})
}

// query queries another process, and fetches the sections of a newer version in a
// second round trip.
func (p *simProcess) query(other *simProcess) {
	p.sim.messages += 2
	localVersion := p.machine.version()
	if !p.reaches(other) {
		p.schedule(askTimeout, func() { p.perform(p.machine.handleQueryFailure(p.sim.now, other.peer)) })
		return
	}
	delay := p.delay(other)
	p.schedule(delay, func() {
		other.perform(other.machine.handlePeerVersion(p.sim.now, p.peer, localVersion))
		state := other.machine.status(p.sim.now)
		peerCurrent := other.machine.current
		response := peerStatus{version: state.version, synchronized: state.synchronized, storeContact: state.storeContact}
		responseDelay := delay
		if peerCurrent.Root.Version > localVersion {
			responseDelay += 2 * delay
			p.sim.messages += 2
		}
		p.schedule(responseDelay, func() {
			if peerCurrent.Root.Version > localVersion {
				p.learn(peerCurrent, false)
			}
			p.perform(p.machine.handleResponse(p.sim.now, other.peer, response))
		})
	})
}

func (p *simProcess) callStore() bool {
	p.sim.storeCalls++
	if !p.sim.storeUp || p.partitioned || p.storePartitioned {
		p.perform(p.machine.handleStoreFailure(p.sim.now))
		return false
	}
	p.contact = p.sim.now
	return true
}

func (p *simProcess) readStore() {
	if p.callStore() {
		p.handleStored()
	}
}

// handleStored reads the changed sections if the stored version is newer.
func (p *simProcess) handleStored() {
	stored := p.sim.stored
	if stored.Root.Version > p.machine.version() {
		p.sim.storeCalls++
		if p.sim.failingReads > 0 {
			p.sim.failingReads--
			p.perform(p.machine.handleStoreFailure(p.sim.now))
			return
		}
		p.learn(stored, true)
	}
	p.perform(p.machine.handleStoreRead(p.sim.now, stored.Root.Version))
}

// poll simulates one call of the watch, which reports only changes.
func (p *simProcess) poll() {
	if !p.watching || !p.callStore() {
		return
	}
	if p.sim.stored.Root.Version != p.seen || p.seen == 0 {
		p.seen = p.sim.stored.Root.Version
		p.handleStored()
	}
}

// watch polls the store periodically while the process watches it.
func (p *simProcess) watch() {
	if !p.watching {
		return
	}
	p.poll()
	p.schedule(watchInterval, p.watch)
}

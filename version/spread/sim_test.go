package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// Delays of the model, one way.
const (
	nearDelay    = 250 * time.Microsecond
	storeDelay   = time.Millisecond
	watchRefresh = 2 * time.Second
)

// timer is a pending step of the model.
type timer struct {
	at    time.Time
	order int
	run   func()
}

// timers is a heap of pending steps.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// model runs machines over a network and a store in virtual time.
type model struct {
	now       time.Time
	pending   timers
	order     int
	random    *rand.Rand
	farDelay  time.Duration
	processes []*modelProcess
	byName    map[string]*modelProcess
	// known are all processes but the leaves.
	known []Peer
	// leaves are the leaves by the name of their homes.
	leaves map[string][]*modelProcess

	storeDelay time.Duration
	storeUp    bool
	stored     publish.Version
	// failReads is the number of reads of sections that fail next.
	failReads  int
	storeCalls int
	messages   int
}

// modelProcess is one process of a model.
type modelProcess struct {
	model   *model
	machine *machine
	peer    Peer
	life    int
	// cut is true while no peer and no store reach the process, storeCut while
	// the store alone does not.
	cut      bool
	storeCut bool
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
	watching    bool
	// seen is the latest version that the watch has told about.
	seen    uint64
	contact time.Time
	// homes are the names of the processes that a leaf asks; nil for others.
	homes []string
	// events are the events recorded.
	events []event.Event
	// at is the time at which the latest version came into force.
	at time.Time
	// applied are the versions put in force in this life.
	applied []uint64
	// learned is the naive version: all versions that were ever learned.
	learned []uint64
}

func newModel(seed uint64, domains, each int, far time.Duration) *model {
	m := &model{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), farDelay: far, storeUp: true,
		storeDelay: storeDelay, byName: make(map[string]*modelProcess), leaves: make(map[string][]*modelProcess),
	}
	for d := range domains {
		for i := range each {
			p := &modelProcess{model: m, peer: Peer{Name: fmt.Sprintf("b-%d-%d", d, i), Domain: fmt.Sprintf("d-%d", d)}}
			m.processes = append(m.processes, p)
			m.byName[p.peer.Name] = p
		}
	}
	for _, p := range m.processes {
		p.restart()
	}
	return m
}

// addLeaves adds leaves with two homes each.
func (m *model) addLeaves(count int) {
	homes := m.peers()
	for i := range count {
		first, second := homes[i%len(homes)], homes[(i+1)%len(homes)]
		leaf := &modelProcess{
			model: m, peer: Peer{Name: fmt.Sprintf("s-%d", i), Domain: first.Domain}, homes: []string{first.Name, second.Name},
		}
		m.processes = append(m.processes, leaf)
		m.byName[leaf.peer.Name] = leaf
		for _, home := range leaf.homes {
			m.leaves[home] = append(m.leaves[home], leaf)
		}
		leaf.restart()
	}
}

func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.pending, timer{at: m.now.Add(d), order: m.order, run: run})
}

// advance runs the model for a time.
func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for len(m.pending) > 0 && !m.pending[0].at.After(end) {
		next := heap.Pop(&m.pending).(timer)
		m.now = next.at
		next.run()
	}
	m.now = end
}

// publish makes the next version in the store.
func (m *model) publish() publish.Version {
	m.stored = publish.Version{Root: publish.Root{Version: m.stored.Root.Version + 1, Operation: "op"}}
	for _, p := range m.processes {
		if p.watching {
			p.onLife(m.storeDelay, p.poll)
		}
	}
	return m.stored
}

func (m *model) find(name string) *modelProcess {
	return m.byName[name]
}

func (m *model) peers() []Peer {
	if m.known != nil {
		return m.known
	}
	for _, p := range m.processes {
		if p.homes == nil {
			m.known = append(m.known, p.peer)
		}
	}
	return m.known
}

// inForce returns the number of processes that have put a version in force.
func (m *model) inForce(version uint64) int {
	count := 0
	for _, p := range m.processes {
		if len(p.applied) > 0 && p.applied[len(p.applied)-1] == version {
			count++
		}
	}
	return count
}

// restart begins a new life with empty memory.
func (p *modelProcess) restart() {
	p.life++
	p.watching = false
	p.contact = time.Time{}
	p.seen = 0
	p.applied = nil
	p.learned = nil
	p.machine = newMachine(machineOptions{self: p.peer, leaf: p.homes != nil, random: rand.New(rand.NewPCG(p.model.random.Uint64(), 3))})
	p.onLife(time.Duration(p.model.random.Int64N(int64(DefaultTick))), p.tick)
}

// onLife runs a step later unless the process has restarted meanwhile; a paused
// process runs it when it resumes.
func (p *modelProcess) onLife(d time.Duration, run func()) {
	life := p.life
	p.model.after(d, func() {
		switch {
		case p.life != life:
		case p.model.now.Before(p.pausedUntil):
			p.onLife(p.pausedUntil.Sub(p.model.now), run)
		default:
			run()
		}
	})
}

func (p *modelProcess) tick() {
	p.perform(p.machine.tick(p.model.now, p.peers(), p.contact))
	p.onLife(DefaultTick, p.tick)
}

func (p *modelProcess) peers() []Peer {
	if p.homes == nil {
		return p.model.peers()
	}
	var homes []Peer
	for _, name := range p.homes {
		homes = append(homes, p.model.find(name).peer)
	}
	return homes
}

func (p *modelProcess) learn(v publish.Version, accepted bool) {
	p.learned = append(p.learned, v.Root.Version)
	p.perform(p.machine.learned(p.model.now, v, accepted))
}

func (p *modelProcess) perform(actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actAsk:
			p.ask(p.model.find(a.peer.Name))
		case actNotify:
			p.notify(p.model.find(a.peer.Name), a.version.Root.Version)
		case actNotifyLeaves:
			for _, leaf := range p.model.leaves[p.peer.Name] {
				p.notify(leaf, a.version.Root.Version)
			}
		case actReadStore:
			p.onLife(p.model.storeDelay, p.readStore)
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

func (p *modelProcess) apply(version uint64) {
	if len(p.applied) > 0 && p.applied[len(p.applied)-1] >= version {
		return
	}
	p.applied = append(p.applied, version)
	p.at = p.model.now
	p.perform(p.machine.applied(p.model.now))
}

func (p *modelProcess) delay(other *modelProcess) time.Duration {
	if p.peer.Domain == other.peer.Domain {
		return nearDelay
	}
	return p.model.farDelay + time.Duration(p.model.random.Int64N(int64(p.model.farDelay)/2))
}

func (p *modelProcess) reaches(other *modelProcess) bool {
	return !p.cut && !other.cut
}

func (p *modelProcess) notify(other *modelProcess, version uint64) {
	p.model.messages++
	from := p.peer
	other.onLife(p.delay(other), func() {
		if p.reaches(other) {
			other.perform(other.machine.hinted(other.model.now, from, version))
		}
	})
}

// ask asks, and fetches the sections of a newer version in a second exchange.
func (p *modelProcess) ask(other *modelProcess) {
	p.model.messages += 2
	asked := p.machine.version()
	if !p.reaches(other) {
		p.onLife(askTimeout, func() { p.perform(p.machine.failed(p.model.now, other.peer)) })
		return
	}
	delay := p.delay(other)
	p.onLife(delay, func() {
		other.perform(other.machine.hinted(p.model.now, p.peer, asked))
		state := other.machine.status(p.model.now)
		held := other.machine.current
		answer := summary{version: state.version, synchronized: state.synchronized, storeContact: state.storeContact}
		back := delay
		if held.Root.Version > asked {
			back += 2 * delay
			p.model.messages += 2
		}
		p.onLife(back, func() {
			if held.Root.Version > asked {
				p.learn(held, false)
			}
			p.perform(p.machine.answered(p.model.now, other.peer, answer))
		})
	})
}

func (p *modelProcess) storeAnswers() bool {
	p.model.storeCalls++
	if !p.model.storeUp || p.cut || p.storeCut {
		p.perform(p.machine.storeFailed(p.model.now))
		return false
	}
	p.contact = p.model.now
	return true
}

func (p *modelProcess) readStore() {
	if p.storeAnswers() {
		p.takeStored()
	}
}

// takeStored reads the sections that changed.
func (p *modelProcess) takeStored() {
	stored := p.model.stored
	if stored.Root.Version > p.machine.version() {
		p.model.storeCalls++
		if p.model.failReads > 0 {
			p.model.failReads--
			p.perform(p.machine.storeFailed(p.model.now))
			return
		}
		p.learn(stored, true)
	}
	p.perform(p.machine.storeRead(p.model.now, stored.Root.Version))
}

// poll is one answered call of the watch; only a change is told.
func (p *modelProcess) poll() {
	if !p.watching || !p.storeAnswers() {
		return
	}
	if p.model.stored.Root.Version != p.seen || p.seen == 0 {
		p.seen = p.model.stored.Root.Version
		p.takeStored()
	}
}

// watch polls again and again.
func (p *modelProcess) watch() {
	if !p.watching {
		return
	}
	p.poll()
	p.onLife(watchRefresh, p.watch)
}

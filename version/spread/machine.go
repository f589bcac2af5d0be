package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// Times of the regular work.
const (
	// askInterval is the mean time between two regular questions to a peer.
	askInterval = time.Second
	// leafAskInterval is the same for a leaf, which also hears its homes'
	// notices and heartbeats.
	leafAskInterval = 2 * time.Second
	// peersPatience is the time that a starting process waits for peers.
	peersPatience = time.Second
	// pausePatience is the time between two rounds of regular work after which
	// a process takes itself for paused and starts over.
	pausePatience = 3 * time.Second
	// startPatience is the time that a starting process waits for the answers of
	// its first questions.
	startPatience = 2 * time.Second
	// storePatience is the age of the latest known contact with the store after
	// which processes that do not watch it read it themselves.
	storePatience = 10 * time.Second
	// storeRetry is the pause after a failed read of the store.
	storeRetry = time.Second
	// isolationPatience is the time without store and peers after which a
	// process says so.
	isolationPatience = 10 * time.Second
)

// Sizes of the regular work.
const (
	// startQuestions is the number of peers that a starting process asks.
	startQuestions = 5
	// smallFleet is the number of peers up to which every starting process
	// reads the store.
	smallFleet = 32
	// fallbackReadsPerSecond bounds the reads of the store by all processes
	// that do not watch it.
	fallbackReadsPerSecond = 20
	// openQuestions is the largest number of questions under way.
	openQuestions = 8
)

// actionKind is one entry of the closed list of kinds of action.
type actionKind uint8

const (
	// actAsk asks a peer for its version and fetches a newer one.
	actAsk actionKind = iota
	// actReadStore reads the store once.
	actReadStore
	// actStartWatch watches the store from now on.
	actStartWatch
	// actStopWatch stops watching.
	actStopWatch
	// actNotify tells a peer about the current version.
	actNotify
	// actNotifyLeaves tells all leaves about the current version.
	actNotifyLeaves
	// actApply puts a version in force.
	actApply
	// actRecord records an event.
	actRecord
)

// action is something to do; the fields that a kind does not need are empty.
type action struct {
	kind    actionKind
	peer    Peer
	version publish.Version
	event   event.Event
}

// machineOptions configures a machine.
type machineOptions struct {
	self   Peer
	leaf   bool
	random *rand.Rand
}

// machine decides what a process does to learn and pass on versions. Its
// methods take events and return actions; it is not safe for concurrent use.
type machine struct {
	self   Peer
	leaf   bool
	random *rand.Rand

	// near are the peers of the own failure domain, far the others.
	near    []Peer
	far     []Peer
	started time.Time
	// ticked is the time of the latest regular work.
	ticked time.Time
	// askedAt is the time of the first questions, zero before.
	askedAt  time.Time
	watching bool
	// current is the highest version learned.
	current publish.Version
	// synchronized is true once the store, or a synchronized peer, was heard.
	synchronized bool
	// firstOpen holds the peers whose answer to a first question is awaited.
	firstOpen map[string]bool
	// firstStore is true while the first answer of the store is awaited.
	firstStore bool
	// storeHeard is true once the store has answered.
	storeHeard bool
	// storeBehind is true while a failed read of the store is to be repeated.
	storeBehind bool
	// open holds the names of the peers with a question under way.
	open map[string]bool
	// untold holds the names of the homes that a leaf has yet to tell about the
	// version in force.
	untold map[string]bool
	// fetching is the hint being followed, waiting the best one after it.
	fetching hint
	waiting  hint

	nextAsk       time.Time
	nextStoreRead time.Time
	storeContact  time.Time
	peerContact   time.Time
	isolated      bool
	rejected      rejection
}

// hint is the news that a peer holds a version; the zero hint stands for none.
type hint struct {
	peer    Peer
	version uint64
}

// rejection is the latest version refused.
type rejection struct {
	version uint64
	reason  string
}

func newMachine(o machineOptions) *machine {
	return &machine{
		self:      o.self,
		leaf:      o.leaf,
		random:    o.random,
		firstOpen: make(map[string]bool),
		open:      make(map[string]bool),
		untold:    make(map[string]bool),
	}
}

// tick does the regular work. contact is the time of the last answer of the
// store to this process.
func (m *machine) tick(now time.Time, peers []Peer, contact time.Time) []action {
	if m.ticked.IsZero() || now.Sub(m.ticked) > pausePatience {
		m.begin(now)
	}
	m.ticked = now
	m.know(peers)
	m.heardStore(contact)
	var actions []action
	actions = append(actions, m.electWatcher()...)
	actions = append(actions, m.start(now)...)
	actions = append(actions, m.askRegularly(now)...)
	actions = append(actions, m.readStoreRegularly(now)...)
	actions = append(actions, m.noteIsolation(now)...)
	return actions
}

// begin starts the process, and starts it over after a pause, in which it may
// have missed versions: it keeps its version, but is not ready until it has
// asked again.
func (m *machine) begin(now time.Time) {
	m.started = now
	m.peerContact = now
	m.askedAt = time.Time{}
	m.synchronized = false
	m.storeHeard = false
	clear(m.firstOpen)
	clear(m.open)
	m.fetching = hint{}
	m.waiting = hint{}
}

func (m *machine) heardStore(contact time.Time) {
	if contact.After(m.storeContact) {
		m.storeContact = contact
	}
}

// electWatcher starts or stops watching as the peers come and go.
func (m *machine) electWatcher() []action {
	if m.leaf || m.alone(m.ticked) {
		return nil
	}
	chosen := isWatcher(m.self, m.near)
	if chosen == m.watching {
		return nil
	}
	m.watching = chosen
	if chosen {
		return []action{{kind: actStartWatch}}
	}
	return []action{{kind: actStopWatch}}
}

// start asks several peers, and the store, once peers are known or patience
// has run out.
func (m *machine) start(now time.Time) []action {
	if m.asked() {
		return m.endStart(now)
	}
	if m.alone(now) {
		return nil
	}
	m.askedAt = now
	var actions []action
	for _, p := range m.choose(startQuestions, startQuestions/2) {
		m.firstOpen[p.Name] = true
		actions = append(actions, m.ask(p)...)
	}
	m.nextAsk = now.Add(m.jitter(askInterval))
	m.nextStoreRead = now.Add(m.storePause())
	actions = append(actions, m.startStore()...)
	return append(actions, m.release()...)
}

// alone tells whether a starting process still waits to get to know peers. Until
// then it must not take itself for a watcher: all processes of a fleet that is
// restarted would.
func (m *machine) alone(now time.Time) bool {
	return m.peerCount() == 0 && now.Sub(m.started) < peersPatience
}

// startStore awaits the first answer of the store: a watcher gets it from its
// watch, others read once unless the fleet is large.
func (m *machine) startStore() []action {
	if m.leaf || m.storeHeard {
		return nil
	}
	if m.watching {
		m.firstStore = true
		return nil
	}
	if m.peerCount() > smallFleet {
		return nil
	}
	m.firstStore = true
	return []action{{kind: actReadStore}}
}

// endStart gives up waiting for first answers when patience has run out.
func (m *machine) endStart(now time.Time) []action {
	if !m.starting() || now.Sub(m.askedAt) < startPatience {
		return nil
	}
	clear(m.firstOpen)
	m.firstStore = false
	return m.release()
}

func (m *machine) asked() bool {
	return !m.askedAt.IsZero()
}

// ask asks a peer unless it is being asked or too many questions are open.
func (m *machine) ask(p Peer) []action {
	if m.open[p.Name] || len(m.open) >= openQuestions {
		return nil
	}
	m.open[p.Name] = true
	return []action{{kind: actAsk, peer: p}}
}

func (m *machine) askRegularly(now time.Time) []action {
	if !m.asked() || now.Before(m.nextAsk) || m.peerCount() == 0 {
		return nil
	}
	interval := askInterval
	if m.leaf {
		interval = leafAskInterval
	}
	m.nextAsk = now.Add(m.jitter(interval))
	return m.ask(m.chooseOne())
}

// readStoreRegularly reads the store when a read has failed, when this process
// does not know yet what is current, and when nobody it knows of has heard from
// the store lately.
func (m *machine) readStoreRegularly(now time.Time) []action {
	if m.leaf || !m.asked() || now.Before(m.nextStoreRead) {
		return nil
	}
	if !m.storeBehind && m.synchronized && (m.watching || !m.storeSilent(now)) {
		return nil
	}
	m.nextStoreRead = now.Add(m.storePause())
	return []action{{kind: actReadStore}}
}

func (m *machine) storeSilent(now time.Time) bool {
	return now.Sub(m.storeContact) > storePatience && now.Sub(m.started) > storePatience
}

// storePause spreads the reads of all processes that do not watch over time.
func (m *machine) storePause() time.Duration {
	if m.watching {
		return m.jitter(storeRetry)
	}
	window := time.Duration(m.peerCount()+1) * time.Second / fallbackReadsPerSecond
	return storeRetry + time.Duration(m.random.Int64N(int64(window+storeRetry)))
}

func (m *machine) noteIsolation(now time.Time) []action {
	if m.leaf && m.peerCount() == 0 {
		return nil
	}
	latest := m.peerContact
	if m.storeContact.After(latest) {
		latest = m.storeContact
	}
	isolated := now.Sub(latest) > isolationPatience
	if isolated == m.isolated {
		return nil
	}
	m.isolated = isolated
	e := event.Event{Kind: event.StoreReachable, Version: m.version(), Detail: "store or peers answer again"}
	if isolated {
		e.Kind = event.StoreUnreachable
		e.Detail = fmt.Sprintf("neither store nor peers answer, version %d stays in force", m.version())
	}
	return []action{{kind: actRecord, event: e}}
}

func (m *machine) version() uint64 {
	return m.current.Root.Version
}

// jitter returns a time between three and five quarters of d.
func (m *machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)))
}

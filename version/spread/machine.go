package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// Intervals and timeouts of the periodic work.
const (
	// queryInterval is the mean interval between two periodic queries.
	queryInterval = time.Second
	// leafQueryInterval is queryInterval for a leaf. It is longer since a leaf also
	// learns of versions from notifications and heartbeats of its home balancers.
	leafQueryInterval = 2 * time.Second
	// peerDiscoveryTimeout is how long a starting process waits for peers, as the sum of
	// the times between its ticks, of which each counts for at most DefaultTick: a process
	// that is held up cannot discover peers. Without this, processes that started together
	// on a busy machine and were held up all watched the store, six calls each.
	peerDiscoveryTimeout = time.Second
	// pauseThreshold is the time between two ticks after which a process assumes
	// that it was paused and repeats its startup.
	pauseThreshold = 3 * time.Second
	// startupTimeout is how long a starting process waits for the responses to
	// its startup queries.
	startupTimeout = 2 * time.Second
	// storeContactTimeout is the age of the latest known contact with the store
	// after which processes that do not watch the store read it themselves.
	storeContactTimeout = 10 * time.Second
	// storeRetryDelay is the mean delay before a failed read of the store is
	// repeated.
	storeRetryDelay = time.Second
	// isolationTimeout is the time without contact to the store or any peer after
	// which a process records that it is isolated.
	isolationTimeout = 10 * time.Second
)

// Limits of the periodic work.
const (
	// startupQueries is the number of peers that a starting process queries.
	startupQueries = 5
	// startupReadMaxPeers is the number of peers up to which every starting
	// process reads the store.
	startupReadMaxPeers = 32
	// fallbackReadsPerSecond bounds the reads of the store by all processes
	// that do not watch it.
	fallbackReadsPerSecond = 20
	// maxOpenQueries is the maximum number of concurrent queries.
	maxOpenQueries = 8
)

// actionKind is the kind of an action.
type actionKind uint8

const (
	// actQueryPeer queries the version of a peer and fetches it if it is newer.
	actQueryPeer actionKind = iota
	// actReadStore reads the store once.
	actReadStore
	// actStartWatch starts watching the store.
	actStartWatch
	// actStopWatch stops watching the store.
	actStopWatch
	// actNotifyPeer notifies a peer of the current version.
	actNotifyPeer
	// actNotifyLeaves notifies all leaves of the current version.
	actNotifyLeaves
	// actApply makes a version active.
	actApply
	// actRecord records an event.
	actRecord
)

// action is an action for the Spreader to perform. Fields that do not apply to its
// kind are empty.
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

// machine is the state machine that decides how a process learns and distributes
// versions. Its methods take inputs and return actions. It is not safe for
// concurrent use.
type machine struct {
	self   Peer
	leaf   bool
	random *rand.Rand

	// localPeers are the peers in the same failure domain, remotePeers the others.
	localPeers  []Peer
	remotePeers []Peer
	startedAt   time.Time
	// lastTick is the time of the latest tick.
	lastTick time.Time
	// discoveryTime is the time since the start as peerDiscoveryTimeout counts it.
	discoveryTime time.Duration
	// startupQueriedAt is the time at which the startup queries were sent, and
	// zero before.
	startupQueriedAt time.Time
	watching         bool
	// current is the highest version received.
	current publish.Version
	// synchronized is true once the store or a synchronized peer has confirmed
	// which version is current.
	synchronized bool
	// startupPending holds the names of the peers whose response to a startup
	// query is pending.
	startupPending map[string]bool
	// startupStorePending is true while the first response of the store is
	// pending.
	startupStorePending bool
	// storeContacted is true once the store has responded since the start.
	storeContacted bool
	// storeReadFailed is true while a failed read of the store has yet to be
	// repeated.
	storeReadFailed bool
	// openQueries holds the names of the peers with a query in progress.
	openQueries map[string]bool
	// unreported holds the names of the home balancers to which a leaf has yet to
	// report its active version.
	unreported map[string]bool
	// fetching is the version being fetched, nextFetch the one to fetch after it.
	fetching  peerVersion
	nextFetch peerVersion

	nextQuery     time.Time
	nextStoreRead time.Time
	storeContact  time.Time
	peerContact   time.Time
	isolated      bool
	rejected      rejection
}

// peerVersion is a version that a peer is known to hold; the zero value means
// none.
type peerVersion struct {
	peer    Peer
	version uint64
}

// rejection is a version that was rejected, and why.
type rejection struct {
	version uint64
	reason  string
}

func newMachine(o machineOptions) *machine {
	return &machine{
		self:           o.self,
		leaf:           o.leaf,
		random:         o.random,
		startupPending: make(map[string]bool),
		openQueries:    make(map[string]bool),
		unreported:     make(map[string]bool),
	}
}

// tick does the periodic work. contact is the time of the store's latest response
// to this process.
func (m *machine) tick(now time.Time, peers []Peer, contact time.Time) []action {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) > pauseThreshold {
		m.beginStartup(now)
	} else {
		m.discoveryTime += min(now.Sub(m.lastTick), DefaultTick)
	}
	m.lastTick = now
	m.setPeers(peers)
	m.updateStoreContact(contact)
	var actions []action
	actions = append(actions, m.updateWatcher()...)
	actions = append(actions, m.runStartup(now)...)
	actions = append(actions, m.periodicQuery(now)...)
	actions = append(actions, m.periodicStoreRead(now)...)
	actions = append(actions, m.checkIsolation(now)...)
	return actions
}

// beginStartup begins the startup. It also runs after a pause, in which the
// process may have missed versions: the process keeps its version but is not
// ready until it has repeated the startup queries.
func (m *machine) beginStartup(now time.Time) {
	m.startedAt = now
	m.discoveryTime = 0
	m.peerContact = now
	m.startupQueriedAt = time.Time{}
	m.synchronized = false
	m.storeContacted = false
	clear(m.startupPending)
	clear(m.openQueries)
	m.fetching = peerVersion{}
	m.nextFetch = peerVersion{}
}

func (m *machine) updateStoreContact(contact time.Time) {
	if contact.After(m.storeContact) {
		m.storeContact = contact
	}
}

// updateWatcher starts or stops watching the store according to the current
// peers.
func (m *machine) updateWatcher() []action {
	if m.leaf || m.discoveringPeers() {
		return nil
	}
	chosen := isWatcher(m.self, m.localPeers)
	if chosen == m.watching {
		return nil
	}
	m.watching = chosen
	if chosen {
		return []action{{kind: actStartWatch}}
	}
	return []action{{kind: actStopWatch}}
}

// runStartup queries several peers and the store once peers are known or
// peerDiscoveryTimeout has passed.
func (m *machine) runStartup(now time.Time) []action {
	if m.startupQueriesSent() {
		return m.expireStartup(now)
	}
	if m.discoveringPeers() {
		return nil
	}
	m.startupQueriedAt = now
	var actions []action
	for _, p := range m.samplePeers(startupQueries, startupQueries/2) {
		m.startupPending[p.Name] = true
		actions = append(actions, m.query(p)...)
	}
	m.nextQuery = now.Add(m.jitter(queryInterval))
	m.nextStoreRead = now.Add(m.storeReadDelay())
	actions = append(actions, m.startupStoreRead()...)
	return append(actions, m.applyCurrent()...)
}

// discoveringPeers reports whether a starting process still waits for its first
// peers. Meanwhile it must not become a watcher, or every process of a deployment
// that restarts would become one.
func (m *machine) discoveringPeers() bool {
	return m.peerCount() == 0 && m.discoveryTime < peerDiscoveryTimeout
}

// startupStoreRead starts the wait for the first response of the store. Watchers
// receive it from their watch; others read the store once, unless the deployment
// is large.
func (m *machine) startupStoreRead() []action {
	if m.leaf || m.storeContacted {
		return nil
	}
	if m.watching {
		m.startupStorePending = true
		return nil
	}
	if m.peerCount() > startupReadMaxPeers {
		return nil
	}
	m.startupStorePending = true
	return []action{{kind: actReadStore}}
}

// expireStartup stops waiting for startup responses after startupTimeout.
func (m *machine) expireStartup(now time.Time) []action {
	if !m.starting() || now.Sub(m.startupQueriedAt) < startupTimeout {
		return nil
	}
	clear(m.startupPending)
	m.startupStorePending = false
	return m.applyCurrent()
}

func (m *machine) startupQueriesSent() bool {
	return !m.startupQueriedAt.IsZero()
}

// query queries a peer unless a query to it is in progress or too many queries
// are open.
func (m *machine) query(p Peer) []action {
	if m.openQueries[p.Name] || len(m.openQueries) >= maxOpenQueries {
		return nil
	}
	m.openQueries[p.Name] = true
	return []action{{kind: actQueryPeer, peer: p}}
}

func (m *machine) periodicQuery(now time.Time) []action {
	if !m.startupQueriesSent() || now.Before(m.nextQuery) || m.peerCount() == 0 {
		return nil
	}
	interval := queryInterval
	if m.leaf {
		interval = leafQueryInterval
	}
	m.nextQuery = now.Add(m.jitter(interval))
	return m.query(m.randomPeer())
}

// periodicStoreRead reads the store if the last read has failed, if this process
// is not synchronized, or if neither it nor its peers have had recent contact with
// the store.
func (m *machine) periodicStoreRead(now time.Time) []action {
	if m.leaf || !m.startupQueriesSent() || now.Before(m.nextStoreRead) {
		return nil
	}
	if !m.storeReadFailed && m.synchronized && (m.watching || !m.storeContactExpired(now)) {
		return nil
	}
	m.nextStoreRead = now.Add(m.storeReadDelay())
	return []action{{kind: actReadStore}}
}

func (m *machine) storeContactExpired(now time.Time) bool {
	return now.Sub(m.storeContact) > storeContactTimeout && now.Sub(m.startedAt) > storeContactTimeout
}

// storeReadDelay returns the time until the next read of the store. It spreads the
// reads of all processes that do not watch the store over time, to bound them by
// fallbackReadsPerSecond.
func (m *machine) storeReadDelay() time.Duration {
	if m.watching {
		return m.jitter(storeRetryDelay)
	}
	window := time.Duration(m.peerCount()+1) * time.Second / fallbackReadsPerSecond
	return storeRetryDelay + time.Duration(m.random.Int64N(int64(window+storeRetryDelay)))
}

func (m *machine) checkIsolation(now time.Time) []action {
	if m.leaf && m.peerCount() == 0 {
		return nil
	}
	latest := m.peerContact
	if m.storeContact.After(latest) {
		latest = m.storeContact
	}
	isolated := now.Sub(latest) > isolationTimeout
	if isolated == m.isolated {
		return nil
	}
	m.isolated = isolated
	e := event.Event{Kind: event.StoreReachable, Version: m.version(), Detail: "store or peers reachable again"}
	if isolated {
		e.Kind = event.StoreUnreachable
		e.Detail = fmt.Sprintf("neither store nor peers reachable; version %d stays active", m.version())
	}
	return []action{{kind: actRecord, event: e}}
}

func (m *machine) version() uint64 {
	return m.current.Root.Version
}

// jitter returns a random duration between 0.75 and 1.25 times d.
func (m *machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)))
}

package spread

import (
	"fmt"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// peerStatus is the status that a peer reports about itself.
type peerStatus struct {
	version      uint64
	synchronized bool
	storeContact time.Time
}

// handlePeerVersion handles a notification that a peer holds a version.
func (m *machine) handlePeerVersion(_ time.Time, from Peer, version uint64) []action {
	if version <= m.version() || from.Name == m.self.Name {
		return nil
	}
	if m.fetching.version >= version {
		m.nextFetch = peerVersion{peer: from, version: version}
		return nil
	}
	return m.fetch(peerVersion{peer: from, version: version})
}

// fetch fetches a version from a peer. Other peers with the same version have to
// wait, so that its sections are fetched only once.
func (m *machine) fetch(v peerVersion) []action {
	actions := m.query(v.peer)
	if len(actions) > 0 {
		m.fetching = v
	}
	return actions
}

// fetchNext fetches the version that waited for the query of a peer to end.
func (m *machine) fetchNext(queried Peer) []action {
	if m.fetching.peer.Name != queried.Name {
		return nil
	}
	m.fetching = peerVersion{}
	next := m.nextFetch
	m.nextFetch = peerVersion{}
	if next.version <= m.version() {
		return nil
	}
	return m.fetch(next)
}

// handleResponse handles the response of a peer, after any version that came with
// it.
func (m *machine) handleResponse(now time.Time, from Peer, s peerStatus) []action {
	m.peerContact = now
	m.updateStoreContact(s.storeContact)
	delete(m.openQueries, from.Name)
	delete(m.startupPending, from.Name)
	if s.synchronized && s.version <= m.version() {
		m.synchronized = true
	}
	actions := append(m.fetchNext(from), m.reportActiveVersion(from)...)
	return append(actions, m.applyCurrent()...)
}

// handleQueryFailure handles a failed query.
func (m *machine) handleQueryFailure(_ time.Time, from Peer) []action {
	delete(m.openQueries, from.Name)
	delete(m.startupPending, from.Name)
	delete(m.unreported, from.Name)
	return append(m.fetchNext(from), m.applyCurrent()...)
}

// handleStoreRead handles a successful read of the store. version is the version
// in the store, or 0 if there is none.
func (m *machine) handleStoreRead(now time.Time, version uint64) []action {
	m.startupStorePending = false
	m.storeContacted = true
	m.storeReadFailed = false
	m.updateStoreContact(now)
	m.synchronized = true
	actions := m.applyCurrent()
	if version == 0 || version >= m.version() {
		return actions
	}
	return append(actions, m.reject(version, fmt.Sprintf("the store holds version %d, which is below the current version %d", version, m.version()))...)
}

// handleStoreFailure handles a failed read of the store.
func (m *machine) handleStoreFailure(now time.Time) []action {
	m.startupStorePending = false
	m.storeReadFailed = true
	m.nextStoreRead = now.Add(m.storeReadDelay())
	return m.applyCurrent()
}

// handleVersion handles a complete, valid version. accepted is true if the store
// is known to have held the version, false if only a peer is known to have it.
func (m *machine) handleVersion(_ time.Time, v publish.Version, accepted bool) []action {
	if v.Root.Version == m.version() && v.Root.Digest() != m.current.Root.Digest() {
		return m.reject(v.Root.Version, "the content differs from that of the current version with the same number")
	}
	if v.Root.Version <= m.version() {
		return nil
	}
	m.current = v
	actions := []action{{kind: actRecord, event: event.Event{
		Kind: event.VersionLearned, Version: v.Root.Version, Detail: v.Root.Operation,
	}}}
	if accepted {
		m.synchronized = true
	}
	if !m.starting() {
		actions = append(actions, action{kind: actApply, version: v})
	}
	for _, p := range m.samplePeers(notifyFanout, localNotifyFanout) {
		actions = append(actions, action{kind: actNotifyPeer, peer: p, version: v})
	}
	return append(actions, action{kind: actNotifyLeaves, version: v})
}

// handleApplied handles the activation of a version. A leaf reports it to its home
// balancers at once, so that operators see it; a home balancer with a query in
// progress receives the report after its response.
func (m *machine) handleApplied(time.Time) []action {
	if !m.leaf {
		return nil
	}
	var actions []action
	for _, p := range m.samplePeers(maxOpenQueries, maxOpenQueries) {
		if m.openQueries[p.Name] {
			m.unreported[p.Name] = true
		}
		actions = append(actions, m.query(p)...)
	}
	return actions
}

// reportActiveVersion queries a home balancer again if a version became active
// during the previous query; queries carry the active version.
func (m *machine) reportActiveVersion(queried Peer) []action {
	if !m.unreported[queried.Name] {
		return nil
	}
	delete(m.unreported, queried.Name)
	return m.query(queried)
}

// handleInvalidVersion handles a version that cannot be decoded or validated.
func (m *machine) handleInvalidVersion(version uint64, reason string) []action {
	m.startupStorePending = false
	m.storeReadFailed = false
	return append(m.reject(version, reason), m.applyCurrent()...)
}

func (m *machine) reject(version uint64, reason string) []action {
	latest := rejection{version: version, reason: reason}
	if m.rejected == latest {
		return nil
	}
	m.rejected = latest
	return []action{{kind: actRecord, event: event.Event{
		Kind: event.VersionRejected, Version: version, Detail: reason,
	}}}
}

// starting reports whether startup queries are pending. No version is applied
// before they end, so that the first active version of a process is the highest
// that it can learn of.
func (m *machine) starting() bool {
	return !m.startupQueriesSent() || len(m.startupPending) > 0 || m.startupStorePending
}

// applyCurrent applies the current version once the startup is complete. Applying
// the active version again has no effect.
func (m *machine) applyCurrent() []action {
	if m.starting() || m.version() == 0 {
		return nil
	}
	return []action{{kind: actApply, version: m.current}}
}

// machineStatus is the status of a machine.
type machineStatus struct {
	version      uint64
	synchronized bool
	watching     bool
	storeContact time.Time
	rejected     rejection
}

func (m *machine) status(_ time.Time) machineStatus {
	return machineStatus{
		version:      m.version(),
		synchronized: m.synchronized && !m.starting(),
		watching:     m.watching,
		storeContact: m.storeContact,
		rejected:     m.rejected,
	}
}

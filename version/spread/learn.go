package spread

import (
	"fmt"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

// summary is what a peer says about itself.
type summary struct {
	version      uint64
	synchronized bool
	storeContact time.Time
}

// hinted takes the news that a peer was seen at a version.
func (m *machine) hinted(_ time.Time, from Peer, version uint64) []action {
	if version <= m.version() || from.Name == m.self.Name {
		return nil
	}
	if m.fetching.version >= version {
		m.waiting = hint{peer: from, version: version}
		return nil
	}
	return m.follow(hint{peer: from, version: version})
}

// follow asks the peer of a hint. Hints of the same version wait meanwhile, so
// that its sections are fetched once.
func (m *machine) follow(h hint) []action {
	actions := m.ask(h.peer)
	if len(actions) > 0 {
		m.fetching = h
	}
	return actions
}

// followNext turns to the hint that waited for the answer of a peer.
func (m *machine) followNext(answered Peer) []action {
	if m.fetching.peer.Name != answered.Name {
		return nil
	}
	m.fetching = hint{}
	next := m.waiting
	m.waiting = hint{}
	if next.version <= m.version() {
		return nil
	}
	return m.follow(next)
}

// answered takes the answer of a peer, after any version that it brought.
func (m *machine) answered(now time.Time, from Peer, s summary) []action {
	m.peerContact = now
	m.heardStore(s.storeContact)
	delete(m.open, from.Name)
	delete(m.firstOpen, from.Name)
	if s.synchronized && s.version <= m.version() {
		m.synchronized = true
	}
	actions := append(m.followNext(from), m.tellNext(from)...)
	return append(actions, m.release()...)
}

// failed takes the failure of a question.
func (m *machine) failed(_ time.Time, from Peer) []action {
	delete(m.open, from.Name)
	delete(m.firstOpen, from.Name)
	delete(m.untold, from.Name)
	return append(m.followNext(from), m.release()...)
}

// storeRead takes an answered read of the store. The version is the one in the
// store, 0 when there is none.
func (m *machine) storeRead(now time.Time, version uint64) []action {
	m.firstStore = false
	m.storeHeard = true
	m.storeBehind = false
	m.heardStore(now)
	m.synchronized = true
	actions := m.release()
	if version == 0 || version >= m.version() {
		return actions
	}
	return append(actions, m.reject(version, fmt.Sprintf("the store holds version %d, below version %d in force", version, m.version()))...)
}

// storeFailed takes a failed read of the store.
func (m *machine) storeFailed(now time.Time) []action {
	m.firstStore = false
	m.storeBehind = true
	m.nextStoreRead = now.Add(m.storePause())
	return m.release()
}

// learned takes a complete, valid version; accepted is true when it is known
// that the store held it, not only that a peer has it.
func (m *machine) learned(_ time.Time, v publish.Version, accepted bool) []action {
	if v.Root.Version == m.version() && v.Root.Digest() != m.current.Root.Digest() {
		return m.reject(v.Root.Version, "another content under the number of the version in force")
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
	for _, p := range m.choose(notices, localNotices) {
		actions = append(actions, action{kind: actNotify, peer: p, version: v})
	}
	return append(actions, action{kind: actNotifyLeaves, version: v})
}

// applied takes the news that a version is in force. A leaf tells its homes at
// once, so that operators see it; one that is being asked gets told after its
// answer.
func (m *machine) applied(time.Time) []action {
	if !m.leaf {
		return nil
	}
	var actions []action
	for _, p := range m.choose(openQuestions, openQuestions) {
		if m.open[p.Name] {
			m.untold[p.Name] = true
		}
		actions = append(actions, m.ask(p)...)
	}
	return actions
}

// tellNext asks a home again that could not be told when a version came into
// force.
func (m *machine) tellNext(answered Peer) []action {
	if !m.untold[answered.Name] {
		return nil
	}
	delete(m.untold, answered.Name)
	return m.ask(answered)
}

// rejectedVersion takes a version that is broken.
func (m *machine) rejectedVersion(version uint64, reason string) []action {
	m.firstStore = false
	m.storeBehind = false
	return append(m.reject(version, reason), m.release()...)
}

func (m *machine) reject(version uint64, reason string) []action {
	found := rejection{version: version, reason: reason}
	if m.rejected == found {
		return nil
	}
	m.rejected = found
	return []action{{kind: actRecord, event: event.Event{
		Kind: event.VersionRejected, Version: version, Detail: reason,
	}}}
}

// starting is true while first questions are without an answer; nothing is put
// in force until then, so that a starting process begins with the highest
// version that it can learn of.
func (m *machine) starting() bool {
	return !m.asked() || len(m.firstOpen) > 0 || m.firstStore
}

// release puts the highest version in force at the end of the start. Apply of
// a version that is in force already has no effect.
func (m *machine) release() []action {
	if m.starting() || m.version() == 0 {
		return nil
	}
	return []action{{kind: actApply, version: m.current}}
}

// machineStatus is what a machine says about itself.
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

// Package roster tracks the members of a passthrough deployment. Each process
// sends heartbeats to the others and derives their status from the heartbeats it
// receives. The directory in the store, the seeds and introductions (lists of
// members sent by other processes) only supply addresses to contact.
package roster

import (
	"iter"
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// contactInterval is the interval between the first contactAttempts heartbeats to an
	// address that has not answered yet. Later ones are recontactIntervals times as far
	// apart.
	contactInterval    = 500 * time.Millisecond
	contactAttempts    = 4
	recontactIntervals = 3
	// removeAfter is the time without a heartbeat after which a silent member is removed
	// that the directory does not list.
	removeAfter = 30 * time.Second
)

// Options configure a Roster.
type Options struct {
	// Self returns the description of this process for its next heartbeat.
	Self func() Member
	// Sender sends datagrams to members.
	Sender passthrough.Sender
	// OnNewerVersion is called when a member has a newer configuration version than
	// this process, or holds other entries that the store has lost.
	OnNewerVersion func(Member)
	// OnConfirmed is called with the time since a member's version was confirmed to
	// be the newest, if this process has that version or a newer one of the same era.
	OnConfirmed func(age time.Duration)
	// OnReport is called for each heartbeat of an agent that does not lead to a call of
	// OnChange; it may be nil.
	OnReport func(Status)
	// OnChange is called by Tick and NotifyChanges with the members that since the last
	// call joined, restarted or changed their name, domain, service or server state, or
	// became or ceased to be reachable or silent.
	OnChange func(changed []Status)
	// OnRemove is called for each member that is removed; it may be nil.
	OnRemove func(Member)
	// OnMemberChange is called for each member that joins or restarts ("joined") or
	// becomes "reachable", "unreachable" or "silent"; it may be nil.
	OnMemberChange func(member Member, change string, sinceHeartbeat time.Duration)
	// OnView is called when all agents that a member listed at the request of RequestView have
	// been added; it may be nil.
	OnView func(member passthrough.Endpoint)
	// CheckVM opens a connection to the address of a member that does not answer and calls
	// HandleVMCheck with the result; nil for no checks.
	CheckVM func(passthrough.Endpoint)
	// OnIsolation is called by Tick when Isolated has changed; it may be nil.
	OnIsolation func(isolated bool)
}

// Status is a member and its status as seen by this process.
type Status struct {
	Member
	// LastHeartbeatAt is when the last heartbeat arrived.
	LastHeartbeatAt time.Duration
	// Reachable is true if heartbeats arrive in both directions.
	Reachable bool
	// Silent is true if no heartbeat has arrived for so long that the member is
	// presumed failed.
	Silent bool
}

// Roster tracks the members. It is not safe for concurrent use.
type Roster struct {
	options     Options
	peers       map[passthrough.Endpoint]*peerState
	nextContact time.Duration
	lastTick    time.Duration
	// handledUntil is the time of the last marker that has arrived, 0 for none.
	handledUntil time.Duration
	// lastStatic holds the fields of this process that compact heartbeats omit, as
	// last sent; after a change all heartbeats are full ones until fullUntil.
	lastStatic staticFields
	fullUntil  time.Duration
	// directoryReadAt is the time of the last read of the directory, 0 for none.
	directoryReadAt time.Duration
	// introduced is true once an introduction has arrived; introductionAsked is the time of
	// the last request for one.
	introduced        bool
	introductionAsked time.Duration
	// agents is the number of members that are agents.
	agents int
	// lastReceived is the time of the last heartbeat of any member.
	lastReceived time.Duration
	// wasIsolated is the result of Isolated at the last tick.
	wasIsolated bool
	// suspicions limits the members of which this process tells others that they do not
	// answer.
	suspicions suspicionBudget
	// changed are the peers to pass to the next call of OnChange.
	changed   []*peerState
	malformed uint64
	stalls    uint64
}

// New returns a roster without members.
func New(options Options) *Roster {
	return &Roster{options: options, peers: map[passthrough.Endpoint]*peerState{}}
}

// Add adds an address to contact, with the role of its process, or 0 if the role is
// not known. An address that has already answered is not changed.
func (r *Roster) Add(peer passthrough.Endpoint, role Role) {
	if peer == 0 || peer == r.options.Self().Peer {
		return
	}
	p := r.peers[peer]
	if p == nil {
		p = &peerState{}
		r.peers[peer] = p
	}
	if !p.known {
		p.expectedRole = role
		p.attempts = 0
		r.nextContact = 0
	}
}

// Entry is an entry of the directory: the address of a process, with its role or 0 if that is
// not known.
type Entry struct {
	Peer passthrough.Endpoint
	Role Role
}

// UpdateDirectory applies a read of the directory. The processes that it lists are contacted
// until they answer and kept as members even if they are silent: they may be cut off.
func (r *Roster) UpdateDirectory(entries []Entry, now time.Duration) {
	r.directoryReadAt = now
	for _, entry := range entries {
		if p := r.peers[entry.Peer]; p == nil {
			r.Add(entry.Peer, entry.Role)
		} else if !p.known {
			p.expectedRole = entry.Role
		}
		if p := r.peers[entry.Peer]; p != nil {
			p.listedAt = now
		}
	}
}

// DiscoveryComplete reports whether no agent is missing from the view: every address
// that was added has answered or is no longer contacted. Those that the directory lists are
// contacted until they answer. Of the balancers, one that has introduced all members it
// knows is enough.
func (r *Roster) DiscoveryComplete() bool {
	awaitsBalancer, connected := false, false
	for _, p := range r.peers {
		switch {
		case p.known:
			connected = connected || (p.member.Role == Balancer && p.receivesHeartbeats)
		case p.expectedRole == Balancer:
			awaitsBalancer = true
		default:
			return false
		}
	}
	if connected {
		return r.introduced
	}
	return !awaitsBalancer
}

// Stalls returns the number of stalls of this process.
func (r *Roster) Stalls() uint64 { return r.stalls }

// UnsharedSuspicions returns the number of members of which this process did not tell the
// others that they do not answer, since there were too many in a short time.
func (r *Roster) UnsharedSuspicions() uint64 { return r.suspicions.exhausted }

// Malformed returns the number of datagrams that could not be parsed.
func (r *Roster) Malformed() uint64 { return r.malformed }

// HandleHeartbeat handles a datagram of kind Hello, a full heartbeat.
func (r *Roster) HandleHeartbeat(datagram []byte, now time.Duration) {
	h, err := parseHeartbeat(datagram)
	if err != nil {
		r.malformed++
		return
	}
	if h.Peer == r.options.Self().Peer {
		return
	}
	p := r.peers[h.Peer]
	if p == nil {
		p = &peerState{}
		r.peers[h.Peer] = p
	}
	if p.hasEnded(h.Run, now) {
		return
	}
	r.applyHeartbeat(p, &h, now)
}

// applyHeartbeat updates a peer from a heartbeat.
func (r *Roster) applyHeartbeat(p *peerState, h *heartbeat, now time.Duration) {
	self := r.options.Self()
	r.agents += isAgent(h.Role) - isAgent(p.member.Role)
	restarted := !p.known || h.Run != p.member.Run
	if restarted && p.known {
		p.previousRuns = append(p.previousRuns[max(0, len(p.previousRuns)+1-maxPreviousRuns):], p.member.Run)
	}
	changed := restarted || h.Service != p.member.Service || h.Name != p.member.Name || h.Domain != p.member.Domain ||
		h.Report.State != p.member.Report.State
	p.member, p.known, p.lastHeartbeatAt, p.receivesHeartbeats, p.interval = h.Member, true, now, h.receivesHeartbeats, h.interval
	p.acceptsLoad, p.acceptsEra = h.acceptsLoad, h.acceptsEra
	p.answered()
	r.lastReceived = now
	newer, sameEra := h.Version.Newer(self.Version), h.Version.Era == self.Version.Era
	if newer || (sameEra && h.Held != 0 && h.Held != self.Held) {
		r.options.OnNewerVersion(h.Member)
	}
	if !newer && sameEra {
		r.options.OnConfirmed(h.ConfirmedAge)
	}
	if restarted {
		r.notifyMember(p, "joined", now)
		r.sendHeartbeat(h.Peer, p, self, now)
	} else if h.wantsReply {
		r.sendHeartbeat(h.Peer, p, self, now)
	}
	if h.wantsIntroduction || (restarted && r.shouldIntroduce(h.Peer, self)) {
		r.sendIntroduction(h.Peer)
	}
	if r.updateStatus(p, now) || changed {
		r.markChanged(p)
	} else if h.Role == Agent && r.options.OnReport != nil {
		r.options.OnReport(p.status())
	}
}

// HandleIntroduction handles a datagram of kind Introduction.
func (r *Roster) HandleIntroduction(datagram []byte) {
	peers, err := parseIntroduction(datagram)
	if err != nil {
		r.malformed++
		return
	}
	r.introduced = true
	for _, peer := range peers {
		r.Add(peer.address, peer.role)
	}
}

// Tick sends the heartbeats and probes that are due and updates the status of all
// members.
func (r *Roster) Tick(now time.Duration) {
	r.compensateStall(now)
	r.updateIsolation(now)
	r.sendDueHeartbeats(now)
	judgedAt, probing := r.judgementTime(now), false
	for peer, p := range r.peers {
		if p.probeDue(now, judgedAt) {
			r.probe(peer, p, now)
		}
		probing = probing || p.probes > 0
		r.checkVM(peer, p, judgedAt)
		if r.updateStatus(p, judgedAt) {
			r.markChanged(p)
		}
		if r.expired(p, now) {
			r.remove(peer, p)
		}
	}
	if probing {
		r.sendMarker(now)
	}
	r.NotifyChanges()
}

// isAgent returns 1 for an agent, else 0.
func isAgent(role Role) int {
	if role == Agent {
		return 1
	}
	return 0
}

// markChanged passes a peer to the next call of OnChange.
func (r *Roster) markChanged(p *peerState) {
	if !p.changed {
		p.changed = true
		r.changed = append(r.changed, p)
	}
}

// remove removes a peer.
func (r *Roster) remove(peer passthrough.Endpoint, p *peerState) {
	delete(r.peers, peer)
	p.removed = true
	r.agents -= isAgent(p.member.Role)
	if p.known && r.options.OnRemove != nil {
		r.options.OnRemove(p.member)
	}
}

// NotifyChanges calls OnChange if members have changed. Call it once at the end of a
// batch of datagrams: after a restart, heartbeats of many new members arrive at once.
func (r *Roster) NotifyChanges() {
	if len(r.changed) == 0 {
		return
	}
	statuses := make([]Status, 0, len(r.changed))
	for _, p := range r.changed {
		p.changed = false
		if !p.removed {
			statuses = append(statuses, p.status())
		}
	}
	clear(r.changed)
	r.changed = r.changed[:0]
	r.options.OnChange(statuses)
}

// Members returns an iterator over all members from which a heartbeat has arrived, in no
// particular order.
func (r *Roster) Members() iter.Seq[Status] {
	return func(yield func(Status) bool) {
		for _, p := range r.peers {
			if p.known && !yield(p.status()) {
				return
			}
		}
	}
}

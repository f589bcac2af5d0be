package roster

import (
	"slices"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

const (
	// reachableIntervals is the number of intervals without a heartbeat after which a
	// member is unreachable, reachableSlack is added for late heartbeats.
	reachableIntervals = 3
	reachableSlack     = 150 * time.Millisecond
	// probeDelay is how late a heartbeat may be before the member is probed for one,
	// probeInterval the time between probes, maxProbes the number of them. In a large
	// deployment heartbeats are seconds apart, so probes detect a failure sooner.
	probeDelay    = 100 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	maxProbes     = 4
	// unreachableProbes is the number of unanswered probes after which a member is
	// unreachable, vmCheckProbes the number after which its VM is checked.
	unreachableProbes = 3
	vmCheckProbes     = 2
	// silentBalancerTimeout is the time without a heartbeat after which a balancer is
	// presumed failed; nothing waits for that.
	silentBalancerTimeout = 6 * time.Second
	// stallThreshold is the gap between two ticks above which this process is
	// considered to have stalled.
	stallThreshold = 500 * time.Millisecond
)

// VMState is what the check of a member's VM has shown since its last heartbeat.
type VMState uint8

const (
	// VMUnknown is a VM that has not been checked yet.
	VMUnknown VMState = iota
	// VMAccepts is a VM that accepts connections to the member, so that the process exists but
	// does not run: it gets no processor time, or the VM is frozen.
	VMAccepts
	// VMRefuses is a VM that refuses connections, so that only the process has ended.
	VMRefuses
	// VMUnreachable is a VM from which no response has arrived.
	VMUnreachable
)

// silence defines when an agent is presumed failed: flows of its server are then reset.
type silence struct {
	// sinceHeartbeat and unanswered are the minimum times since the last heartbeat and since
	// peerState.unansweredSince.
	sinceHeartbeat, unanswered time.Duration
}

// agentSilence is the silence after which an agent is presumed failed. A process that is
// restarted answers again after 0.6 to 0.8 s, so an agent on a running VM is given more time
// than one on a VM that has failed. One that exists beside a running server had no processor
// time for 1.6 s on a busy machine.
var agentSilence = [...]silence{
	VMUnknown:     {1200 * time.Millisecond, 950 * time.Millisecond},
	VMAccepts:     {2000 * time.Millisecond, 1750 * time.Millisecond},
	VMRefuses:     {1100 * time.Millisecond, 850 * time.Millisecond},
	VMUnreachable: {700 * time.Millisecond, 550 * time.Millisecond},
}

// stoppingSilence applies to an agent that announced that its server takes no new flows, unless
// its VM has failed: the agent is probably being restarted, and its server keeps its flows. It
// is longer than the grace period of a stop and the start of the next process.
var stoppingSilence = silence{10 * time.Second, 850 * time.Millisecond}

// peerState is the state kept for an address. known is true once a heartbeat has
// arrived, receivesHeartbeats if the last one reported that the peer receives
// heartbeats of this process; attempts counts the contact intervals of an address that has
// not answered.
type peerState struct {
	member             Member
	known              bool
	lastHeartbeatAt    time.Duration
	receivesHeartbeats bool
	// acceptsLoad is true if the last heartbeat announced that the peer understands the long
	// form of compact heartbeats.
	acceptsLoad bool
	// acceptsEra is true if the last heartbeat announced that the peer understands compact
	// heartbeats with an era.
	acceptsEra bool
	interval   time.Duration
	attempts   int
	// listedAt is the time of the last read of the directory that lists the address, 0 for
	// none.
	listedAt time.Duration
	// nextHeartbeat is the time of the next heartbeat to the member, sent counts them.
	nextHeartbeat time.Duration
	sent          uint
	// probes counts the probes since the last heartbeat, lastProbe is the time of the last
	// one. The member has not answered since unansweredSince: the first probe, or earlier if
	// a heartbeat was overdue or another process had probed the member before.
	probes                     int
	lastProbe, unansweredSince time.Duration
	// vm is the state of the member's VM, vmChecked is true once a check has been started.
	vm        VMState
	vmChecked bool
	// suspected is true if another process has reported since the last heartbeat that the
	// member does not answer.
	suspected bool
	// expectedRole is the role given when the address was added, until it answers.
	expectedRole Role
	// reachable and silent are the last status, to detect changes.
	reachable, silent bool
	// previousRuns are the last runs before the current one.
	previousRuns []uint64
	// view is the last request for the agents that the member knows.
	view viewRequest
	// changed is true if the peer is to be passed to OnChange, removed if it has been
	// removed since.
	changed, removed bool
}

// role returns the role of a peer, or the expected one until it answers.
func (p *peerState) role() Role {
	if p.known {
		return p.member.Role
	}
	return p.expectedRole
}

// maxPreviousRuns is the number of previous runs of a member that are kept to detect their late
// heartbeats.
const maxPreviousRuns = 4

// hasEnded reports whether a run is a previous one of the member. If the heartbeats of the
// current run have stopped, a heartbeat of a previous one is accepted.
func (p *peerState) hasEnded(run uint64, now time.Duration) bool {
	return p.known && slices.Contains(p.previousRuns, run) && now-p.lastHeartbeatAt < p.reachableTimeout()
}

// probeDue reports whether a probe is due: the heartbeat is overdue, or the last probe has
// not been answered as of judgedAt.
func (p *peerState) probeDue(now, judgedAt time.Duration) bool {
	if !p.known || p.probes >= maxProbes {
		return false
	}
	if p.probes == 0 {
		return p.overdue(now) && now-p.lastProbe >= probeInterval
	}
	return judgedAt-p.lastProbe >= probeInterval
}

// overdue reports whether a heartbeat is late by more than probeDelay.
func (p *peerState) overdue(now time.Duration) bool {
	return now-p.lastHeartbeatAt > p.interval+probeDelay
}

// probe requests a heartbeat from a member.
func (r *Roster) probe(peer passthrough.Endpoint, p *peerState, now time.Duration) {
	p.countProbe(now)
	r.send(peer, p, r.options.Self(), now, true)
}

// RequestReport requests a heartbeat of a member at once, which contains the load of its
// backend server. A member that does not answer is probed like one whose heartbeat is
// overdue.
func (r *Roster) RequestReport(peer passthrough.Endpoint, now time.Duration) {
	if p := r.peers[peer]; p != nil && p.known && p.probes == 0 {
		r.probe(peer, p, now)
	}
}

// answered resets what is known about the silence of a member.
func (p *peerState) answered() {
	p.probes, p.suspected, p.vm, p.vmChecked = 0, false, VMUnknown, false
}

// checkVM starts a check of a member's VM once enough probes are unanswered.
func (r *Roster) checkVM(peer passthrough.Endpoint, p *peerState, now time.Duration) {
	if !p.vmChecked && p.unansweredProbes(now) >= vmCheckProbes && r.options.CheckVM != nil {
		p.vmChecked = true
		r.options.CheckVM(peer)
	}
}

// HandleVMCheck handles the result of a check that CheckVM started.
func (r *Roster) HandleVMCheck(peer passthrough.Endpoint, state VMState) {
	if p := r.peers[peer]; p != nil && p.vmChecked {
		p.vm = state
	}
}

// countProbe counts a probe that is sent now.
func (p *peerState) countProbe(now time.Duration) {
	if p.probes == 0 {
		p.unansweredSince = now
		if p.overdue(now) {
			p.unansweredSince -= probeDelay
		}
	}
	p.probes++
	p.lastProbe = now
}

// compensateStall detects a stall of this process and excludes its duration from the
// time without heartbeats of the members.
func (r *Roster) compensateStall(now time.Duration) {
	if gap := now - r.lastTick; r.lastTick > 0 && gap > stallThreshold {
		r.stalls++
		for _, p := range r.peers {
			p.lastHeartbeatAt += gap
			p.answered()
		}
	}
	r.lastTick = now
}

// expired reports whether a peer is to be removed: no heartbeat has arrived for long, and the
// last read of the directory does not list it.
func (r *Roster) expired(p *peerState, now time.Duration) bool {
	switch {
	case p.listedAt > 0 && p.listedAt == r.directoryReadAt:
		return false
	case p.known:
		return p.silent && now-p.lastHeartbeatAt > removeAfter
	}
	return p.attempts >= contactAttempts
}

// contactDue counts a contact interval of an address that has not answered, and reports
// whether a heartbeat to it is due.
func (p *peerState) contactDue() bool {
	p.attempts++
	return p.attempts <= contactAttempts || p.attempts%recontactIntervals == 0
}

func (p *peerState) reachableTimeout() time.Duration {
	return reachableIntervals*p.interval + reachableSlack
}

// updateStatus updates whether a member is reachable or silent and reports whether
// that changed.
func (r *Roster) updateStatus(p *peerState, now time.Duration) bool {
	sinceHeartbeat := now - p.lastHeartbeatAt
	reachable := p.known && p.receivesHeartbeats && sinceHeartbeat < p.reachableTimeout() && p.unansweredProbes(now) < unreachableProbes
	silent := p.known && p.unansweredProbes(now) >= unreachableProbes && p.exceedsSilence(now) && (p.silent || !r.Isolated(now))
	if reachable == p.reachable && silent == p.silent {
		return false
	}
	switch {
	case reachable && !p.reachable:
		r.notifyMember(p, "reachable", now)
	case silent && !p.silent:
		r.notifyMember(p, "silent", now)
	case !reachable && p.reachable:
		r.notifyMember(p, "unreachable", now)
	}
	if !reachable && p.reachable && p.unansweredProbes(now) >= unreachableProbes {
		r.shareSuspicion(p, now)
	}
	p.reachable, p.silent = reachable, silent
	return true
}

// exceedsSilence reports whether a member has not answered for so long that it may be presumed
// failed.
func (p *peerState) exceedsSilence(now time.Duration) bool {
	if p.member.Role == Balancer {
		return now-p.lastHeartbeatAt > silentBalancerTimeout
	}
	limit := agentSilence[p.vm]
	if p.member.Report.State == steer.Draining && p.vm != VMUnreachable {
		limit = stoppingSilence
	}
	return now-p.lastHeartbeatAt > limit.sinceHeartbeat && now-p.unansweredSince >= limit.unanswered
}

// unansweredProbes returns the number of unanswered probes, without one for which
// there was no time to answer yet.
func (p *peerState) unansweredProbes(now time.Duration) int {
	if p.probes > 0 && now-p.lastProbe < probeInterval {
		return p.probes - 1
	}
	return p.probes
}

func (r *Roster) notifyMember(p *peerState, change string, now time.Duration) {
	if r.options.OnMemberChange != nil {
		r.options.OnMemberChange(p.member, change, now-p.lastHeartbeatAt)
	}
}

func (p *peerState) status() Status {
	return Status{Member: p.member, LastHeartbeatAt: p.lastHeartbeatAt, Reachable: p.reachable, Silent: p.silent}
}

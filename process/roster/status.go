package roster

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// reachableIntervals is the number of intervals without a heartbeat after which a
	// member is unreachable, reachableSlack is added for late heartbeats.
	reachableIntervals = 3
	reachableSlack     = 150 * time.Millisecond
	// probeDelay is how late a heartbeat may be before the member is probed for one,
	// probeInterval the time between probes, maxProbes the number of them. In a large
	// deployment heartbeats are seconds apart, so probes detect a failure sooner.
	probeDelay    = 200 * time.Millisecond
	probeInterval = 150 * time.Millisecond
	maxProbes     = 4
	// unreachableProbes is the number of unanswered probes after which a member is
	// unreachable.
	unreachableProbes = 3
	// silentAgentTimeout is the time without a heartbeat after which an agent is presumed
	// failed if it has also left maxProbes probes unanswered; flows of its server are
	// then reset. silentBalancerTimeout applies to balancers; nothing waits for their
	// failure to be detected.
	silentAgentTimeout    = 1100 * time.Millisecond
	silentBalancerTimeout = 6 * time.Second
	// minProbePeriod is the time from the first unanswered probe until a member may be
	// presumed failed: a process that is only restarted answers within it.
	minProbePeriod = 750 * time.Millisecond
	// stallThreshold is the gap between two ticks above which this process is
	// considered to have stalled.
	stallThreshold = 500 * time.Millisecond
)

// peerState is the state kept for an address. known is true once a heartbeat has
// arrived, receivesHeartbeats if the last one reported that the peer receives
// heartbeats of this process; attemptsLeft is the number of heartbeats left to send to
// an address that has not answered.
type peerState struct {
	member             Member
	known              bool
	lastHeartbeatAt    time.Duration
	receivesHeartbeats bool
	interval           time.Duration
	attemptsLeft       int
	// sent counts the heartbeats to the member.
	sent uint
	// probes counts the probes since the last heartbeat, firstProbe and lastProbe are the
	// times of the first and the last one.
	probes                int
	firstProbe, lastProbe time.Duration
	// suspected is true if another process has reported since the last heartbeat that the
	// member does not answer.
	suspected bool
	// expectedRole is the role given when the address was added, until it answers.
	expectedRole Role
	// reachable and silent are the last status, to detect changes.
	reachable, silent bool
	// changed is true if the peer is to be passed to OnChange, removed if it has been
	// removed since.
	changed, removed bool
}

// probeDue reports whether a probe is due: the heartbeat is overdue, or a probe has not been
// answered.
func (p *peerState) probeDue(now time.Duration) bool {
	overdue := p.probes > 0 || now-p.lastHeartbeatAt > p.interval+probeDelay
	return p.known && p.probes < maxProbes && overdue && now-p.lastProbe >= probeInterval
}

// probe requests a heartbeat from a member.
func (r *Roster) probe(peer passthrough.Endpoint, p *peerState, now time.Duration) {
	p.countProbe(now)
	r.send(peer, p, r.options.Self(), now, true)
}

// countProbe counts a probe that is sent now.
func (p *peerState) countProbe(now time.Duration) {
	if p.probes == 0 {
		p.firstProbe = now
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
			p.probes, p.suspected = 0, false
		}
	}
	r.lastTick = now
}

func (r *Roster) expired(p *peerState, now time.Duration) bool {
	if p.known {
		return p.silent && now-p.lastHeartbeatAt > removeAfter
	}
	return p.attemptsLeft <= 0
}

func (p *peerState) reachableTimeout() time.Duration {
	return reachableIntervals*p.interval + reachableSlack
}

// updateStatus updates whether a member is reachable or silent and reports whether
// that changed.
func (r *Roster) updateStatus(p *peerState, now time.Duration) bool {
	sinceHeartbeat := now - p.lastHeartbeatAt
	reachable := p.known && p.receivesHeartbeats && sinceHeartbeat < p.reachableTimeout() && p.unansweredProbes(now) < unreachableProbes
	silent := p.known && sinceHeartbeat > p.silentTimeout() && p.unansweredProbes(now) >= maxProbes && now-p.firstProbe >= minProbePeriod &&
		(p.silent || !r.Isolated(now))
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

// silentTimeout returns the time without a heartbeat after which a member may be
// presumed failed.
func (p *peerState) silentTimeout() time.Duration {
	if p.member.Role == Agent {
		return silentAgentTimeout
	}
	return silentBalancerTimeout
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
